/**
 * The settings of one daemon: its role and name, its listening ports and the URL of the platform.
 */
import * as neverthrow from 'neverthrow';
import type * as zod from 'zod';
import type * as settingErrors from '../types/setting-error';
import * as fields from '../utils/fields';
import * as check from './check';
import * as iniFiles from './ini-files';

/** The role of a daemon: an entry routes requests, a target daemon runs next to one target. */
export const Role = { Entry: 'entry', Target: 'target' } as const;
export type Role = (typeof Role)[keyof typeof Role];

/** The kind of a target: a model engine or another service. */
export const TargetKind = { Engine: 'engine', Service: 'service' } as const;
export type TargetKind = (typeof TargetKind)[keyof typeof TargetKind];

const MAXIMUM_PORT = 65_535;
const MAXIMUM_DURATION_MS = 600_000;

const daemonShape = {
  role: fields.oneOf([Role.Entry, Role.Target]),
  name: fields.name(),
  vm: fields.name().optional(),
  address: fields.ipAddress(),
  http_port: fields.integer(0, MAXIMUM_PORT).default(0),
  control_port: fields.integer(0, MAXIMUM_PORT).default(0),
  failure_domain: fields.name(),
  region: fields.name().default('default'),
  drain_timeout_ms: fields.integer(0, MAXIMUM_DURATION_MS).default(30_000),
  /** Memory that open work may hold. */
  work_memory_mb: fields.integer(16, 65_536).default(96),
  /** Descriptors that the process may open; the system's own limit applies as well. */
  maximum_descriptors: fields.integer(256, 1_048_576).default(4096),
};

const platformShape = {
  url: fields.url(),
  timeout_ms: fields.integer(10, MAXIMUM_DURATION_MS).default(1000),
};

const targetShape = {
  service: fields.name(),
  kind: fields.oneOf([TargetKind.Engine, TargetKind.Service]),
  url: fields.url(),
  software_version: fields.name().optional(),
};

const tlsShape = {
  certificate_file: fields.filePath(),
  key_file: fields.filePath(),
  authority_file: fields.filePath(),
};

const operatorShape = {
  token_file: fields.filePath().optional(),
};

const logShape = {
  level: fields.oneOf(['error', 'warn', 'info', 'debug']).default('info'),
};

const KINDS = {
  daemon: { isNamed: false, shape: daemonShape },
  platform: { isNamed: false, shape: platformShape },
  target: { isNamed: false, shape: targetShape },
  tls: { isNamed: false, shape: tlsShape },
  operator: { isNamed: false, shape: operatorShape },
  log: { isNamed: false, shape: logShape },
} as const satisfies Record<string, check.SectionKind>;

type Values<S extends check.SectionShape> = Readonly<{ [K in keyof S]: zod.output<S[K]> }>;

/** Identity, location and listening ports of a daemon. Port 0 selects a free port. */
export type DaemonSettings = Values<typeof daemonShape>;
/** The URL of the platform's services and the timeout of requests to them. */
export type PlatformSettings = Values<typeof platformShape>;
/** The target that a target daemon runs next to. */
export type TargetSettings = Values<typeof targetShape>;
/** PEM files with the keys and certificates for mutual TLS between daemons. */
export type TlsSettings = Values<typeof tlsShape>;

/** All settings of a daemon. */
export interface Settings {
  readonly daemon: DaemonSettings;
  readonly platform: PlatformSettings;
  /** Required for the target role. */
  readonly target?: TargetSettings;
  /** Links between daemons are unencrypted when absent. */
  readonly tls?: TlsSettings;
  readonly operator: Values<typeof operatorShape>;
  readonly log: Values<typeof logShape>;
}

/** Parses and validates the settings of a daemon; reports all errors, not only the first. */
export function parseSettings(
  files: iniFiles.IniFiles,
): neverthrow.Result<Settings, settingErrors.SettingError[]> {
  const merged = iniFiles.mergeFiles(files);
  const file = Object.keys(files).sort()[0] ?? 'settings';
  ['operator', 'log']
    .filter((title) => !merged.has(title))
    .forEach((title) => merged.set(title, { title, file, values: new Map() }));
  const result = check.checkSections(merged, KINDS);
  const errors = [...result.errors, ...findMissingSections(merged, file)];
  if (errors.length > 0) return neverthrow.err(errors);
  const values = result.sections.map((section) => [section.kind, section.values]);
  return neverthrow.ok(Object.fromEntries(values) as Settings);
}

function findMissingSections(
  merged: ReadonlyMap<string, iniFiles.Section>,
  file: string,
): settingErrors.SettingError[] {
  const isTarget = merged.get('daemon')?.values.get('role')?.value === Role.Target;
  const required = ['daemon', 'platform', ...(isTarget ? ['target'] : [])];
  return required
    .filter((title) => !merged.has(title))
    .map((title) => ({ file, key: `[${title}]`, seen: undefined, expected: 'the section' }));
}
