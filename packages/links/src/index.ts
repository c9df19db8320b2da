/**
 * Public entry of the links package: the control protocol between daemons.
 */
export {
  LinkMessageKind,
  MemberState,
  entryMessageSchema,
  exchangeSchema,
  snapshotSchema,
  targetMessageSchema,
  type Acknowledgement,
  type EntryMessage,
  type Exchange,
  type GroupOrder,
  type GroupResult,
  type Sample,
  type Load,
  type Member,
  type Probe,
  type RevisionMessage,
  type ProbeAnswer,
  type TargetConfiguration,
  type Snapshot,
  type SnapshotRequest,
  type TargetHello,
  type TargetMessage,
  type TrainerPosition,
  type WeightsOrder,
} from './types/messages';
export { type Codec } from './types/codec';
export { type CredentialSource } from './types/credentials';
export { type TlsFiles } from './types/tls-files';
export { type TlsKeys, TlsCredentials, readTlsKeys } from './plugins/tls-credentials';
export { CONTROL_TRAFFIC } from './core/traffic';
export { JsonCodec } from './core/json-codec';
export { PlainCredentials } from './core/plain-credentials';
export {
  ControlServer,
  type LinkHandlers,
  type PeerHandlers,
  type TargetLink,
} from './core/control-server';
export { type CallFailure, PeerClient } from './core/peer-client';
export { LinkClient, type LinkEvents } from './core/link-client';
