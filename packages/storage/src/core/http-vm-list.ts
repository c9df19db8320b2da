/**
 * Client of the VM list over HTTP.
 */
import * as neverthrow from 'neverthrow';
import type * as store from '../types/store';
import type * as http from '../utils/http';
import * as unexpectedStatus from '../utils/unexpected-status';

const OK = 200;

export class HttpVmList implements store.VmList {
  constructor(private readonly connection: http.StorageConnection) {}

  read(): store.StoreResult<store.Vm[]> {
    return this.connection.send({ method: 'GET', path: '/vms' }).andThen((response) => {
      if (response.status !== OK) return unexpectedStatus.createUnexpectedStatusError(response);
      return neverthrow.ok((response.body as { vms: store.Vm[] }).vms);
    });
  }
}
