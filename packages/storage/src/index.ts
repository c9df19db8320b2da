/**
 * Public API of the storage package: clients of the table service, object store and VM list.
 */
export {
  Condition,
  PutOutcome,
  StoreFailureKind,
  VmState,
  type ObjectStore,
  type Row,
  type StoreFailure,
  type StoreResult,
  type TableService,
  type Vm,
  type VmList,
  type Write,
} from './types/store';
export { Storage } from './core/http-storage';
