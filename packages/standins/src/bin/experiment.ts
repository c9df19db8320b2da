#!/usr/bin/env node
/**
 * Runs experiments on the stand-ins. Progress goes to standard error, results to standard output.
 */
import * as commander from 'commander';
import * as control from '../experiments/control';
import * as demo from '../experiments/demo';
import * as deployments from '../experiments/deployments';
import * as policy from '../experiments/policy';
import * as rollout from '../experiments/rollout';
import * as speed from '../experiments/speed';
import * as transport from '../experiments/transport';

const program = new commander.Command('experiment');

function showProgress(line: string): void {
  process.stderr.write(`${line}\n`);
}

function printTable(report: object): void {
  if (Array.isArray(report)) {
    console.table(report);
    return;
  }
  const width = Math.max(...Object.keys(report).map((key) => key.length));
  Object.entries(report).forEach(([key, value]) => {
    const shown = typeof value === 'number' ? Math.round(value * 1000) / 1000 : String(value);
    process.stdout.write(`${key.padEnd(width)}  ${shown}\n`);
  });
}

/** Prints a report as a table, or as one JSON object with `--json`. */
function print(report: object): void {
  if (program.opts<{ json?: boolean }>().json) process.stdout.write(`${JSON.stringify(report)}\n`);
  else printTable(report);
}

program
  .description('Experiments on stand-ins, each with all its processes on this machine')
  .version('0.1.0')
  .option('--json', 'print one JSON object');

program
  .command('demo')
  .description('run the main job: trainers and callers of a deployment')
  .option('--guild', 'the deployment of the guild instead of Dapur Bersih')
  .option('--steps <n>', 'steps of each trainer', '3')
  .action(async (options: { guild?: boolean; steps: string }) => {
    const plan = options.guild ? deployments.GUILD : deployments.DAPUR_BERSIH;
    print(await demo.runDemo(plan, Number(options.steps), showProgress));
  });

program
  .command('speed')
  .description('measure what the two hops cost against a direct call of the engine')
  .option('--seconds <n>', 'length of each part', '20')
  .action(async (options: { seconds: string }) => {
    const seconds = Number(options.seconds);
    print(await speed.measureSpeed(deployments.DAPUR_BERSIH, seconds, showProgress));
  });

program
  .command('transport')
  .description('compare gRPC streams with HTTP streams for the answer path')
  .action(async () => {
    print(await transport.compareTransports());
  });

program
  .command('policy')
  .description('compare routing and admission with baselines, on seeded load in simulated time')
  .option('--seed <n>', 'seed', '1')
  .action((options: { seed: string }) => {
    print(policy.comparePolicies(Number(options.seed)));
    print(policy.measureDecisionCost(Number(options.seed)));
  });

program
  .command('control')
  .description('measure the cost of control against the number of daemons and changes')
  .action(async () => {
    print(await control.measureControl(deployments.DAPUR_BERSIH, showProgress));
  });

program
  .command('spread')
  .description('measure how long an accepted change takes to be in force everywhere')
  .action(async () => {
    print(await control.measureSpread(deployments.DAPUR_BERSIH, showProgress));
  });

program
  .command('rollout')
  .description('run steps with stragglers and new weights, against baselines')
  .option('--guild', 'the deployment of the guild instead of Dapur Bersih')
  .option('--only <name>', 'run one contender')
  .action(async (options: { guild?: boolean; only?: string }) => {
    const plan = options.guild ? deployments.GUILD : deployments.DAPUR_BERSIH;
    print(await rollout.compareRollouts(plan, options.only, showProgress));
  });

program.parseAsync().catch((error: Error) => {
  process.stderr.write(`${error.message}\n`);
  process.exit(1);
});
