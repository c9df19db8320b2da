/**
 * Public entry of the gateway package.
 */
export { Gateway, type GatewayOptions, type GatewayReply } from './core/gateway';
export { listMembers, type Member } from './store/json-scanner';
export type { Environment } from './types/environment';
export {
  type ChangesOutcome,
  type PartitionsOutcome,
  type ReadOutcome,
  type Row,
  type RowAddress,
  type RowChange,
  type RowCondition,
  type RowRange,
  type RowWrite,
  type Store,
  type StoreFailure,
  StoreStatus,
  type Transaction,
  type TransactionOutcome,
} from './types/store';
export {
  type DutyApi,
  type DutyCaller,
  type DutyCallOutcome,
  DutyCallStatus,
  type UsageCounts,
  type UsageReport,
} from './types/duty-api';
export type { MeteringSettings } from './duties/metering';
export { KeyRing } from './organisations/key-ring';
export type { Organisation, OrganisationKeys } from './types/organisation';
export type { ConnectedStore } from './store/routed-store';
export type { OperatorRow } from './configuration/active-configuration';
export {
  type CallerLimits,
  type Configuration,
  type Route,
  RouteKind,
  type Service,
  type WeightedService,
} from './types/configuration';
export {
  type CallOptions,
  type CallOutcome,
  CallStatus,
  type ConnectionUse,
  ListeningState,
  OrderStatus,
  type Replica,
  type ReplicaAnswer,
  type ReplicaClient,
  type ReplicaLoad,
  type ReplicaReport,
  type ReplicaRequest,
  type ReplicaSignals,
  type RequestSender,
  type StreamEvent,
  type StreamHead,
  type StreamOptions,
  type StreamOutcome,
  type StreamReceiver,
  type WeightsOrder,
} from './types/replica';
export {
  type BatchJob,
  type Item,
  type ItemResult,
  ResultState,
  type ScoringCall,
  type SubmittedJob,
} from './types/batch-job';
export type { CallerRequest, Reply, ReplyStream } from './types/exchange';
export type { Answer } from './jobs/answer';
export type { PermitPeers, PermitQuery, PermitReply } from './limits/permit';
export type { Peers, ResultsPage } from './jobs/result-reader';
