/**
 * Benchmark of training steps with heavy-tailed answer lengths, a slow engine and weights that
 * change during the steps. Each baseline changes one setting: no second attempts, least-requests
 * routing, samples finished before they are discarded as stale, or all engines swapped at once.
 */
import type * as trainers from '../core/trainer';
import * as generation from '../utils/generation';
import type * as deployments from './deployments';
import * as demo from './demo';
import * as fleets from './fleet';
import * as http from './http';

/** A configuration variant to compare. */
export interface RolloutContender {
  readonly name: string;
  /** Creates the configuration files that differ from the deployment's own. */
  readonly createFiles: (plan: deployments.DeploymentPlan) => Readonly<Record<string, string>>;
}

/** Results of a contender. */
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
const GROUP_SIZE = 8;
const MEAN_TOKENS = 100;
const MAXIMUM_TOKENS = 800;
const MS_PER_TOKEN = 2;
const TRAINING_MS_PER_GROUP = 30;
const SLOW_ENGINE_FACTOR = 4;
const POLL_INTERVAL_MS = 200;
const PROMPT_SEED = 'rollout';

/** The unchanged configuration first, then the baselines. */
export const CONTENDERS: readonly RolloutContender[] = [
  { name: 'azureworks', createFiles: () => ({}) },
  {
    name: 'no second attempts',
    createFiles: () => ({ '80.ini': '[limits]\nsecond_attempt_share = 0\n' }),
  },
  {
    name: 'least requests',
    createFiles: (plan) => ({ '80.ini': `[engine ${plan.engine}]\nrouting = least-requests\n` }),
  },
  {
    name: 'finish, then discard',
    createFiles: (plan) => ({ '80.ini': `[trainer ${plan.trainers[0]}]\nrestart_early = false\n` }),
  },
  {
    name: 'swap all at once',
    createFiles: (plan) => ({ '80.ini': `[engine ${plan.engine}]\nswap_share = 1\n` }),
  },
];

/** Runs every contender on one deployment. */
export async function compareRollouts(
  plan: deployments.DeploymentPlan,
  onlyContender: string | undefined,
  onProgress: demo.ProgressListener,
): Promise<RolloutResult[]> {
  const results: RolloutResult[] = [];
  const chosenContenders = CONTENDERS.filter(
    ({ name }) => onlyContender === undefined || name === onlyContender,
  );
  for (const contender of chosenContenders) {
    onProgress(`${plan.name}: ${contender.name}`);
    const pipelinedRun = await runTrainer(plan, contender, 1, TRAINING_MS_PER_GROUP);
    const unpipelinedRun = await runTrainer(plan, contender, 0, 0);
    results.push(summarize(plan, contender, pipelinedRun, unpipelinedRun));
  }
  return results;
}

interface RolloutRun {
  readonly report: trainers.TrainerReport;
  readonly tokensGenerated: number;
  readonly tokensReceived: number;
  readonly storeWrites: number;
}

