/**
 * The subcommands of the command line. Each returns an exit code and the output to print.
 */
import * as crypto from 'node:crypto';
import * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import * as exitCodes from '../types/exit-code';
import type * as entryClient from './entry-client';
import * as folders from './folder';

export interface CommandOutcome {
  readonly exitCode: exitCodes.ExitCode;
  /** Printed as JSON with `--json`. */
  readonly data: unknown;
  /** Printed without `--json`. */
  readonly text: string;
}

interface ConfigurationInForce {
  readonly revision: number;
  readonly files: Record<string, string>;
}

interface ErrorBody {
  readonly error: {
    readonly code: string;
    readonly verdict: string;
    readonly message: string;
    readonly errors?: readonly string[];
    readonly conflict?: decisions.ChangeConflict;
  };
}

interface TargetStatus {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly revision: number;
  readonly isLeaving: boolean;
}

interface EntryStatus {
  readonly entry: string;
  readonly revision: number;
  readonly confirmedAgoMs: number | null;
  readonly entries: readonly {
    readonly name: string;
    readonly state: string;
    readonly url: string;
  }[];
  readonly targets: readonly TargetStatus[];
}

const OK = 200;
const CONFLICT = 409;
const UNPROCESSABLE = 422;

/** Checks the configuration files of a folder offline. */
export function check(folder: string): CommandOutcome {
  const parsed = configuration.parseConfiguration(folders.readFolder(folder));
  if (parsed.isOk()) {
    return {
      exitCode: exitCodes.ExitCode.Done,
      data: { isValid: true, errors: [] },
      text: 'valid',
    };
  }
  const lines = parsed.error.map(configuration.formatSettingError);
  return {
    exitCode: exitCodes.ExitCode.Invalid,
    data: { isValid: false, errors: parsed.error },
    text: lines.join('\n'),
  };
}

/** Shows what `apply` would change. */
export async function diff(
  folder: string,
  client: entryClient.EntryClient,
): Promise<CommandOutcome> {
  const inForce = await readConfigurationInForce(client);
  if ('exitCode' in inForce) return inForce;
  const local = folders.readFolder(folder);
  const change = folders.compareFolder(local, inForce.files, folders.readBase(folder));
  const lines = [
    ...Object.keys(change.put).map((name) => `${name in inForce.files ? 'change' : 'add'} ${name}`),
    ...change.remove.map((name) => `remove ${name}`),
  ];
  const text = lines.length === 0 ? 'nothing to change' : lines.join('\n');
  return {
    exitCode: exitCodes.ExitCode.Done,
    data: { revision: inForce.revision, ...change },
    text,
  };
}

/** Applies a folder; returns once the change is accepted or rejected. */
export async function apply(
  folder: string,
  author: string,
  client: entryClient.EntryClient,
): Promise<CommandOutcome> {
  const checkOutcome = check(folder);
  if (checkOutcome.exitCode !== exitCodes.ExitCode.Done) return checkOutcome;
  const inForce = await readConfigurationInForce(client);
  if ('exitCode' in inForce) return inForce;
  const local = folders.readFolder(folder);
  const base = folders.readBase(folder);
  const change = folders.compareFolder(local, inForce.files, base);
  if (Object.keys(change.put).length === 0 && change.remove.length === 0) {
    folders.writeBase(folder, inForce.revision, local);
    const data = { revision: inForce.revision, isChanged: false };
    return { exitCode: exitCodes.ExitCode.Done, data, text: 'nothing to change' };
  }
  const id = crypto.randomUUID();
  const baseRevision = base?.revision ?? inForce.revision;
  const result = await client.post('/v1/configuration/changes', {
    id,
    baseRevision,
    author,
    ...change,
  });
  if (result.isErr()) return createChangeFailureOutcome(id, result.error);
  if (result.value.status !== OK) return createChangeRejectionOutcome(result.value);
  const accepted = result.value.body as { revision: number; heldBy: string[]; missing: string[] };
  folders.writeBase(folder, accepted.revision, local);
  return {
    exitCode: exitCodes.ExitCode.Done,
    data: { ...accepted, isChanged: true },
    text: `accepted as revision ${accepted.revision}, held by ${accepted.heldBy.join(', ')}`,
  };
}

