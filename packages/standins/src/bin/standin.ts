#!/usr/bin/env node
/**
 * Starts one stand-in as a process of its own. The first line on standard output is a JSON object
 * with the port taken.
 */
import * as commander from 'commander';
import * as engine from '../core/engine';
import * as plainService from '../core/plain-service';
import * as platform from '../core/platform';
import type * as server from '../core/standin-server';
import * as trainer from '../core/trainer';

const ADDRESS = '127.0.0.1';

type Options = Readonly<Record<string, string | undefined>>;

async function serve(standin: { readonly server: server.StandinServer }, port: string) {
  const taken = await standin.server.listen(ADDRESS, Number(port));
  process.stdout.write(`${JSON.stringify({ port: taken })}\n`);
  const stop = (): void => {
    standin.server.close();
    process.exit(0);
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

function readNumber(options: Options, key: string): number {
  return Number(options[key]);
}

const program = new commander.Command('standin');
program.description('Stand-ins of the systems that azureworks serves').version('0.1.0');

program
  .command('platform')
  .option('--port <port>', 'port', '0')
  .option('--weight-rate <bytes>', 'bytes a second of the weight store', '1000000000')
  .option('--vm-lag <ms>', 'lag of the VM list', '200')
  .action(async (options: Options) => {
    const standin = platform.PlatformStandin.create({
      weightBytesPerSecond: readNumber(options, 'weightRate'),
      vmLagMs: readNumber(options, 'vmLag'),
    });
    await serve(standin, options.port as string);
  });

program
  .command('engine')
  .option('--port <port>', 'port', '0')
  .requiredOption('--name <name>', 'name')
  .requiredOption('--model <model>', 'model')
  .option('--capacity <n>', 'requests at the same time', '8')
  .option('--token-ms <ms>', 'time for a token', '2')
  .option('--chunk-tokens <n>', 'tokens in one event', '8')
  .option('--prefill-ms <ms>', 'time for a prompt that is not cached', '20')
  .option('--swap-ms <ms>', 'time of a swap', '300')
  .option('--load-lag <ms>', 'lag of the load report', '500')
  .option('--weight-bytes <n>', 'size of the weights', '1000000')
  .option('--platform <url>', 'platform')
  .option('--checks-fence', 'refuse orders with an old fencing number')
  .action(async (options: Options) => {
    const standin = engine.EngineStandin.create({
      name: options.name as string,
      model: options.model as string,
      capacity: readNumber(options, 'capacity'),
      tokenMs: readNumber(options, 'tokenMs'),
      chunkTokens: readNumber(options, 'chunkTokens'),
      prefillMs: readNumber(options, 'prefillMs'),
      swapMs: readNumber(options, 'swapMs'),
      loadLagMs: readNumber(options, 'loadLag'),
      weightBytes: readNumber(options, 'weightBytes'),
      platformUrl: options.platform,
      isFencingChecked: options.checksFence !== undefined,
    });
    await serve(standin, options.port as string);
  });

program
  .command('service')
  .option('--port <port>', 'port', '0')
  .requiredOption('--name <name>', 'name')
  .option('--service-ms <ms>', 'time of a call', '10')
  .action(async (options: Options) => {
    const standin = plainService.PlainServiceStandin.create({
      name: options.name as string,
      serviceMs: readNumber(options, 'serviceMs'),
    });
    await serve(standin, options.port as string);
  });

program
  .command('trainer')
  .option('--port <port>', 'port', '0')
  .requiredOption('--name <name>', 'name')
  .requiredOption('--entries <urls>', 'entries, separated by commas')
  .option('--steps <n>', 'steps', '3')
  .option('--groups <n>', 'groups in a step', '16')
  .option('--members <n>', 'samples in a group', '8')
  .option('--mean-tokens <n>', 'mean length of a sample', '60')
  .option('--max-tokens <n>', 'longest sample', '1000')
  .option('--train-ms <ms>', 'training for each group', '100')
  .option('--ahead <n>', 'steps submitted ahead', '1')
  .option('--seed <text>', 'seed of the prompts', 'seed')
  .action(async (options: Options) => {
    const standin = trainer.TrainerStandin.create({
      name: options.name as string,
      entries: (options.entries as string).split(','),
      steps: readNumber(options, 'steps'),
      groups: readNumber(options, 'groups'),
      members: readNumber(options, 'members'),
      meanTokens: readNumber(options, 'meanTokens'),
      maximumTokens: readNumber(options, 'maxTokens'),
      trainMs: readNumber(options, 'trainMs'),
      ahead: readNumber(options, 'ahead'),
      seed: options.seed as string,
    });
    await serve(standin, options.port as string);
    await standin.run();
  });

program.parseAsync().catch((error: Error) => {
  process.stderr.write(`${error.message}\n`);
  process.exit(1);
});
