/**
 * Client of the object store over HTTP.
 */
import * as neverthrow from 'neverthrow';
import * as store from '../types/store';
import type * as http from '../utils/http';
import * as unexpectedStatus from '../utils/unexpected-status';

const OK = 200;
const CREATED = 201;
const NOT_FOUND = 404;
const PRECONDITION_FAILED = 412;

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
    return this.connection.send(request).andThen((response) => {
      if (response.status === CREATED) return neverthrow.ok(store.PutOutcome.Created);
      if (response.status === PRECONDITION_FAILED) return neverthrow.ok(store.PutOutcome.Exists);
      return unexpectedStatus.createUnexpectedStatusError(response);
    });
  }

  read<T>(key: string): store.StoreResult<T | undefined> {
    const path = `/objects/${encodeURIComponent(key)}`;
    return this.connection.send({ method: 'GET', path }).andThen((response) => {
      if (response.status === NOT_FOUND) return neverthrow.ok(undefined);
      if (response.status !== OK) return unexpectedStatus.createUnexpectedStatusError(response);
      return neverthrow.ok(response.body as T);
    });
  }

  list(prefix: string): store.StoreResult<string[]> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    return this.connection.send({ method: 'GET', path }).andThen((response) => {
      if (response.status !== OK) return unexpectedStatus.createUnexpectedStatusError(response);
      return neverthrow.ok((response.body as { keys: string[] }).keys);
    });
  }
}
