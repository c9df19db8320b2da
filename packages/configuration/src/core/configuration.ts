/**
 * The configuration of deployments, which operators write as a folder of INI files.
 */
import * as neverthrow from 'neverthrow';
import type * as zod from 'zod';
import type * as settingErrors from '../types/setting-error';
import * as fields from '../utils/fields';
import * as check from './check';
import * as iniFiles from './ini-files';

/** The policy that routes requests to the replicas of an engine service. */
export const Routing = {
  Affinity: 'affinity',
  LeastRequests: 'least-requests',
  RoundRobin: 'round-robin',
} as const;
export type Routing = (typeof Routing)[keyof typeof Routing];

/** Whether an engine rejects weight orders that carry an outdated fencing token. */
export const FencingSupport = { Checked: 'checked', Ignored: 'ignored' } as const;
export type FencingSupport = (typeof FencingSupport)[keyof typeof FencingSupport];

const MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;
const MAXIMUM_DURATION_MS = 24 * 3600 * 1000;

const deploymentShape = {
  region: fields.name().default('default'),
  /** The maximum age of a sample, in weight versions of its trainer. */
  staleness_bound: fields.integer(0, 1000).default(2),
};

const engineShape = {
  deployment: fields.name(),
  model: fields.name(),
  /** Concurrent requests of one replica. */
  capacity: fields.integer(1, 100_000).default(8),
  fencing: fields.oneOf([FencingSupport.Checked, FencingSupport.Ignored]).default('ignored'),
  /** The maximum share of replicas that load new weights at the same time. */
  swap_share: fields.decimal(0.01, 1).default(0.5),
  routing: fields
    .oneOf([Routing.Affinity, Routing.LeastRequests, Routing.RoundRobin])
    .default(Routing.Affinity),
};

const serviceShape = {
  deployment: fields.name(),
  /** Concurrent requests of one replica. */
  capacity: fields.integer(1, 100_000).default(32),
  /** Prefixes of `METHOD PATH` for calls that are not repeated, unless a request header allows it. */
  non_idempotent: fields.commaSeparated().default([]),
};

const trainerShape = {
  deployment: fields.name(),
  engine: fields.name(),
  /** The model that the trainer trains; the model of the engine when absent. */
  model: fields.name().optional(),
  /** The service that scores the samples; samples are not scored when absent. */
  scorer: fields.name().optional(),
  class: fields.name().default('normal'),
  share: fields.integer(1, 1000).default(1),
  /** Whether a sample is restarted as soon as it can no longer meet the staleness bound. */
  restart_early: fields.boolean().default(true),
};

const organisationShape = {
  class: fields.name().default('normal'),
  /** The weight of the organisation in fair queueing among those of its class. */
  share: fields.integer(1, 1000).default(1),
  /** SHA-256 of its bearer token, in hexadecimal; no token is required when absent. */
  token_sha256: fields.name().optional(),
};

const classShape = {
  priority: fields.integer(0, 9),
};

const limitsShape = {
  maximum_body_bytes: fields.integer(1, MAXIMUM_BODY_BYTES).default(1024 * 1024),
  default_deadline_ms: fields.integer(1, MAXIMUM_DURATION_MS).default(60_000),
  maximum_deadline_ms: fields.integer(1, MAXIMUM_DURATION_MS).default(900_000),
  /** Retries allowed per first attempt. */
  retry_share: fields.decimal(0, 1).default(0.2),
  /** Budget of second attempts per sample, spent on moving stragglers to another replica. */
  second_attempt_share: fields.decimal(0, 1).default(0.05),
};

const KINDS = {
  deployment: { isNamed: true, shape: deploymentShape },
  engine: { isNamed: true, shape: engineShape },
  service: { isNamed: true, shape: serviceShape },
  trainer: { isNamed: true, shape: trainerShape },
  tenant: { isNamed: true, shape: organisationShape },
  class: { isNamed: true, shape: classShape },
  limits: { isNamed: false, shape: limitsShape },
} as const satisfies Record<string, check.SectionKind>;

type Values<S extends check.SectionShape> = Readonly<{ [K in keyof S]: zod.output<S[K]> }>;

