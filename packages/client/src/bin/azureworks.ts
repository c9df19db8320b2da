#!/usr/bin/env node
/**
 * The command line for operators.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as commander from 'commander';
import * as commands from '../core/commands';
import * as entryClient from '../core/entry-client';
import * as exitCodes from '../types/exit-code';

interface GlobalOptions {
  readonly entry: string[];
  readonly tokenFile?: string;
  readonly json?: boolean;
}

const EXIT_CODES_HELP = `
Exit codes: 0 done, 1 failed, 2 not valid, 3 conflict with another change,
4 not known whether it was accepted, 5 nobody could be reached and nothing was changed.`;

const program = new commander.Command('azureworks');

function readEntries(): string[] {
  return (process.env.AZUREWORKS_ENTRY ?? '').split(',').filter((url) => url !== '');
}

function createClient(): entryClient.EntryClient {
  const { entry: named, tokenFile } = program.opts<GlobalOptions>();
  const entry = named.length > 0 ? named : readEntries();
  const token = tokenFile
    ? fs.readFileSync(tokenFile, 'utf8').trim()
    : process.env.AZUREWORKS_TOKEN;
  if (entry.length > 0) return entryClient.EntryClient.create(entry, token);
  process.stderr.write('name an entry with --entry or AZUREWORKS_ENTRY\n');
  return process.exit(exitCodes.ExitCode.Invalid);
}

async function run(command: () => commands.Outcome | Promise<commands.Outcome>): Promise<void> {
  try {
    const outcome = await command();
    const { json } = program.opts<GlobalOptions>();
    process.stdout.write(`${json ? JSON.stringify(outcome.data) : outcome.text}\n`);
    process.exitCode = outcome.exitCode;
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    process.exitCode = exitCodes.ExitCode.Failed;
  }
}

program
  .description('Operates azureworks deployments from a folder of INI files')
  .version('0.1.0')
  .option(
    '-e, --entry <url>',
    'base URL of an entry, http://IP:PORT; may be repeated; or AZUREWORKS_ENTRY, with commas',
    (url: string, urls: string[]) => [...urls, url],
    [],
  )
  .option('-t, --token-file <file>', "file with the operators' token; or AZUREWORKS_TOKEN")
  .option('--json', 'print one JSON object')
  .addHelpText('after', EXIT_CODES_HELP)
  .exitOverride((error) => {
    process.exit(error.exitCode === 0 ? exitCodes.ExitCode.Done : exitCodes.ExitCode.Invalid);
  });

program
  .command('check')
  .description('check a folder without talking to anybody')
  .argument('<folder>')
  .action((folder: string) => run(() => commands.check(folder)));

program
  .command('diff')
  .description('show what an apply would change')
  .argument('<folder>')
  .action((folder: string) => run(() => commands.diff(folder, createClient())));

program
  .command('apply')
  .description('apply a folder; returns when the change is accepted or refused')
  .argument('<folder>')
  .option('--author <name>', 'who makes the change', os.userInfo().username)
  .action((folder: string, options: { author: string }) =>
    run(() => commands.apply(folder, options.author, createClient())),
  );

program
  .command('status')
  .description('show the revision in force on every daemon, and which of them lag')
  .action(() => run(() => commands.status(createClient())));

program
  .command('history')
  .description('show the accepted changes, oldest first')
  .action(() => run(() => commands.history(createClient())));

program
  .command('show')
  .description('show the files in force')
  .action(() => run(() => commands.show(createClient())));

program
  .command('find')
  .description('tell whether a change was accepted')
  .argument('<change-id>')
  .action((id: string) => run(() => commands.find(id, createClient())));

program.parseAsync().catch(() => process.exit(exitCodes.ExitCode.Failed));
