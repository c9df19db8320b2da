/**
 * The settings of one daemon: who it is, where it listens and where the platform is.
 */
import * as neverthrow from 'neverthrow';
import type * as zod from 'zod';
import type * as settingErrors from '../types/setting-error';
import * as fields from '../utils/fields';
import * as check from './check';
import * as sources from './source';

/** What a daemon is for. */
export const Role = { Entry: 'entry', Target: 'target' } as const;
export type Role = (typeof Role)[keyof typeof Role];

/** What stands behind a target daemon. */
export const TargetKind = { Engine: 'engine', Service: 'service' } as const;
export type TargetKind = (typeof TargetKind)[keyof typeof TargetKind];

const MAXIMUM_PORT = 65_535;
const MAXIMUM_DURATION_MS = 600_000;

const daemonShape = {
  role: fields.word([Role.Entry, Role.Target]),
  name: fields.name(),
  vm: fields.name().optional(),
  address: fields.address(),
  http_port: fields.integer(0, MAXIMUM_PORT).default(0),
  control_port: fields.integer(0, MAXIMUM_PORT).default(0),
  failure_domain: fields.name(),
  region: fields.name().default('default'),
  drain_timeout_ms: fields.integer(0, MAXIMUM_DURATION_MS).default(30_000),
};

const platformShape = {
  url: fields.url(),
  timeout_ms: fields.integer(10, MAXIMUM_DURATION_MS).default(1000),
};

const targetShape = {
  service: fields.name(),
  kind: fields.word([TargetKind.Engine, TargetKind.Service]),
  url: fields.url(),
};

const tlsShape = {
  certificate_file: fields.path(),
  key_file: fields.path(),
  authority_file: fields.path(),
};

const operatorShape = {
  token_file: fields.path().optional(),
};

const logShape = {
  level: fields.word(['error', 'warn', 'info', 'debug']).default('info'),
};

const KINDS = {
  daemon: { isNamed: false, shape: daemonShape },
  platform: { isNamed: false, shape: platformShape },
  target: { isNamed: false, shape: targetShape },
  tls: { isNamed: false, shape: tlsShape },
  operator: { isNamed: false, shape: operatorShape },
  log: { isNamed: false, shape: logShape },
} as const satisfies Record<string, check.SectionKind>;

type Values<S extends check.Shape> = Readonly<{ [K in keyof S]: zod.output<S[K]> }>;

/** Identity, place and listening ports of a daemon. A port of 0 takes any free one. */
export type DaemonSettings = Values<typeof daemonShape>;
/** Where the platform's services are. */
export type PlatformSettings = Values<typeof platformShape>;
/** The target beside a target daemon. */
export type TargetSettings = Values<typeof targetShape>;
/** Files of the keys for mutual TLS between daemons, in PEM. */
export type TlsSettings = Values<typeof tlsShape>;

/** All settings of a daemon. */
export interface Settings {
  readonly daemon: DaemonSettings;
  readonly platform: PlatformSettings;
  /** Present for the target role only. */
  readonly target?: TargetSettings;
  /** Absent when links between daemons are in plain text. */
  readonly tls?: TlsSettings;
  readonly operator: Values<typeof operatorShape>;
  readonly log: Values<typeof logShape>;
}

/** Parses and checks the settings of a daemon; reports every fault at once. */
export function parseSettings(
  files: sources.Files,
): neverthrow.Result<Settings, settingErrors.SettingError[]> {
  const merged = sources.mergeFiles(files);
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
  merged: ReadonlyMap<string, sources.Section>,
  file: string,
): settingErrors.SettingError[] {
  const isTarget = merged.get('daemon')?.values.get('role')?.value === Role.Target;
  const required = ['daemon', 'platform', ...(isTarget ? ['target'] : [])];
  return required
    .filter((title) => !merged.has(title))
    .map((title) => ({ file, key: `[${title}]`, seen: undefined, expected: 'the section' }));
}
