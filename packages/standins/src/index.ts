/** Public API of the stand-ins package. */
export { EngineStandin, type EngineOptions } from './core/engine';
export { PlainServiceStandin } from './core/plain-service';
export { PlatformStandin } from './core/platform';
export { CallerStandin } from './core/caller';
export { TrainerStandin } from './core/trainer';
export { MemoryStore, type StoreFaults } from './rows/memory-store';
export { MemoryDutyApi, type RecordedCall } from './duties/memory-duty-api';
export {
  createChunk,
  createHead,
  type Sending,
  startCrowd,
  UntrustedClient,
} from './clients/untrusted-client';
export { type Peaks, ProcessSampler } from './clients/process-sampler';
