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
Exit codes: 0 done, 1 failed, 2 invalid configuration or command, 3 conflict with another change,
4 unknown whether the change was accepted, 5 no entry or store reached and nothing changed.`;

const program = new commander.Command('azureworks');

function readEntryUrls(): string[] {
  return (process.env.AZUREWORKS_ENTRY ?? '').split(',').filter((url) => url !== '');
}

function createClient(): entryClient.EntryClient {
  const { entry: givenUrls, tokenFile } = program.opts<GlobalOptions>();
  const urls = givenUrls.length > 0 ? givenUrls : readEntryUrls();
  const token = tokenFile
    ? fs.readFileSync(tokenFile, 'utf8').trim()
    : process.env.AZUREWORKS_TOKEN;
  if (urls.length > 0) return entryClient.EntryClient.create(urls, token);
  process.stderr.write('no entry given; set --entry or AZUREWORKS_ENTRY\n');
  return process.exit(exitCodes.ExitCode.Invalid);
}

async function runCommand(
  command: () => commands.CommandOutcome | Promise<commands.CommandOutcome>,
): Promise<void> {
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
    'base URL of an entry, http://IP:PORT; repeatable; default: AZUREWORKS_ENTRY, comma-separated',
    (url: string, urls: string[]) => [...urls, url],
    [],
  )
  .option(
    '-t, --token-file <file>',
    "file with the operators' token; default: the token in AZUREWORKS_TOKEN",
  )
  .option('--json', 'print one JSON object')
  .addHelpText('after', EXIT_CODES_HELP)
  .exitOverride((error) => {
    process.exit(error.exitCode === 0 ? exitCodes.ExitCode.Done : exitCodes.ExitCode.Invalid);
  });

program
  .command('check')
  .description('check the configuration files of a folder offline')
  .argument('<folder>')
  .action((folder: string) => runCommand(() => commands.check(folder)));

program
  .command('diff')
  .description('show what apply would change')
  .argument('<folder>')
  .action((folder: string) => runCommand(() => commands.diff(folder, createClient())));

program
  .command('apply')
  .description('apply a folder; returns once the change is accepted or rejected')
  .argument('<folder>')
  .option('--author <name>', 'author recorded with the change', os.userInfo().username)
  .action((folder: string, options: { author: string }) =>
    runCommand(() => commands.apply(folder, options.author, createClient())),
  );

program
  .command('status')
  .description('show the revision in force on every daemon, and which targets lag behind')
  .action(() => runCommand(() => commands.status(createClient())));

program
  .command('history')
  .description('show the accepted changes, oldest first')
  .action(() => runCommand(() => commands.history(createClient())));

program
  .command('show')
  .description('show the configuration files in force')
  .action(() => runCommand(() => commands.show(createClient())));

program
  .command('find')
  .description('show whether a change was accepted')
  .argument('<change-id>')
  .action((id: string) => runCommand(() => commands.find(id, createClient())));

program.parseAsync().catch(() => process.exit(exitCodes.ExitCode.Failed));
