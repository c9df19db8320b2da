/**
 * Interfaces of the platform's storage services. All state that daemons must agree on, or that must
 * survive a restart, goes through these interfaces.
 */
import type * as decisions from '@azureworks/decisions';
import type * as neverthrow from 'neverthrow';

/** Why a store operation failed. */
export const StoreFailureKind = {
  /** The store could not be reached, returned an error or sent an unexpected response. */
  Unavailable: 'unavailable',
  /** The condition of a write was not met. */
  Conflict: 'conflict',
} as const;
export type StoreFailureKind = (typeof StoreFailureKind)[keyof typeof StoreFailureKind];

/** A failed store operation. */
export interface StoreFailure {
  readonly kind: StoreFailureKind;
  /** Whether the operation may have taken effect despite the failure. */
  readonly verdict: decisions.VerdictKind;
  readonly message: string;
  /** The row whose condition was not met, as `table/key`; set for conflicts only. */
  readonly conflict?: string;
}

/** A row of the table service. */
export interface Row<T = unknown> {
  readonly key: string;
  readonly value: T;
  /** Changes with every write of the row. */
  readonly etag: string;
}

/** Conditions of a write other than an etag. */
export const Condition = {
  /** The row must not exist. */
  Absent: 'absent',
  /** Write unconditionally. */
  Any: 'any',
} as const;

/** One write in a transaction. */
export interface Write {
  readonly table: string;
  readonly key: string;
  /** A value of `Condition`, or the etag that the row must still have. */
  readonly condition: string;
  /** The new value; undefined deletes the row. */
  readonly value?: unknown;
}

export type StoreResult<T> = neverthrow.ResultAsync<T, StoreFailure>;

/** The transactional table service. */
export interface TableService {
  /** Reads one row; undefined when it does not exist. */
  read<T>(table: string, key: string): StoreResult<Row<T> | undefined>;
  /** Reads all rows whose key starts with `prefix`, sorted by key. */
  list<T>(table: string, prefix: string): StoreResult<Row<T>[]>;
  /** Applies all writes atomically; returns the new etags in the order of the writes. */
  transact(writes: readonly Write[]): StoreResult<string[]>;
}

/** Whether a put created the object or found that one exists. */
export const PutOutcome = { Created: 'created', Exists: 'exists' } as const;
export type PutOutcome = (typeof PutOutcome)[keyof typeof PutOutcome];

/** The object store. An object is never overwritten. */
export interface ObjectStore {
  /** Stores an object unless one exists under the key. */
  putIfAbsent(key: string, value: unknown): StoreResult<PutOutcome>;
  /** Reads an object; undefined when it does not exist. */
  read<T>(key: string): StoreResult<T | undefined>;
  /** Lists the keys that start with `prefix`, sorted. */
  list(prefix: string): StoreResult<string[]>;
}

/** Whether a VM is in service or about to be removed. */
export const VmState = { Live: 'live', Leaving: 'leaving' } as const;
export type VmState = (typeof VmState)[keyof typeof VmState];

/** A VM as the platform lists it. The list may lag behind the actual VMs. */
export interface Vm {
  readonly vm: string;
  readonly name: string;
  readonly role: 'entry' | 'target';
  readonly address: string;
  readonly httpPort: number;
  readonly controlPort: number;
  readonly failureDomain: string;
  readonly region: string;
  readonly state: VmState;
  /** The service that a target VM belongs to; set for targets only. */
  readonly service?: string;
}

/** The VMs of the list, and the entries that name none that can be used. */
export interface ListedVms {
  readonly vms: readonly Vm[];
  readonly oddEntries: readonly unknown[];
}

/** The platform's list of VMs. */
export interface VmList {
  read(): StoreResult<ListedVms>;
}
