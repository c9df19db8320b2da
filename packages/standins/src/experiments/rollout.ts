/**
 * Steps of a trainer with heavy-tailed lengths, a slow replica and new weights in the middle,
 * against baselines: no second attempts, least requests, finish then discard, swap all at once.
 */
import type * as trainers from '../core/trainer';
import * as generation from '../utils/generation';
import type * as deployments from './deployments';
import * as demo from './demo';
import * as fleets from './fleet';
import * as http from './http';

/** One way to run a step. */
export interface RolloutContender {
  readonly name: string;
  /** Configuration that makes the difference. */
  readonly files: (plan: deployments.DeploymentPlan) => Readonly<Record<string, string>>;
}

/** What a contender achieved. */
export interface RolloutResult {
  readonly deployment: string;
  readonly contender: string;
  readonly idleShare: number;
  readonly stepMs: number;
  readonly lowerBoundMs: number;
  readonly stepOverBound: number;
  readonly stalenessMean: number;
  readonly stalenessMaximum: number;
  readonly wastedShare: number;
  readonly samples: number;
  readonly doubled: number;
  readonly storeWritesPerStep: number;
}

const STEPS = 4;
const GROUPS = 32;
const MEMBERS = 8;
const MEAN_TOKENS = 100;
const MAXIMUM_TOKENS = 800;
const TOKEN_MS = 2;
const TRAIN_MS = 30;
const SLOW_FACTOR = 4;
const POLL_MS = 200;
const SEED = 'rollout';

/** The project's own way first, then the baselines. */
export const CONTENDERS: readonly RolloutContender[] = [
  { name: 'azureworks', files: () => ({}) },
  {
    name: 'no second attempts',
    files: () => ({ '80.ini': '[limits]\nsecond_attempt_share = 0\n' }),
  },
  {
    name: 'least requests',
    files: (plan) => ({ '80.ini': `[engine ${plan.engine}]\nrouting = least-requests\n` }),
  },
  {
    name: 'finish, then discard',
    files: (plan) => ({ '80.ini': `[trainer ${plan.trainers[0]}]\nrestart_early = false\n` }),
  },
  {
    name: 'swap all at once',
    files: (plan) => ({ '80.ini': `[engine ${plan.engine}]\nswap_share = 1\n` }),
  },
];

/** Runs every contender on one deployment. */
export async function compareRollouts(
  plan: deployments.DeploymentPlan,
  only: string | undefined,
  progress: demo.Progress,
): Promise<RolloutResult[]> {
  const results: RolloutResult[] = [];
  const chosen = CONTENDERS.filter(({ name }) => only === undefined || name === only);
  for (const contender of chosen) {
    progress(`${plan.name}: ${contender.name}`);
    const pipelined = await runTrainer(plan, contender, 1, TRAIN_MS);
    const alone = await runTrainer(plan, contender, 0, 0);
    results.push(summarize(plan, contender, pipelined, alone));
  }
  return results;
}

interface RunOutcome {
  readonly report: trainers.TrainerReport;
  readonly tokensMade: number;
  readonly tokensReceived: number;
  readonly writes: number;
}

async function runTrainer(
  plan: deployments.DeploymentPlan,
  contender: RolloutContender,
  ahead: number,
  trainMs: number,
): Promise<RunOutcome> {
  const fleet = await fleets.Fleet.create(plan.fleet);
  try {
    const files = { ...plan.files, ...contender.files(plan) };
    const { revision } = demo.applyFolder(fleet, fleet.writeFolder('rollout', files));
    await fleet.waitUntilReady(revision);
    const [slow] = fleet.targets.filter((target) => target.kind === 'engine');
    await http.postJson(`${slow.standin.url}/faults`, { slowFactor: SLOW_FACTOR });
    const before = await readWrites(fleet);
    await fleet.addTrainer(plan.trainers[0], [
      ...['--steps', String(STEPS), '--groups', String(GROUPS), '--members', String(MEMBERS)],
      ...['--mean-tokens', String(MEAN_TOKENS), '--max-tokens', String(MAXIMUM_TOKENS)],
      ...['--train-ms', String(trainMs), '--ahead', String(ahead), '--seed', SEED],
    ]);
    const report = await waitUntilDone(fleet);
    return {
      report,
      tokensMade: await countTokens(fleet),
      tokensReceived: countReceived(plan.trainers[0]),
      writes: (await readWrites(fleet)) - before,
    };
  } finally {
    await fleet.stop();
  }
}

