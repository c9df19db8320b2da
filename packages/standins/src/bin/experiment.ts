#!/usr/bin/env node
/**
 * Command line that runs experiments on the stand-ins. Progress goes to standard error, results to
 * standard output.
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
    const shownValue = typeof value === 'number' ? Math.round(value * 1000) / 1000 : String(value);
    process.stdout.write(`${key.padEnd(width)}  ${shownValue}\n`);
  });
}

/** Prints a report as a table, or as one JSON object with `--json`. */
function printReport(report: object): void {
  if (program.opts<{ json?: boolean }>().json) process.stdout.write(`${JSON.stringify(report)}\n`);
  else printTable(report);
}

program
  .description('Experiments on stand-ins; all processes run on this machine')
  .version('0.1.0')
  .option('--json', 'print the report as one JSON object');

program
  .command('demo')
  .description('run the main job: the trainers and callers of a deployment')
  .option('--guild', 'use the guild deployment instead of Dapur Bersih')
  .option('--steps <n>', 'steps of each trainer', '3')
  .action(async (options: { guild?: boolean; steps: string }) => {
    const plan = options.guild ? deployments.GUILD : deployments.DAPUR_BERSIH;
    printReport(await demo.runDemo(plan, Number(options.steps), showProgress));
  });

program
  .command('speed')
  .description('measure the overhead of routed calls (two hops) over direct calls to the engine')
  .option('--seconds <n>', 'duration of each measurement, in seconds', '20')
  .action(async (options: { seconds: string }) => {
    const seconds = Number(options.seconds);
    printReport(await speed.measureSpeed(deployments.DAPUR_BERSIH, seconds, showProgress));
  });

program
  .command('transport')
  .description('compare gRPC streams with HTTP streams for answers between daemons')
  .action(async () => {
    printReport(await transport.compareTransports());
  });

program
  .command('policy')
  .description(
    'compare routing and admission policies with baselines, on seeded load in simulated time',
  )
  .option('--seed <n>', 'seed of the random load', '1')
  .action((options: { seed: string }) => {
    printReport(policy.comparePolicies(Number(options.seed)));
    printReport(policy.measureDecisionCost(Number(options.seed)));
  });

program
  .command('control')
  .description('measure the control plane cost by number of daemons and rate of changes')
  .action(async () => {
    printReport(await control.measureControl(deployments.DAPUR_BERSIH, showProgress));
  });

program
  .command('spread')
  .description('measure how long an accepted change takes to be in force on all daemons')
  .action(async () => {
    printReport(await control.measurePropagation(deployments.DAPUR_BERSIH, showProgress));
  });

program
  .command('rollout')
  .description('run training steps with stragglers and new weights, compared with baselines')
  .option('--guild', 'use the guild deployment instead of Dapur Bersih')
  .option('--only <name>', 'run only this contender')
  .action(async (options: { guild?: boolean; only?: string }) => {
    const plan = options.guild ? deployments.GUILD : deployments.DAPUR_BERSIH;
    printReport(await rollout.compareRollouts(plan, options.only, showProgress));
  });

program.parseAsync().catch((error: Error) => {
  process.stderr.write(`${error.message}\n`);
  process.exit(1);
});
