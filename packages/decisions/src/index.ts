/**
 * Public entry of the decisions package: pure code without sockets, with clocks and random sources
 * passed in.
 */
export type { Clock } from './types/clock';
export type { Random } from './types/random';
export type { Candidate, RoutingRequest } from './types/candidate';
export type { RoutingPolicy } from './types/policy';
export { ManualClock } from './utils/manual-clock';
export { MonotonicClock } from './utils/monotonic-clock';
export { MovingAverage } from './utils/moving-average';
export { SeededRandom } from './utils/seeded-random';
export { combineHashes, hashText } from './utils/hash';
export { VerdictKind, combineVerdicts, isRetryable, isVerdictKind } from './core/verdict';
export {
  ErrorTable,
  type ErrorCode,
  type Failure,
  type FailureOptions,
  createFailure,
  getHttpStatus,
  promisesNotRun,
  isErrorCode,
} from './core/errors';
export { classifyStatus, StatusKind } from './core/http-status';
export { chooseNode, rankNodes } from './core/rendezvous';
export {
  type EndedReplica,
  QUARANTINE_EVIDENCE_LIFETIME_MS,
  TRIAL_INTERVAL_MS,
  Quarantine,
  QuarantineState,
  type QuarantineVerdict,
} from './core/quarantine';
export { DepartureSource, Departures } from './core/departures';
export { PermitBudget, type PermitDecision, type PermitRequest } from './core/permit-budget';
export { RecentDurations } from './core/recent-durations';
export {
  type ExtraAttemptSettings,
  ExtraAttempts,
  type SlowRequest,
  WithheldReason,
} from './core/extra-attempts';
export { RecentLatencies } from './core/recent-latencies';
export { RetryBudget } from './core/retry-budget';
export { isRunTooStale, isFresh, measureStaleness } from './core/staleness';
export { StopDeadline } from './core/stop-deadline';
export { AffinityPolicy, estimateLoad, estimateCompletionMs } from './policies/affinity';
export { LeastRequestsPolicy } from './policies/least-requests';
export { RandomPolicy } from './policies/random';
export { RoundRobinPolicy } from './policies/round-robin';
export { TwoChoicesPolicy } from './policies/two-choices';
export { FairQueue, type Ticket } from './core/fair-queue';
export { Health, HealthTracker } from './core/health';
export { type LocatedNode, chooseEntriesForTarget, chooseSubset } from './core/subset';
export {
  type Change,
  type ChangeConflict,
  type FileRecord,
  type FileRecords,
  type FileTombstone,
  applyChange,
  findConflict,
  listFiles,
  listChangedFiles,
} from './core/change';
export { RevisionConfirmation } from './core/confirmation';
export { type MemberRecord, MemberState, MemberView } from './core/member-view';
export { Fence, FenceDecision } from './core/fence';
export { Lease, type LeaseRow, type LeaseAction } from './core/lease';
export { type ReplicaWeights, chooseReplicasToLoad } from './core/rolling-update';
export { type SampleProgress, chooseStragglers } from './core/straggler';
export { type AdmissionDecision, AdmissionQueue } from './core/admission-queue';