async function waitUntilDone(fleet: fleets.Fleet): Promise<trainers.TrainerReport> {
  const [trainer] = fleet.trainers;
  for (;;) {
    const report = await http.getJson<trainers.TrainerReport>(`${trainer.url}/log`);
    if (report.isDone) return report;
    await http.sleep(POLL_MS);
  }
}

async function countTokens(fleet: fleets.Fleet): Promise<number> {
  const engines = fleet.targets.filter((target) => target.kind === 'engine');
  const logs = await Promise.all(
    engines.map((engine) => http.getJson<{ tokensMade: number }>(`${engine.standin.url}/log`)),
  );
  return logs.reduce((sum, log) => sum + log.tokensMade, 0);
}

async function readWrites(fleet: fleets.Fleet): Promise<number> {
  const log = await http.getJson<{ writes: number }>(`${fleet.platform.url}/log`);
  return log.writes;
}

/** The lengths of the samples of one step, in tokens. */
function listLengths(trainer: string, step: number): number[] {
  return Array.from({ length: GROUPS * MEMBERS }, (_, index) => {
    const group = Math.floor(index / MEMBERS);
    const prompt = `${SEED} ${trainer} step-${step} group-${group}`;
    return generation.drawLength(prompt, index % MEMBERS, MEAN_TOKENS, MAXIMUM_TOKENS);
  });
}

function countReceived(trainer: string): number {
  const lengths = Array.from({ length: STEPS }, (_, step) => listLengths(trainer, step)).flat();
  return lengths.reduce((sum, length) => sum + length, 0);
}

/** The shortest time in which any schedule could finish the average step. */
function computeLowerBoundMs(plan: deployments.DeploymentPlan): number {
  const [engines] = plan.fleet.services;
  const capacity = Number(engines.options[engines.options.indexOf('--capacity') + 1]);
  const slots = capacity * (engines.count - 1 + 1 / SLOW_FACTOR);
  const bounds = Array.from({ length: STEPS }, (_, step) => {
    const lengths = listLengths(plan.trainers[0], step);
    const total = lengths.reduce((sum, length) => sum + length, 0);
    return Math.max((total * TOKEN_MS) / slots, Math.max(...lengths) * TOKEN_MS);
  });
  return bounds.reduce((sum, bound) => sum + bound, 0) / STEPS;
}

function summarize(
  plan: deployments.DeploymentPlan,
  contender: RolloutContender,
  pipelined: RunOutcome,
  alone: RunOutcome,
): RolloutResult {
  const stepMs = alone.report.stepMs.reduce((sum, step) => sum + step, 0) / STEPS;
  const lowerBoundMs = computeLowerBoundMs(plan);
  return {
    deployment: plan.name,
    contender: contender.name,
    idleShare: pipelined.report.idleMs / pipelined.report.totalMs,
    stepMs,
    lowerBoundMs,
    stepOverBound: stepMs / lowerBoundMs,
    stalenessMean: pipelined.report.stalenessMean,
    stalenessMaximum: pipelined.report.stalenessMaximum,
    wastedShare: 1 - pipelined.tokensReceived / pipelined.tokensMade,
    samples: pipelined.report.received,
    doubled: pipelined.report.doubled + alone.report.doubled,
    storeWritesPerStep: pipelined.writes / STEPS,
  };
}
