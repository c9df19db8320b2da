/**
 * The small deployment on which the fault matrix runs, and the procedure of one round.
 */
import * as deployments from '../../src/experiments/deployments';
import * as demo from '../../src/experiments/demo';
import * as fleets from '../../src/experiments/fleet';
import * as http from '../../src/experiments/http';
import * as checker from './checker';
import type * as faults from './faults';
import * as workloads from './workload';

/** Violations found in a round, and the activity during its faults. */
export interface RoundResult {
  readonly violations: readonly checker.Violation[];
  readonly activity: workloads.Activity;
}

const STALENESS_BOUND = 2;
const PROGRESS_TIMEOUT_MS = 60_000;
const PROGRESS_POLL_INTERVAL_MS = 200;

const [ENGINES, SERVICES] = deployments.DAPUR_BERSIH.fleet.services;

const PLAN: deployments.DeploymentPlan = {
  ...deployments.DAPUR_BERSIH,
  fleet: {
    ...deployments.DAPUR_BERSIH.fleet,
    entries: 3,
    services: [
      { ...ENGINES, count: 3 },
      { ...SERVICES, count: 2 },
    ],
  },
};

/** A running deployment with a workload. */
export class Testbed {
  private roundCount = 0;

  /** Details of violations that earlier rounds reported. */
  private readonly reportedDetails = new Set<string>();

  private constructor(
    readonly fleet: fleets.Fleet,
    readonly workload: workloads.Workload,
    private readonly stalenessBound: number,
  ) {}

  /**
   * @param runtimeFlags additional Node.js flags of every daemon, to load a mutant
   * @param stalenessBound the deployment's staleness bound, in weight versions
   */
  static async create(
    runtimeFlags: readonly string[] = [],
    stalenessBound = STALENESS_BOUND,
  ): Promise<Testbed> {
    const fleet = await fleets.Fleet.create({ ...PLAN.fleet, runtimeFlags });
    const { revision } = demo.applyConfiguration(
      fleet,
      fleet.writeConfiguration('matrix', createConfigurationFiles(stalenessBound)),
    );
    await fleet.waitUntilReady(revision);
    await fleet.addTrainer('slot-times', [
      ...['--steps', '100000', '--groups', '4', '--members', '4'],
      ...['--mean-tokens', '40', '--train-ms', '10'],
    ]);
    const workload = workloads.Workload.create(fleet, PLAN);
    workload.start();
    const testbed = new Testbed(fleet, workload, stalenessBound);
    await testbed.waitForProgress();
    return testbed;
  }

  /**
   * Injects all faults at once while a target daemon restarts, heals them, waits for progress and
   * returns the violations that are new since earlier rounds.
   */
  async runWithFaults(injected: readonly faults.Fault[]): Promise<RoundResult> {
    const { fleet, workload } = this;
    const activityBefore = await workload.readActivity();
    this.roundCount += 1;
    const restartedTarget = fleet.targets[fleet.targets.length - 1 - (this.roundCount % 2) * 2];
    await Promise.all([
      ...injected.map((fault) => fault.inject(fleet)),
      workload.restartTargetDaemon(restartedTarget),
    ]);
    await Promise.all(injected.map((fault) => fault.heal(fleet)));
    const activityAfter = await workload.readActivity();
    await this.waitForProgress();
    await workload.waitForPending();
    const allViolations = await checker.checkPromises(workload, this.stalenessBound);
    const violations = allViolations.filter(
      (violation) => !this.reportedDetails.has(violation.detail),
    );
    violations.forEach((violation) => this.reportedDetails.add(violation.detail));
    return { violations, activity: subtract(activityAfter, activityBefore) };
  }

  /** Performs planned restarts of an entry and of a target of each kind, one after the other. */
  async runPlannedStops(): Promise<RoundResult> {
    const { fleet, workload } = this;
    const activityBefore = await workload.readActivity();
    const outcomesBefore = checker.countOutcomes(workload);
    await workload.fillInFlight();
    await workload.restartEntry(fleet.entries[0]);
    await workload.fillInFlight();
    await workload.restartTargetDaemon(fleet.targets[0]);
    await workload.fillInFlight();
    await workload.restartTargetDaemon(fleet.targets[fleet.targets.length - 1]);
    await this.waitForProgress();
    await workload.waitForPending();
    const activityAfter = await workload.readActivity();
    const violations = [
      ...(await checker.checkPromises(workload, this.stalenessBound)),
      ...checker.checkPlannedStops(outcomesBefore, checker.countOutcomes(workload)),
    ];
    return { violations, activity: subtract(activityAfter, activityBefore) };
  }

  /** Stops everything; resolves to the names of daemons that did not stop cleanly. */
  async stop(): Promise<string[]> {
    await this.workload.stop();
    return this.fleet.stop();
  }

  /**
   * Waits for two more finished steps. Training on the second one starts after the fault, so its
   * completion shows that no sample was lost.
   */
  private async waitForProgress(): Promise<void> {
    const { fleet, workload } = this;
    await fleet.waitUntilReady(0);
    const { stepsDone } = await workload.readTrainer();
    const deadlineMs = performance.now() + PROGRESS_TIMEOUT_MS;
    while ((await workload.readTrainer()).stepsDone < stepsDone + 2) {
      if (performance.now() > deadlineMs) throw new Error('the trainer made no progress in time');
      await http.sleep(PROGRESS_POLL_INTERVAL_MS);
    }
  }
}

function createConfigurationFiles(stalenessBound: number): Readonly<Record<string, string>> {
  const bound = `[deployment dapur-bersih]\nstaleness_bound = ${stalenessBound}\n`;
  return { ...PLAN.configurationFiles, '15-bound.ini': bound };
}

function subtract(after: workloads.Activity, before: workloads.Activity): workloads.Activity {
  const entries = Object.entries(after).map(([key, value]) => [
    key,
    Number(value) - before[key as keyof workloads.Activity],
  ]);
  return Object.fromEntries(entries) as workloads.Activity;
}