async function runTrainer(
  plan: deployments.DeploymentPlan,
  contender: RolloutContender,
  stepsAhead: number,
  trainingMs: number,
): Promise<RolloutRun> {
  const fleet = await fleets.Fleet.create(plan.fleet);
  try {
    const files = { ...plan.configurationFiles, ...contender.createFiles(plan) };
    const { revision } = demo.applyConfiguration(fleet, fleet.writeConfiguration('rollout', files));
    await fleet.waitUntilReady(revision);
    const [slowEngine] = fleet.targets.filter((target) => target.kind === 'engine');
    await http.postJson(`${slowEngine.standin.url}/faults`, { slowFactor: SLOW_ENGINE_FACTOR });
    const writesBefore = await readStoreWrites(fleet);
    await fleet.addTrainer(plan.trainers[0], [
      ...['--steps', String(STEPS), '--groups', String(GROUPS), '--members', String(GROUP_SIZE)],
      ...['--mean-tokens', String(MEAN_TOKENS), '--max-tokens', String(MAXIMUM_TOKENS)],
      ...['--train-ms', String(trainingMs), '--ahead', String(stepsAhead), '--seed', PROMPT_SEED],
    ]);
    const report = await waitUntilDone(fleet);
    return {
      report,
      tokensGenerated: await countGeneratedTokens(fleet),
      tokensReceived: countSampleTokens(plan.trainers[0]),
      storeWrites: (await readStoreWrites(fleet)) - writesBefore,
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
    await http.sleep(POLL_INTERVAL_MS);
  }
}

async function countGeneratedTokens(fleet: fleets.Fleet): Promise<number> {
  const engines = fleet.targets.filter((target) => target.kind === 'engine');
  const logs = await Promise.all(
    engines.map((engine) => http.getJson<{ tokensMade: number }>(`${engine.standin.url}/log`)),
  );
  return logs.reduce((sum, log) => sum + log.tokensMade, 0);
}

async function readStoreWrites(fleet: fleets.Fleet): Promise<number> {
  const log = await http.getJson<{ writes: number }>(`${fleet.platform.url}/log`);
  return log.writes;
}

/** Returns the lengths of all samples of one step, in tokens. */
function listSampleLengths(trainer: string, step: number): number[] {
  return Array.from({ length: GROUPS * GROUP_SIZE }, (_, index) => {
    const group = Math.floor(index / GROUP_SIZE);
    const prompt = `${PROMPT_SEED} ${trainer} step-${step} group-${group}`;
    return generation.sampleLength(prompt, index % GROUP_SIZE, MEAN_TOKENS, MAXIMUM_TOKENS);
  });
}

function countSampleTokens(trainer: string): number {
  const lengths = Array.from({ length: STEPS }, (_, step) =>
    listSampleLengths(trainer, step),
  ).flat();
  return lengths.reduce((sum, length) => sum + length, 0);
}

/** Computes the shortest time in which any schedule could finish the average step. */
function computeLowerBoundMs(plan: deployments.DeploymentPlan): number {
  const [engines] = plan.fleet.services;
  const capacity = Number(engines.options[engines.options.indexOf('--capacity') + 1]);
  const slots = capacity * (engines.count - 1 + 1 / SLOW_ENGINE_FACTOR);
  const bounds = Array.from({ length: STEPS }, (_, step) => {
    const lengths = listSampleLengths(plan.trainers[0], step);
    const totalTokens = lengths.reduce((sum, length) => sum + length, 0);
    return Math.max((totalTokens * MS_PER_TOKEN) / slots, Math.max(...lengths) * MS_PER_TOKEN);
  });
  return bounds.reduce((sum, bound) => sum + bound, 0) / STEPS;
}

function summarize(
  plan: deployments.DeploymentPlan,
  contender: RolloutContender,
  pipelinedRun: RolloutRun,
  unpipelinedRun: RolloutRun,
): RolloutResult {
  const stepMs = unpipelinedRun.report.stepMs.reduce((sum, step) => sum + step, 0) / STEPS;
  const lowerBoundMs = computeLowerBoundMs(plan);
  return {
    deployment: plan.name,
    contender: contender.name,
    idleShare: pipelinedRun.report.idleMs / pipelinedRun.report.totalMs,
    stepMs,
    lowerBoundMs,
    stepOverBound: stepMs / lowerBoundMs,
    stalenessMean: pipelinedRun.report.stalenessMean,
    stalenessMaximum: pipelinedRun.report.stalenessMaximum,
    wastedShare: 1 - pipelinedRun.tokensReceived / pipelinedRun.tokensGenerated,
    samples: pipelinedRun.report.received,
    doubled: pipelinedRun.report.doubled + unpipelinedRun.report.doubled,
    storeWritesPerStep: pipelinedRun.storeWrites / STEPS,
  };
}
