/**
 * Public entry of the intake package: takes in requests of clients that are not under our control, within
 * bounds of memory, processor time, time and descriptors.
 */
export { BodyIntake, BodyRefusal, type IncomingBody, SMALL_BODY_BYTES } from './core/body-intake';
export { computeConnectionLimit, computePeerConnectionLimit } from './core/client-connections';
export { MemoryBudget } from './core/memory-budget';
export { ClientSockets } from './http/client-sockets';
export {
  type EncodedRefusal,
  type IntakeLimits,
  type IntakeOptions,
  MEMORY_RETRY_AFTER_MS,
  RequestIntake,
} from './http/request-intake';
export { SocketLimit, type SocketLimitOptions } from './http/socket-limit';
export type { Cache, Memory, Reservation } from './types/memory';
