/**
 * Decodes the rows of leases.
 */
import type * as decisions from '@azureworks/decisions';
import type * as stores from '../types/store';
import * as values from './json-value';

/** No VM has this name. */
const UNKNOWN_HOLDER = '';

/** Decodes the row of a lease; undefined when no gateway can have written it. */
export function decodeLease(row: stores.Row): decisions.LeaseRow | undefined {
  const { holder, fence, renewal } = values.getFields(values.parseJson(row.value));
  if (!values.isText(holder) || !values.isWhole(renewal)) return undefined;
  // Each fence takes a transaction, so none is above the revision of its row.
  return values.isWhole(fence, 1, row.revision) ? { holder, fence, renewal } : undefined;
}

/**
 * The lease that an odd row stands for: one of an unknown holder, which has to expire first, with the
 * highest fence that can have been in use.
 */
export function createUnknownLease(row: stores.Row): decisions.LeaseRow {
  return { holder: UNKNOWN_HOLDER, fence: row.revision, renewal: 0 };
}