/** Shows the revision in force on every daemon, and which targets lag behind. */
export async function status(client: entryClient.EntryClient): Promise<CommandOutcome> {
  const result = await client.get('/v1/status');
  if (result.isErr() || result.value.status !== OK) return createReadFailureOutcome(result);
  const entry = result.value.body as EntryStatus;
  const lagging = entry.targets.filter((target) => target.revision < entry.revision);
  const lines = [
    `entry ${entry.entry}: revision ${entry.revision}, ${describeConfirmation(entry)}`,
    ...entry.entries.map((peer) => `entry ${peer.name}: ${peer.state}, ${peer.url}`),
    ...entry.targets.map(
      (target) =>
        `target ${target.name} (${target.service}, ${target.failureDomain}): revision ` +
        `${target.revision}${target.isLeaving ? ', leaving' : ''}${
          lagging.includes(target) ? ', lagging' : ''
        }`,
    ),
  ];
  const data = { ...entry, lagging: lagging.map((target) => target.name) };
  return { exitCode: exitCodes.ExitCode.Done, data, text: lines.join('\n') };
}

/** Shows the accepted changes, oldest first. */
export async function history(client: entryClient.EntryClient): Promise<CommandOutcome> {
  const result = await client.get('/v1/configuration/history');
  if (result.isErr() || result.value.status !== OK) return createReadFailureOutcome(result);
  const { changes } = result.value.body as {
    changes: { revision: number; author: string; acceptedAt: string; files: string[] }[];
  };
  const lines = changes.map(
    (change) =>
      `${change.revision}  ${change.acceptedAt}  ${change.author}  ${change.files.join(', ')}`,
  );
  return { exitCode: exitCodes.ExitCode.Done, data: { changes }, text: lines.join('\n') };
}

/** Shows the configuration files in force. */
export async function show(client: entryClient.EntryClient): Promise<CommandOutcome> {
  const inForce = await readConfigurationInForce(client);
  if ('exitCode' in inForce) return inForce;
  const fileTexts = Object.entries(inForce.files).map(([name, text]) => `; ${name}\n${text}`);
  const text = [`; revision ${inForce.revision}`, ...fileTexts].join('\n');
  return { exitCode: exitCodes.ExitCode.Done, data: inForce, text };
}

/** Shows whether a change was accepted. */
export async function find(id: string, client: entryClient.EntryClient): Promise<CommandOutcome> {
  const result = await client.get(`/v1/configuration/changes/${encodeURIComponent(id)}`);
  if (result.isErr()) return createReadFailureOutcome(result);
  const isAccepted = result.value.status === OK;
  return {
    exitCode: isAccepted ? exitCodes.ExitCode.Done : exitCodes.ExitCode.Failed,
    data: { isAccepted, change: isAccepted ? result.value.body : null },
    text: isAccepted ? 'accepted' : 'not accepted',
  };
}

async function readConfigurationInForce(
  client: entryClient.EntryClient,
): Promise<ConfigurationInForce | CommandOutcome> {
  const result = await client.get('/v1/configuration');
  if (result.isErr() || result.value.status !== OK) return createReadFailureOutcome(result);
  return result.value.body as ConfigurationInForce;
}

function describeConfirmation(entry: EntryStatus): string {
  return entry.confirmedAgoMs === null ? 'not confirmed' : 'confirmed';
}

function createReadFailureOutcome(
  result: Awaited<ReturnType<entryClient.EntryClient['get']>>,
): CommandOutcome {
  if (result.isErr()) {
    const { message } = result.error;
    const data = { error: { message } };
    return {
      exitCode: exitCodes.ExitCode.Unreachable,
      data,
      text: `no entry served the request: ${message}`,
    };
  }
  const { error } = result.value.body as ErrorBody;
  return { exitCode: exitCodes.ExitCode.Failed, data: { error }, text: error.message };
}

function createChangeRejectionOutcome(response: entryClient.EntryResponse): CommandOutcome {
  const { error } = response.body as ErrorBody;
  const exitCodesByStatus: Readonly<Record<number, exitCodes.ExitCode>> = {
    [CONFLICT]: exitCodes.ExitCode.Conflict,
    [UNPROCESSABLE]: exitCodes.ExitCode.Invalid,
  };
  const exitCode = exitCodesByStatus[response.status] ?? exitCodes.ExitCode.Failed;
  const text = ['not accepted', error.message, ...(error.errors ?? [])].join('\n');
  return { exitCode, data: { error }, text };
}

function createChangeFailureOutcome(
  id: string,
  failure: entryClient.RequestFailure,
): CommandOutcome {
  const data = { changeId: id, verdict: failure.verdict, message: failure.message };
  if (failure.verdict === decisions.VerdictKind.NotRun) {
    const text = `not accepted: ${failure.message}`;
    return { exitCode: exitCodes.ExitCode.Unreachable, data, text };
  }
  const text =
    `unknown whether change ${id} was accepted: ${failure.message}\n` +
    `check later with: azureworks find ${id}`;
  return { exitCode: exitCodes.ExitCode.Unknown, data, text };
}
