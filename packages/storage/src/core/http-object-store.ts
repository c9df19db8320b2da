/**
 * The object store over HTTP.
 */
import * as neverthrow from 'neverthrow';
import * as store from '../types/store';
import type * as http from '../utils/http';
import * as unexpected from '../utils/unexpected';

const OK = 200;
const CREATED = 201;
const NOT_FOUND = 404;
const PRECONDITION_FAILED = 412;

/** Speaks to the object store. */
export class HttpObjectStore implements store.ObjectStore {
  constructor(private readonly connection: http.StorageConnection) {}

  putIfAbsent(key: string, value: unknown): store.StoreResult<store.PutOutcome> {
    const path = `/objects/${encodeURIComponent(key)}`;
    const request = {
      method: 'PUT',
      path,
      headers: { 'if-none-match': '*' },
      body: value,
    } as const;
    return this.connection.send(request).andThen((answer) => {
      if (answer.status === CREATED) return neverthrow.ok(store.PutOutcome.Created);
      if (answer.status === PRECONDITION_FAILED) return neverthrow.ok(store.PutOutcome.Exists);
      return unexpected.createUnexpected(answer);
    });
  }

  read<T>(key: string): store.StoreResult<T | undefined> {
    const path = `/objects/${encodeURIComponent(key)}`;
    return this.connection.send({ method: 'GET', path }).andThen((answer) => {
      if (answer.status === NOT_FOUND) return neverthrow.ok(undefined);
      if (answer.status !== OK) return unexpected.createUnexpected(answer);
      return neverthrow.ok(answer.body as T);
    });
  }

  list(prefix: string): store.StoreResult<string[]> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    return this.connection.send({ method: 'GET', path }).andThen((answer) => {
      if (answer.status !== OK) return unexpected.createUnexpected(answer);
      return neverthrow.ok((answer.body as { keys: string[] }).keys);
    });
  }
}
