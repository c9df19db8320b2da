/**
 * The small deployment in which the fault matrix is run, and the running of one round in it.
 */
import * as deployments from '../../src/experiments/deployments';
import * as demo from '../../src/experiments/demo';
import * as fleets from '../../src/experiments/fleet';
import * as http from '../../src/experiments/http';
import * as checker from './checker';
import type * as faults from './faults';
import * as workloads from './workload';

/** What a round showed. */
export interface RoundResult {
  readonly violations: readonly checker.Violation[];
  readonly activity: workloads.Activity;
}

const STALENESS_BOUND = 2;
const PROGRESS_TIMEOUT_MS = 60_000;
const PROGRESS_POLL_MS = 200;

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

/** A running deployment under the workload. */
export class Testbed {
  private round = 0;

  /** What earlier rounds have reported already. */
  private readonly known = new Set<string>();

  private constructor(
    readonly fleet: fleets.Fleet,
    readonly workload: workloads.Workload,
    private readonly stalenessBound: number,
  ) {}

  /**
   * @param runtimeFlags further flags of every daemon, to load a mutant
   * @param stalenessBound the bound of the deployment, in weight versions
   */
  static async create(
    runtimeFlags: readonly string[] = [],
    stalenessBound = STALENESS_BOUND,
  ): Promise<Testbed> {
    const fleet = await fleets.Fleet.create({ ...PLAN.fleet, runtimeFlags });
    const { revision } = demo.applyFolder(
      fleet,
      fleet.writeFolder('matrix', createFiles(stalenessBound)),
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

  /** Injects all faults at once, restarts a target meanwhile, heals and judges. */
  async run(injected: readonly faults.Fault[]): Promise<RoundResult> {
    const { fleet, workload } = this;
    const before = await workload.readActivity();
    this.round += 1;
    const restarted = fleet.targets[fleet.targets.length - 1 - (this.round % 2) * 2];
    await Promise.all([
      ...injected.map((fault) => fault.inject(fleet)),
      workload.restart(restarted),
    ]);
    await Promise.all(injected.map((fault) => fault.heal(fleet)));
    const after = await workload.readActivity();
    await this.waitForProgress();
    await workload.settle();
    const broken = await checker.checkPromises(workload, this.stalenessBound);
    const violations = broken.filter((violation) => !this.known.has(violation.detail));
    violations.forEach((violation) => this.known.add(violation.detail));
    return { violations, activity: subtract(after, before) };
  }

  /** Stops an entry and a target of each kind as planned, one after the other, without any fault. */
  async runPlannedStops(): Promise<RoundResult> {
    const { fleet, workload } = this;
    const before = await workload.readActivity();
    const cutsBefore = checker.countCuts(workload);
    await workload.fillInFlight();
    await workload.restartEntry(fleet.entries[0]);
    await workload.fillInFlight();
    await workload.restart(fleet.targets[0]);
    await workload.fillInFlight();
    await workload.restart(fleet.targets[fleet.targets.length - 1]);
    await this.waitForProgress();
    await workload.settle();
    const after = await workload.readActivity();
    const violations = [
      ...(await checker.checkPromises(workload, this.stalenessBound)),
      ...checker.checkPlannedStops(cutsBefore, checker.countCuts(workload)),
    ];
    return { violations, activity: subtract(after, before) };
  }

  /** Stops everything; resolves to the daemons that did not stop cleanly. */
  async stop(): Promise<string[]> {
    await this.workload.stop();
    return this.fleet.stop();
  }

  /** A step that was begun after the fault must become whole: no sample may be lost. */
  private async waitForProgress(): Promise<void> {
    const { fleet, workload } = this;
    await fleet.waitUntilReady(0);
    const { stepsDone } = await workload.readTrainer();
    const deadlineMs = performance.now() + PROGRESS_TIMEOUT_MS;
    while ((await workload.readTrainer()).stepsDone < stepsDone + 2) {
      if (performance.now() > deadlineMs) throw new Error('the trainer got no further');
      await http.sleep(PROGRESS_POLL_MS);
    }
  }
}

function createFiles(stalenessBound: number): Readonly<Record<string, string>> {
  const bound = `[deployment dapur-bersih]\nstaleness_bound = ${stalenessBound}\n`;
  return { ...PLAN.files, '15-bound.ini': bound };
}

function subtract(after: workloads.Activity, before: workloads.Activity): workloads.Activity {
  const entries = Object.entries(after).map(([key, value]) => [
    key,
    Number(value) - before[key as keyof workloads.Activity],
  ]);
  return Object.fromEntries(entries) as workloads.Activity;
}
