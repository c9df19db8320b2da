/**
 * The messages between daemons. Each is a JSON object that is validated on arrival; an invalid
 * message is rejected and counted and has no effect.
 */
import * as zod from 'zod';

const name = zod.string().min(1).max(200);
const count = zod.number().int().min(0);
const durationMs = zod.number().min(0);
const port = zod.number().int().min(1).max(65_535);

/** The state of an entry in the membership protocol. */
export const MemberState = {
  Alive: 'alive',
  Suspect: 'suspect',
  Leaving: 'leaving',
  Dead: 'dead',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

export const memberSchema = zod.object({
  name,
  address: name,
  httpPort: port,
  controlPort: port,
  failureDomain: name,
  region: name,
  /** Increases with every start under the same name and with every refuted suspicion. */
  incarnation: count,
  state: zod.enum(Object.values(MemberState)),
});
/** The membership record of an entry. */
export type Member = zod.infer<typeof memberSchema>;

export const weightsOrderSchema = zod.object({
  engine: name,
  model: name,
  version: count,
  /** The fencing token of the lease under which the order was issued. */
  fence: count,
  /** The trainer that announced the version. */
  trainer: name,
});
/** An order to load a version of a model's weights. */
export type WeightsOrder = zod.infer<typeof weightsOrderSchema>;

export const trainerPositionSchema = zod.object({
  trainer: name,
  version: count,
});
/** The current weight version of a trainer. */
export type TrainerPosition = zod.infer<typeof trainerPositionSchema>;

export const exchangeSchema = zod.object({
  from: memberSchema,
  members: zod.array(memberSchema).max(2000),
  revision: count,
  /** Time since the store or a peer last confirmed the sender's revision; null when unconfirmed. */
  confirmedAgoMs: durationMs.nullable(),
  positions: zod.array(trainerPositionSchema).max(2000),
  orders: zod.array(weightsOrderSchema).max(2000),
});
/** The request or the response of a gossip exchange between entries. */
export type Exchange = zod.infer<typeof exchangeSchema>;

export const probeSchema = zod.object({ from: name, about: name });
/** A request to a peer to probe another entry (indirect probe). */
export type Probe = zod.infer<typeof probeSchema>;

export const probeAnswerSchema = zod.object({ isReachable: zod.boolean() });
/** Whether the probed entry answered. */
export type ProbeAnswer = zod.infer<typeof probeAnswerSchema>;

export const snapshotRequestSchema = zod.object({
  from: name,
  /** The revision of the sender. */
  revision: count,
});
/** A request for the configuration changes since a revision. */
export type SnapshotRequest = zod.infer<typeof snapshotRequestSchema>;

export const snapshotSchema = zod.object({
  from: name,
  revision: count,
  /** The revision that the changes are based on; null when `put` contains all files. */
  baseRevision: count.nullable(),
  put: zod.record(zod.string(), zod.string()),
  remove: zod.array(name),
});
/** The configuration at a revision, complete or as changes to an earlier revision. */
export type Snapshot = zod.infer<typeof snapshotSchema>;

export const acknowledgementSchema = zod.object({ revision: count });
/** The revision in force at the receiver after it processed a snapshot. */
export type Acknowledgement = zod.infer<typeof acknowledgementSchema>;

export const targetConfigurationSchema = zod.object({
  capacity: zod.number().int().min(1),
  fencing: zod.enum(['checked', 'ignored']),
});
/** The part of the configuration that a target daemon needs. */
export type TargetConfiguration = zod.infer<typeof targetConfigurationSchema>;

export const groupOrderSchema = zod.object({
  trainer: name,
  step: name,
  group: name,
  /** Increases when a result was too stale to deliver and the group is generated again. */
  generation: count,
  prompt: zod.string(),
  members: zod.number().int().min(1).max(4096),
  maximumTokens: zod.number().int().min(1),
  meanTokens: zod.number().int().min(1).optional(),
  /** The current weight version of the trainer. */
  version: count,
  /** Milliseconds until the deadline of the group. */
  remainingMs: durationMs,
});
/** A request to generate the samples of one group. */
export type GroupOrder = zod.infer<typeof groupOrderSchema>;

export const sampleSchema = zod.object({
  /** Derived from trainer, step, group and index, so that a retry has the same id. */
  id: name,
  text: zod.string(),
  tokens: count,
  /** All weight versions that produced a part of the sample. */
  weightVersions: zod.array(count).min(1),
  score: zod.number().optional(),
});
export type Sample = zod.infer<typeof sampleSchema>;

export const groupResultSchema = zod.object({
  group: name,
  generation: count,
  samples: zod.array(sampleSchema),
  /** Whether the result was written to the object store. */
  isCommitted: zod.boolean(),
});
/** The samples of one group. */
export type GroupResult = zod.infer<typeof groupResultSchema>;

/** The kinds of messages on a link. */
export const LinkMessageKind = {
  EntryHello: 'entry-hello',
  Revision: 'revision',
  Weights: 'weights',
  TargetHello: 'target-hello',
  Load: 'load',
  Leaving: 'leaving',
} as const;

export const entryMessageSchema = zod.discriminatedUnion('kind', [
  zod.object({
    kind: zod.literal(LinkMessageKind.EntryHello),
    entry: name,
    incarnation: count,
    heartbeatMs: zod.number().int().min(50).max(60_000),
  }),
  zod.object({
    kind: zod.literal(LinkMessageKind.Revision),
    revision: count,
    confirmedAgoMs: durationMs.nullable(),
    /** The `sentMs` of the last load report that the entry received on this link. */
    echoMs: durationMs,
    slice: targetConfigurationSchema.optional(),
  }),
  zod.object({ kind: zod.literal(LinkMessageKind.Weights), order: weightsOrderSchema }),
]);
/** A message from an entry to a target daemon. */
export type EntryMessage = zod.infer<typeof entryMessageSchema>;
export type RevisionMessage = Extract<EntryMessage, { kind: 'revision' }>;

export const loadSchema = zod.object({
  queued: count,
  running: count,
  revision: count,
  /** When the report was sent, on the target daemon's monotonic clock. */
  sentMs: durationMs,
  /** The loaded weight version of each model of an engine; null when unknown. */
  weightVersions: zod.record(name, count.nullable()),
  /** Smoothed service time of the target, in milliseconds. */
  serviceTimeMs: durationMs,
});
/** A load report from a target. */
export type Load = zod.infer<typeof loadSchema>;

export const targetMessageSchema = zod.discriminatedUnion('kind', [
  zod.object({
    kind: zod.literal(LinkMessageKind.TargetHello),
    name,
    service: name,
    targetKind: zod.enum(['engine', 'service']),
    failureDomain: name,
    region: name,
    address: name,
    httpPort: port,
    incarnation: count,
    /** The version of the target's software; targets that name none are of one version. */
    softwareVersion: name.optional(),
  }),
  zod.object({ kind: zod.literal(LinkMessageKind.Load), load: loadSchema }),
  zod.object({ kind: zod.literal(LinkMessageKind.Leaving) }),
]);
/** A message from a target daemon to an entry. */
export type TargetMessage = zod.infer<typeof targetMessageSchema>;
export type TargetHello = Extract<TargetMessage, { kind: 'target-hello' }>;
