/**
 * The VM list over HTTP.
 */
import * as neverthrow from 'neverthrow';
import type * as store from '../types/store';
import type * as http from '../utils/http';
import * as unexpected from '../utils/unexpected';

const OK = 200;

/** Reads the VM list. */
export class HttpVmList implements store.VmList {
  constructor(private readonly connection: http.StorageConnection) {}

  read(): store.StoreResult<store.Vm[]> {
    return this.connection.send({ method: 'GET', path: '/vms' }).andThen((answer) => {
      if (answer.status !== OK) return unexpected.createUnexpected(answer);
      return neverthrow.ok((answer.body as { vms: store.Vm[] }).vms);
    });
  }
}