/** A deployment: its region and the staleness bound of its samples. */
export type Deployment = Values<typeof deploymentShape>;
/** A service whose replicas are model engines. */
export type Engine = Values<typeof engineShape>;
/** A service whose replicas are not model engines, for example a scorer. */
export type PlainService = Values<typeof serviceShape>;
/** A trainer and the engine service that generates its samples. */
export type Trainer = Values<typeof trainerShape>;
/** An organisation: its class, its share within the class and the hash of its token. */
export type Organisation = Values<typeof organisationShape>;
/** A priority class; priority 0 is served first. */
export type PriorityClass = Values<typeof classShape>;
/** Limits for all deployments. */
export type Limits = Values<typeof limitsShape>;

/** A valid configuration: the sections of each kind by name. */
export interface Configuration {
  readonly deployments: ReadonlyMap<string, Deployment>;
  readonly engines: ReadonlyMap<string, Engine>;
  readonly services: ReadonlyMap<string, PlainService>;
  readonly trainers: ReadonlyMap<string, Trainer>;
  readonly organisations: ReadonlyMap<string, Organisation>;
  readonly classes: ReadonlyMap<string, PriorityClass>;
  readonly limits: Limits;
}

const DEFAULT_CLASSES: readonly [string, PriorityClass][] = [
  ['high', { priority: 0 }],
  ['normal', { priority: 1 }],
  ['low', { priority: 2 }],
];

/** Parses, merges and validates configuration files; reports all errors, not only the first. */
export function parseConfiguration(
  files: iniFiles.IniFiles,
): neverthrow.Result<Configuration, settingErrors.SettingError[]> {
  const result = check.checkSections(iniFiles.mergeFiles(files), KINDS);
  const errors = [...result.errors, ...findDanglingReferences(result.sections, result.errors)];
  if (errors.length > 0) return neverthrow.err(errors);
  return neverthrow.ok(createConfiguration(result.sections));
}

/** The configuration before the first change is accepted: default classes and limits only. */
export function createDefaultConfiguration(): Configuration {
  return createConfiguration([]);
}

function createConfiguration(sections: readonly check.CheckedSection[]): Configuration {
  const limits = sections.find((section) => section.kind === 'limits');
  return {
    deployments: collectSections<Deployment>(sections, 'deployment'),
    engines: collectSections<Engine>(sections, 'engine'),
    services: collectSections<PlainService>(sections, 'service'),
    trainers: collectSections<Trainer>(sections, 'trainer'),
    organisations: collectSections<Organisation>(sections, 'tenant'),
    classes: new Map([...DEFAULT_CLASSES, ...collectSections<PriorityClass>(sections, 'class')]),
    limits: (limits?.values ?? createDefaultLimits()) as Limits,
  };
}

function createDefaultLimits(): Limits {
  const entries = Object.entries(limitsShape).map(([key, field]) => [key, field.parse(undefined)]);
  return Object.fromEntries(entries) as Limits;
}

function collectSections<T>(
  sections: readonly check.CheckedSection[],
  kind: string,
): Map<string, T> {
  return new Map(
    sections
      .filter((section) => section.kind === kind)
      .map((section) => [section.name, section.values as T]),
  );
}

interface Reference {
  readonly from: keyof typeof KINDS;
  readonly key: string;
  readonly to: keyof typeof KINDS;
}

const REFERENCES: readonly Reference[] = [
  { from: 'engine', key: 'deployment', to: 'deployment' },
  { from: 'service', key: 'deployment', to: 'deployment' },
  { from: 'trainer', key: 'deployment', to: 'deployment' },
  { from: 'trainer', key: 'engine', to: 'engine' },
  { from: 'trainer', key: 'scorer', to: 'service' },
  { from: 'trainer', key: 'class', to: 'class' },
  { from: 'tenant', key: 'class', to: 'class' },
];

function findDanglingReferences(
  sections: readonly check.CheckedSection[],
  sectionErrors: readonly settingErrors.SettingError[],
): settingErrors.SettingError[] {
  // An invalid section is missing from `sections`, so every reference to it would be reported.
  if (sectionErrors.length > 0) return [];
  const names = new Set(sections.map((section) => `${section.kind} ${section.name}`));
  DEFAULT_CLASSES.forEach(([name]) => names.add(`class ${name}`));
  return REFERENCES.flatMap((reference) =>
    sections
      .filter((section) => section.kind === reference.from)
      .filter((section) => section.values[reference.key] !== undefined)
      .filter((section) => !names.has(`${reference.to} ${section.values[reference.key]}`))
      .map((section) => ({
        file: section.file,
        key: `${section.kind} ${section.name} / ${reference.key}`,
        seen: String(section.values[reference.key]),
        expected: `the name of a [${reference.to} NAME] section`,
      })),
  );
}
