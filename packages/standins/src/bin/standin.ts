#!/usr/bin/env node
/**
 * Command line that runs one stand-in in its own process. The first line on standard output is a
 * JSON object with the bound port.
 */
import * as commander from 'commander';
import * as engine from '../core/engine';
import * as plainService from '../core/plain-service';
import * as platform from '../core/platform';
import type * as server from '../core/standin-server';
import * as trainer from '../core/trainer';

const ADDRESS = '127.0.0.1';

type CommandOptions = Readonly<Record<string, string | undefined>>;

async function listenUntilStopped(
  standin: { readonly server: server.StandinServer },
  port: string,
) {
  const boundPort = await standin.server.listen(ADDRESS, Number(port));
  process.stdout.write(`${JSON.stringify({ port: boundPort })}\n`);
  const stop = (): void => {
    standin.server.close();
    process.exit(0);
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

function readNumber(options: CommandOptions, key: string): number {
  return Number(options[key]);
}

const program = new commander.Command('standin');
program.description('Stand-ins of the systems that azureworks serves').version('0.1.0');

program
  .command('platform')
  .option('--port <port>', 'port', '0')
  .option(
    '--weight-rate <bytes>',
    'bandwidth of the weight store, in bytes per second',
    '1000000000',
  )
  .option('--vm-lag <ms>', 'delay until the VM list shows a change', '200')
  .action(async (options: CommandOptions) => {
    const standin = platform.PlatformStandin.create({
      weightBytesPerSecond: readNumber(options, 'weightRate'),
      vmLagMs: readNumber(options, 'vmLag'),
    });
    await listenUntilStopped(standin, options.port as string);
  });

program
  .command('engine')
  .option('--port <port>', 'port', '0')
  .requiredOption('--name <name>', 'name')
  .requiredOption('--model <model>', 'model')
  .option('--capacity <n>', 'maximum number of concurrent requests', '8')
  .option('--token-ms <ms>', 'time to generate a token', '2')
  .option('--chunk-tokens <n>', 'number of tokens in one event', '8')
  .option('--prefill-ms <ms>', 'time to process a prompt that is not cached', '20')
  .option('--swap-ms <ms>', 'duration of a weight swap', '300')
  .option('--load-lag <ms>', 'delay until a load appears in load reports', '500')
  .option('--weight-bytes <n>', 'size of the weights, in bytes', '1000000')
  .option('--platform <url>', 'URL of the platform that serves the weights')
  .option('--checks-fence', 'reject weight orders with a stale fencing token')
  .action(async (options: CommandOptions) => {
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
    await listenUntilStopped(standin, options.port as string);
  });

program
  .command('service')
  .option('--port <port>', 'port', '0')
  .requiredOption('--name <name>', 'name')
  .option('--service-ms <ms>', 'duration of a call', '10')
  .action(async (options: CommandOptions) => {
    const standin = plainService.PlainServiceStandin.create({
      name: options.name as string,
      serviceMs: readNumber(options, 'serviceMs'),
    });
    await listenUntilStopped(standin, options.port as string);
  });

program
  .command('trainer')
  .option('--port <port>', 'port', '0')
  .requiredOption('--name <name>', 'name')
  .requiredOption('--entries <urls>', 'URLs of the entries, separated by commas')
  .option('--steps <n>', 'number of steps', '3')
  .option('--groups <n>', 'number of groups in a step', '16')
  .option('--members <n>', 'number of samples in a group', '8')
  .option('--mean-tokens <n>', 'mean length of a sample, in tokens', '60')
  .option('--max-tokens <n>', 'maximum length of a sample, in tokens', '1000')
  .option('--train-ms <ms>', 'training time for each group', '100')
  .option('--ahead <n>', 'number of steps submitted ahead', '1')
  .option('--seed <text>', 'seed of the prompts', 'seed')
  .action(async (options: CommandOptions) => {
    const standin = trainer.TrainerStandin.create({
      name: options.name as string,
      entries: (options.entries as string).split(','),
      steps: readNumber(options, 'steps'),
      groups: readNumber(options, 'groups'),
      members: readNumber(options, 'members'),
      meanTokens: readNumber(options, 'meanTokens'),
      maximumTokens: readNumber(options, 'maxTokens'),
      trainMs: readNumber(options, 'trainMs'),
      stepsAhead: readNumber(options, 'ahead'),
      promptSeed: options.seed as string,
    });
    await listenUntilStopped(standin, options.port as string);
    await standin.run();
  });

program.parseAsync().catch((error: Error) => {
  process.stderr.write(`${error.message}\n`);
  process.exit(1);
});
