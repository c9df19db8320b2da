/**
 * Stand-in for the platform: a transactional table service, an object store, a rate-limited weight
 * store and a VM list that shows changes late, all in memory.
 */
import * as server from './standin-server';
import * as statusResponses from './status-response';

interface Write {
  readonly table: string;
  readonly key: string;
  readonly condition: string;
  readonly value?: unknown;
}

interface StoredRow {
  readonly value: unknown;
  readonly etag: string;
}

/** Options of the platform stand-in. */
export interface PlatformOptions {
  /** Total bandwidth of the weight store, in bytes per second. */
  readonly weightBytesPerSecond: number;
  /** Delay until the VM list shows a change, in milliseconds. */
  readonly vmLagMs: number;
}

const CONFLICT = 409;
const CREATED = 201;
const NOT_FOUND = 404;
const PRECONDITION_FAILED = 412;
const MILLISECONDS_PER_SECOND = 1000;

/** The in-memory platform. */
export class PlatformStandin {
  readonly server: server.StandinServer;

  private readonly rows = new Map<string, StoredRow>();

  private readonly objects = new Map<string, unknown>();

  private readonly counters = { reads: 0, writes: 0, conflicts: 0, weightBytes: 0 };

  private vms: unknown[] = [];

  private etagCount = 0;

  private weightStoreFreeAtMs = 0;

  private constructor(private readonly options: PlatformOptions) {
    this.server = server.StandinServer.create(() => ({
      ...this.counters,
      rows: this.rows.size,
      objects: this.objects.size,
    }));
    this.addTableRoutes();
    this.addObjectRoutes();
    this.addWeightAndVmRoutes();
  }

  static create(options: PlatformOptions): PlatformStandin {
    return new PlatformStandin(options);
  }

  private addTableRoutes(): void {
    this.server.addRoute('get', '/tables/:table/rows/:key', ({ request }) => {
      this.counters.reads += 1;
      const key = decodeURIComponent(request.params.key);
      const row = this.rows.get(`${request.params.table}/${key}`);
      return row ? { key, ...row } : statusResponses.StatusResponse.create(NOT_FOUND);
    });
    this.server.addRoute('get', '/tables/:table/rows', ({ request }) => {
      this.counters.reads += 1;
      const prefix = `${request.params.table}/${readPrefix(request.url)}`;
      const rows = [...this.rows]
        .filter(([path]) => path.startsWith(prefix))
        .sort(([first], [second]) => (first < second ? -1 : 1))
        .map(([path, row]) => ({ key: path.slice(request.params.table.length + 1), ...row }));
      return { rows };
    });
    this.server.addRoute('post', '/tables/transactions', ({ body }) =>
      this.transact((body as { writes: Write[] }).writes),
    );
  }

  private transact(writes: readonly Write[]): unknown {
    this.counters.writes += 1;
    const conflict = writes.find((write) => !this.isConditionMet(write));
    if (conflict) {
      this.counters.conflicts += 1;
      const body = { conflict: `${conflict.table}/${conflict.key}` };
      return statusResponses.StatusResponse.create(CONFLICT, body);
    }
    return { etags: writes.map((write) => this.applyWrite(write)) };
  }

  private isConditionMet(write: Write): boolean {
    if (write.condition === 'any') return true;
    const row = this.rows.get(`${write.table}/${write.key}`);
    if (write.condition === 'absent') return row === undefined;
    return row?.etag === write.condition;
  }

  private applyWrite(write: Write): string {
    this.etagCount += 1;
    const etag = `e${this.etagCount}`;
    const path = `${write.table}/${write.key}`;
    if (write.value === undefined) this.rows.delete(path);
    else this.rows.set(path, { value: write.value, etag });
    return etag;
  }

  private addObjectRoutes(): void {
    this.server.addRoute('put', '/objects/:key', ({ request, body }) => {
      this.counters.writes += 1;
      const key = decodeURIComponent(request.params.key);
      const mustBeAbsent = request.headers['if-none-match'] === '*';
      if (mustBeAbsent && this.objects.has(key)) {
        return statusResponses.StatusResponse.create(PRECONDITION_FAILED);
      }
      this.objects.set(key, body);
      return statusResponses.StatusResponse.create(CREATED);
    });
    this.server.addRoute('get', '/objects/:key', ({ request }) => {
      this.counters.reads += 1;
      const key = decodeURIComponent(request.params.key);
      return this.objects.get(key) ?? statusResponses.StatusResponse.create(NOT_FOUND);
    });
    this.server.addRoute('get', '/objects', ({ request }) => {
      this.counters.reads += 1;
      const prefix = readPrefix(request.url);
      return { keys: [...this.objects.keys()].filter((key) => key.startsWith(prefix)).sort() };
    });
  }

  private addWeightAndVmRoutes(): void {
    this.server.addRoute('get', '/weights/:model/:version', async ({ request }) => {
      const bytes = Number(new URL(request.url, 'http://standin').searchParams.get('bytes') ?? 0);
      await this.waitForBandwidth(bytes);
      const { model, version } = request.params;
      return { model, version: Number(version), bytes };
    });
    this.server.addRoute('get', '/vms', () => {
      this.counters.reads += 1;
      return { vms: this.vms };
    });
    this.server.addControlRoute('/vms', async (body) => {
      await server.sleep(this.options.vmLagMs);
      this.vms = (body as { vms: unknown[] }).vms;
    });
  }

  /** Waits until a fetch is transferred; fetches use the whole bandwidth one after the other. */
  private async waitForBandwidth(bytes: number): Promise<void> {
    this.counters.weightBytes += bytes;
    const nowMs = performance.now();
    const durationMs = (bytes / this.options.weightBytesPerSecond) * MILLISECONDS_PER_SECOND;
    this.weightStoreFreeAtMs = Math.max(nowMs, this.weightStoreFreeAtMs) + durationMs;
    await server.sleep(this.weightStoreFreeAtMs - nowMs);
  }
}

function readPrefix(url: string): string {
  return new URL(url, 'http://standin').searchParams.get('prefix') ?? '';
}
