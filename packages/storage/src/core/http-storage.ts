/**
 * Clients of the platform's storage services, which share one HTTP connection pool.
 *
 * Protocol, with T a table, K a key and P a key prefix: `GET /tables/T/rows/K`,
 * `GET /tables/T/rows?prefix=P`, `POST /tables/transactions`, `PUT /objects/K` with
 * `If-None-Match: *`, `GET /objects/K`, `GET /objects?prefix=P`, `GET /vms`.
 */
import type * as store from '../types/store';
import * as http from '../utils/http';
import * as httpObjectStore from './http-object-store';
import * as httpTableService from './http-table-service';
import * as httpVmList from './http-vm-list';

/** The platform services that a daemon uses. */
export class Storage {
  private constructor(
    private readonly connection: http.StorageConnection,
    readonly tables: store.TableService,
    readonly objects: store.ObjectStore,
    readonly vms: store.VmList,
  ) {}

  /** Creates the clients; connections are opened on demand. See StorageConnection for the parameters. */
  static create(url: string, timeoutMs: number): Storage {
    const connection = http.StorageConnection.create(url, timeoutMs);
    return new Storage(
      connection,
      new httpTableService.HttpTableService(connection),
      new httpObjectStore.HttpObjectStore(connection),
      new httpVmList.HttpVmList(connection),
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.connection.close();
  }
}
