/**
 * Client of the VM list over HTTP. An entry of the list that cannot be used is left out; the others hold.
 */
import * as net from 'node:net';
import * as neverthrow from 'neverthrow';
import * as store from '../types/store';
import type * as http from '../utils/http';
import * as unexpectedStatus from '../utils/unexpected-status';

const OK = 200;
/** The number of the highest port. */
const MAXIMUM_PORT = 65_535;

export class HttpVmList implements store.VmList {
  constructor(private readonly connection: http.StorageConnection) {}

  read(): store.StoreResult<store.ListedVms> {
    return this.connection.send({ method: 'GET', path: '/vms' }).andThen((response) => {
      if (response.status !== OK) return unexpectedStatus.createUnexpectedStatusError(response);
      const { vms } = getFields(response.body);
      if (!Array.isArray(vms)) return unexpectedStatus.createUnexpectedStatusError(response);
      const listed: readonly unknown[] = vms;
      return neverthrow.ok({
        vms: listed.filter(isVm),
        oddEntries: listed.filter((entry) => !isVm(entry)),
      });
    });
  }
}

function getFields(value: unknown): Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : {};
}

/** Whether an entry names a VM that can be connected to. */
function isVm(entry: unknown): entry is store.Vm {
  const { vm, name, role, address, httpPort, controlPort, failureDomain, region, service } =
    getFields(entry);
  const texts = [vm, name, address, failureDomain, region];
  return (
    texts.every((text) => typeof text === 'string') &&
    net.isIP(String(address)) !== 0 &&
    (role === 'entry' || role === 'target') &&
    [httpPort, controlPort].every(isPort) &&
    (service === undefined || typeof service === 'string')
  );
}

function isPort(value: unknown): boolean {
  return Number.isInteger(value) && (value as number) >= 1 && (value as number) <= MAXIMUM_PORT;
}
