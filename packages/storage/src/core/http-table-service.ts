/**
 * The table service over HTTP.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as store from '../types/store';
import type * as http from '../utils/http';
import * as unexpected from '../utils/unexpected';

const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;

/** Speaks to the table service. */
export class HttpTableService implements store.TableService {
  constructor(private readonly connection: http.StorageConnection) {}

  read<T>(table: string, key: string): store.StoreResult<store.Row<T> | undefined> {
    const path = `/tables/${table}/rows/${encodeURIComponent(key)}`;
    return this.connection.send({ method: 'GET', path }).andThen((answer) => {
      if (answer.status === NOT_FOUND) return neverthrow.ok(undefined);
      if (answer.status !== OK) return unexpected.createUnexpected(answer);
      return neverthrow.ok(answer.body as store.Row<T>);
    });
  }

  list<T>(table: string, prefix: string): store.StoreResult<store.Row<T>[]> {
    const path = `/tables/${table}/rows?prefix=${encodeURIComponent(prefix)}`;
    return this.connection.send({ method: 'GET', path }).andThen((answer) => {
      if (answer.status !== OK) return unexpected.createUnexpected(answer);
      return neverthrow.ok((answer.body as { rows: store.Row<T>[] }).rows);
    });
  }

  transact(writes: readonly store.Write[]): store.StoreResult<string[]> {
    const request = { method: 'POST', path: '/tables/transactions', body: { writes } } as const;
    return this.connection.send(request).andThen((answer) => {
      if (answer.status === CONFLICT) return conflicted(answer);
      if (answer.status !== OK) return unexpected.createUnexpected(answer);
      return neverthrow.ok((answer.body as { etags: string[] }).etags);
    });
  }
}

function conflicted(answer: http.Answer): neverthrow.Err<never, store.StoreFailure> {
  return neverthrow.err({
    kind: store.StoreFailureKind.Conflict,
    verdict: decisions.VerdictKind.NotRun,
    message: 'a condition of the write did not hold',
    conflict: (answer.body as { conflict: string }).conflict,
  });
}
