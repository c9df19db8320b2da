/**
 * The deployment configuration: what operators write in a folder of small INI files.
 */
import * as neverthrow from 'neverthrow';
import type * as zod from 'zod';
import type * as settingErrors from '../types/setting-error';
import * as fields from '../utils/fields';
import * as check from './check';
import * as sources from './source';

/** How requests are routed to the replicas of an engine service. */
export const Routing = {
  Affinity: 'affinity',
  LeastRequests: 'least-requests',
  RoundRobin: 'round-robin',
} as const;
export type Routing = (typeof Routing)[keyof typeof Routing];

/** Whether an engine refuses orders that carry an old fencing number. */
export const FencingSupport = { Checked: 'checked', Ignored: 'ignored' } as const;
export type FencingSupport = (typeof FencingSupport)[keyof typeof FencingSupport];

const MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;
const MAXIMUM_DURATION_MS = 24 * 3600 * 1000;

const deploymentShape = {
  region: fields.name().default('default'),
  staleness_bound: fields.integer(0, 1000).default(2),
};

const engineShape = {
  deployment: fields.name(),
  model: fields.name(),
  capacity: fields.integer(1, 100_000).default(8),
  fencing: fields.word([FencingSupport.Checked, FencingSupport.Ignored]).default('ignored'),
  swap_share: fields.decimal(0.01, 1).default(0.5),
  routing: fields
    .word([Routing.Affinity, Routing.LeastRequests, Routing.RoundRobin])
    .default(Routing.Affinity),
};

const serviceShape = {
  deployment: fields.name(),
  capacity: fields.integer(1, 100_000).default(32),
  non_idempotent: fields.list().default([]),
};

const trainerShape = {
  deployment: fields.name(),
  engine: fields.name(),
  /** The model that the trainer trains; the engine's own one when absent. */
  model: fields.name().optional(),
  scorer: fields.name().optional(),
  class: fields.name().default('normal'),
  share: fields.integer(1, 1000).default(1),
  /** Whether a sample that would be too old is begun again at once. */
  restart_early: fields.flag().default(true),
};

const tenantShape = {
  class: fields.name().default('normal'),
  share: fields.integer(1, 1000).default(1),
  token_sha256: fields.name().optional(),
};

const classShape = {
  priority: fields.integer(0, 9),
};

const limitsShape = {
  maximum_body_bytes: fields.integer(1, MAXIMUM_BODY_BYTES).default(1024 * 1024),
  default_deadline_ms: fields.integer(1, MAXIMUM_DURATION_MS).default(60_000),
  maximum_deadline_ms: fields.integer(1, MAXIMUM_DURATION_MS).default(900_000),
  retry_share: fields.decimal(0, 1).default(0.2),
  second_attempt_share: fields.decimal(0, 1).default(0.05),
};

const KINDS = {
  deployment: { isNamed: true, shape: deploymentShape },
  engine: { isNamed: true, shape: engineShape },
  service: { isNamed: true, shape: serviceShape },
  trainer: { isNamed: true, shape: trainerShape },
  tenant: { isNamed: true, shape: tenantShape },
  class: { isNamed: true, shape: classShape },
  limits: { isNamed: false, shape: limitsShape },
} as const satisfies Record<string, check.SectionKind>;

type Values<S extends check.Shape> = Readonly<{ [K in keyof S]: zod.output<S[K]> }>;

/** A deployment: its region and the staleness bound of its samples, in weight versions. */
export type Deployment = Values<typeof deploymentShape>;
/** A service of model engines. */
export type Engine = Values<typeof engineShape>;
/** A plain service beside the engines. */
export type PlainService = Values<typeof serviceShape>;
/** A trainer and the engine service that makes its samples. */
export type Trainer = Values<typeof trainerShape>;
/** A tenant: its class, its share within the class and the hash of its token. */
export type Tenant = Values<typeof tenantShape>;
/** A priority class; 0 is served first. */
export type PriorityClass = Values<typeof classShape>;
/** Limits that hold for the whole system. */
export type Limits = Values<typeof limitsShape>;

/** A checked configuration, every kind of section by name. */
export interface Configuration {
  readonly deployments: ReadonlyMap<string, Deployment>;
  readonly engines: ReadonlyMap<string, Engine>;
  readonly services: ReadonlyMap<string, PlainService>;
  readonly trainers: ReadonlyMap<string, Trainer>;
  readonly tenants: ReadonlyMap<string, Tenant>;
  readonly classes: ReadonlyMap<string, PriorityClass>;
  readonly limits: Limits;
}

const DEFAULT_CLASSES: readonly [string, PriorityClass][] = [
  ['high', { priority: 0 }],
  ['normal', { priority: 1 }],
  ['low', { priority: 2 }],
];

/** Parses, merges and checks configuration files; reports every fault at once. */
export function parseConfiguration(
  files: sources.Files,
): neverthrow.Result<Configuration, settingErrors.SettingError[]> {
  const result = check.checkSections(sources.mergeFiles(files), KINDS);
  const errors = [...result.errors, ...findDanglingReferences(result.sections, result.errors)];
  if (errors.length > 0) return neverthrow.err(errors);
  return neverthrow.ok(buildConfiguration(result.sections));
}

/** The configuration of a system that nobody has configured yet. */
export function createEmptyConfiguration(): Configuration {
  return buildConfiguration([]);
}

function buildConfiguration(sections: readonly check.CheckedSection[]): Configuration {
  const limits = sections.find((section) => section.kind === 'limits');
  return {
    deployments: collect<Deployment>(sections, 'deployment'),
    engines: collect<Engine>(sections, 'engine'),
    services: collect<PlainService>(sections, 'service'),
    trainers: collect<Trainer>(sections, 'trainer'),
    tenants: collect<Tenant>(sections, 'tenant'),
    classes: new Map([...DEFAULT_CLASSES, ...collect<PriorityClass>(sections, 'class')]),
    limits: (limits?.values ?? createDefaultLimits()) as Limits,
  };
}

function createDefaultLimits(): Limits {
  const entries = Object.entries(limitsShape).map(([key, field]) => [key, field.parse(undefined)]);
  return Object.fromEntries(entries) as Limits;
}

function collect<T>(sections: readonly check.CheckedSection[], kind: string): Map<string, T> {
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
  earlier: readonly settingErrors.SettingError[],
): settingErrors.SettingError[] {
  // A section that failed its own check would make every reference to it look dangling.
  if (earlier.length > 0) return [];
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
