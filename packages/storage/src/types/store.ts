/**
 * The platform's services as the rest of the system sees them. Everything that must be agreed or
 * kept goes through these interfaces.
 */
import type * as decisions from '@azureworks/decisions';
import type * as neverthrow from 'neverthrow';

/** Why a store operation failed. */
export const StoreFailureKind = {
  /** The store could not be reached or refused to serve. */
  Unavailable: 'unavailable',
  /** A condition of the write did not hold. */
  Conflict: 'conflict',
} as const;
export type StoreFailureKind = (typeof StoreFailureKind)[keyof typeof StoreFailureKind];

/** A failed store operation. */
export interface StoreFailure {
  readonly kind: StoreFailureKind;
  /** Whether the operation may have taken effect all the same. */
  readonly verdict: decisions.VerdictKind;
  readonly message: string;
  /** The row whose condition did not hold, as `table/key`. */
  readonly conflict?: string;
}

/** A row of the table service. */
export interface Row<T = unknown> {
  readonly key: string;
  readonly value: T;
  /** Changes with every write of the row. */
  readonly etag: string;
}

/** Conditions of a write. */
export const Condition = {
  /** The row must not exist. */
  Absent: 'absent',
  /** Any state of the row is fine. */
  Any: 'any',
} as const;

/** One write in a transaction. */
export interface Write {
  readonly table: string;
  readonly key: string;
  /** `absent`, `any`, or the etag that the row must still have. */
  readonly condition: string;
  /** The new value; undefined deletes the row. */
  readonly value?: unknown;
}

/** The result of a store operation. */
export type StoreResult<T> = neverthrow.ResultAsync<T, StoreFailure>;

/** The transactional table service. */
export interface TableService {
  /** Reads one row; undefined when it does not exist. */
  read<T>(table: string, key: string): StoreResult<Row<T> | undefined>;
  /** Reads all rows whose key begins with `prefix`, in the order of their keys. */
  list<T>(table: string, prefix: string): StoreResult<Row<T>[]>;
  /** Applies all writes or none; returns the new etags in the order of the writes. */
  transact(writes: readonly Write[]): StoreResult<string[]>;
}

/** Whether a put created the object or found one there. */
export const PutOutcome = { Created: 'created', Exists: 'exists' } as const;
export type PutOutcome = (typeof PutOutcome)[keyof typeof PutOutcome];

/** The object store. */
export interface ObjectStore {
  /** Stores an object unless one exists under the key. */
  putIfAbsent(key: string, value: unknown): StoreResult<PutOutcome>;
  /** Reads an object; undefined when it does not exist. */
  read<T>(key: string): StoreResult<T | undefined>;
  /** The keys that begin with `prefix`, in order. */
  list(prefix: string): StoreResult<string[]>;
}

/** Whether a VM is in use or being taken away. */
export const VmState = { Live: 'live', Leaving: 'leaving' } as const;
export type VmState = (typeof VmState)[keyof typeof VmState];

/** A VM of the platform's list. The list lags behind the truth. */
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
  /** The service of a target. */
  readonly service?: string;
}

/** The platform's list of VMs. */
export interface VmList {
  read(): StoreResult<Vm[]>;
}
