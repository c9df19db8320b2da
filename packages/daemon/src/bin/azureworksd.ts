#!/usr/bin/env -S node --max-old-space-size=80 --max-semi-space-size=4
/**
 * The daemon executable. The settings choose the role, entry or target. SIGTERM and SIGINT begin a
 * planned stop.
 *
 * Exit codes: 0 after a planned stop, 1 when the daemon failed, 2 when its settings are not valid.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as configuration from '@azureworks/configuration';
import * as commander from 'commander';
import * as runtime from '@azureworks/runtime';
import type * as daemons from '../core/daemon';
import * as tls from '../core/tls';
import * as entry from '../entry/entry';
import * as target from '../target/target';

const ExitCode = { Stopped: 0, Failed: 1, InvalidSettings: 2 } as const;
const INCARNATIONS_PER_MILLISECOND = 1000;

interface CommandOptions {
  readonly settings: string;
  readonly check?: boolean;
}

function readSettings(file: string): configuration.Settings {
  const name = path.basename(file);
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch (error) {
    process.stderr.write(`${name}: ${(error as Error).message}\n`);
    return process.exit(ExitCode.InvalidSettings);
  }
  const parsed = configuration.parseSettings({ [name]: text });
  if (parsed.isOk()) return parsed.value;
  parsed.error.forEach((fault) => {
    process.stderr.write(`${configuration.formatSettingError(fault)}\n`);
  });
  return process.exit(ExitCode.InvalidSettings);
}

/**
 * Creates the incarnation number of this start. Later starts get higher numbers; the random part
 * tells apart two starts that fall into the same millisecond.
 */
function createIncarnation(): number {
  const random = Math.floor(Math.random() * INCARNATIONS_PER_MILLISECOND);
  return Date.now() * INCARNATIONS_PER_MILLISECOND + random;
}

function createDaemon(settings: configuration.Settings, daemonLog: runtime.Log): daemons.Daemon {
  const credentials = tls.createCredentials(settings);
  const incarnation = createIncarnation();
  if (settings.daemon.role === configuration.Role.Entry) {
    return entry.EntryDaemon.create(settings, credentials, incarnation, daemonLog);
  }
  return target.TargetDaemon.create(settings, credentials, incarnation, daemonLog);
}

async function run(options: CommandOptions): Promise<void> {
  const settings = readSettings(options.settings);
  if (options.check) return;
  const daemonLog = runtime.JsonLog.create(settings.log.level, settings.daemon.name);
  const daemon = createDaemon(settings, daemonLog);
  let isStopping = false;
  const stop = (signal: NodeJS.Signals): void => {
    if (isStopping) return;
    isStopping = true;
    daemonLog.info('stopping', { signal });
    daemon.stop().then(
      () => process.exit(ExitCode.Stopped),
      () => process.exit(ExitCode.Failed),
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  const { httpPort, controlPort } = await daemon.start();
  daemonLog.info('listening', { httpPort, controlPort });
  // An error that nothing expects must not end the requests that have nothing to do with it.
  process.on('uncaughtException', (error) => {
    daemonLog.warn('uncaught error', { error: String(error.stack ?? error) });
  });
}

commander.program
  .name('azureworksd')
  .description('Daemon of the azureworks rollout service')
  .version('0.1.0')
  .requiredOption('-s, --settings <file>', 'settings of this daemon, in INI')
  .option('--check', 'check the settings and exit')
  .addHelpText('after', '\nExit codes: 0 planned stop, 1 failure, 2 settings not valid.')
  .action((options: CommandOptions) => {
    run(options).catch((error: Error) => {
      process.stderr.write(`${error.message}\n`);
      process.exit(ExitCode.Failed);
    });
  });

commander.program.parse();
