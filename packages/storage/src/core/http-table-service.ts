/**
 * Client of the transactional table service over HTTP.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as store from '../types/store';
import type * as http from '../utils/http';
import * as unexpectedStatus from '../utils/unexpected-status';

const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;

export class HttpTableService implements store.TableService {
  constructor(private readonly connection: http.StorageConnection) {}

  read<T>(table: string, key: string): store.StoreResult<store.Row<T> | undefined> {
    const path = `/tables/${table}/rows/${encodeURIComponent(key)}`;
    return this.connection.send({ method: 'GET', path }).andThen((response) => {
      if (response.status === NOT_FOUND) return neverthrow.ok(undefined);
      if (response.status !== OK) return unexpectedStatus.createUnexpectedStatusError(response);
      return neverthrow.ok(response.body as store.Row<T>);
    });
  }

  list<T>(table: string, prefix: string): store.StoreResult<store.Row<T>[]> {
    const path = `/tables/${table}/rows?prefix=${encodeURIComponent(prefix)}`;
    return this.connection.send({ method: 'GET', path }).andThen((response) => {
      if (response.status !== OK) return unexpectedStatus.createUnexpectedStatusError(response);
      return neverthrow.ok((response.body as { rows: store.Row<T>[] }).rows);
    });
  }

  transact(writes: readonly store.Write[]): store.StoreResult<string[]> {
    const request = { method: 'POST', path: '/tables/transactions', body: { writes } } as const;
    return this.connection.send(request).andThen((response) => {
      if (response.status === CONFLICT) return createConflictError(response);
      if (response.status !== OK) return unexpectedStatus.createUnexpectedStatusError(response);
      return neverthrow.ok((response.body as { etags: string[] }).etags);
    });
  }
}

function createConflictError(
  response: http.StorageResponse,
): neverthrow.Err<never, store.StoreFailure> {
  return neverthrow.err({
    kind: store.StoreFailureKind.Conflict,
    verdict: decisions.VerdictKind.NotRun,
    message: 'the condition of a write was not met',
    conflict: (response.body as { conflict: string }).conflict,
  });
}
