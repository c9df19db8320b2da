/* eslint n/no-sync: "off", n/no-process-exit: "off", no-console: "off", no-await-in-loop: "off",
  no-restricted-syntax: "off", class-methods-use-this: "off", no-use-before-define: "off",
  import-x/extensions: "off", import-x/prefer-default-export: "off" --
  plain modules for Node.js; the repository makes the same exceptions for its own programs */
// A stand-in of a replica: an engine that streams events, or a plain service that signs its answers.
// It registers in the store and records what reaches it and what it runs.
import * as http from 'node:http';
import * as timers from 'node:timers/promises';

const HEARTBEAT_MS = 1200;
const LOAD_MS = 900;

/** The number of events of an item depends on its id only, as their data does. */
export const countEvents = (id, mean) =>
  Math.max(
    4,
    Math.round(mean * (0.5 + ([...id].reduce((sum, c) => sum + c.charCodeAt(0), 0) % 100) / 100)),
  );
export const createEvent = (id, event) => `${id}/${event}`;
export const createStamp = (id) => `stamp.${id}`;

export class Replica {
  running = 0;

  waiting = [];

  isDraining = false;

  acceptedOrders = 0;

  highestFence = 0;

  loading = undefined;

  born = Date.now();

  server = http.createServer((request, response) => {
    this.handle(request, response).catch(() => response.destroy());
  });

  /**
   * @param options id, service, zone, slots, models, eventMs, meanEvents, workMs, host
   * @param onRun called with what the replica begins to run
   */
  static async create(store, options, onRun) {
    const replica = new Replica();
    Object.assign(replica, { store, options, onRun });
    replica.versions = new Map(options.models.map((model) => [model, 1]));
    await new Promise((resolve) => {
      replica.server.listen(0, options.host, resolve);
    });
    replica.register();
    replica.heartbeat = setInterval(() => replica.register(), HEARTBEAT_MS);
    return replica;
  }

  get address() {
    const { address, port } = this.server.address();
    return `${address}:${port}`;
  }

  register() {
    const { id, service, zone, slots } = this.options;
    this.store.write('servers', '', id, {
      service,
      address: this.options.registeredAddress ?? this.address,
      zone,
      version: 'v1',
      slots,
      state: this.isDraining ? 'draining' : 'ready',
      cold_left_ms: 0,
      seq_no: this.acceptedOrders,
      stage: 'mixed',
      models: this.listModels(),
      born: this.born,
    });
  }

  listModels() {
    return [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }));
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { headers } = request;
    const expected = headers['x-azureworks-expect-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      response
        .writeHead(421, {
          'x-azureworks-instance-id': this.options.id,
          'x-azureworks-attempt-id': headers['x-azureworks-attempt-id'] ?? '',
        })
        .end();
      return;
    }
    if (request.url === '/report') {
      const body = {
        stage: 'mixed',
        models: this.listModels(),
        busy: this.loading !== undefined,
        seq_no: this.acceptedOrders,
        waiting: this.waiting.length,
        running: this.running,
        kv_used: 0,
        kv_total: 40_000,
        handles: 0,
      };
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body));
      return;
    }
    if (request.url === '/order') {
      response.writeHead(this.order(JSON.parse(Buffer.concat(chunks).toString()))).end();
      return;
    }
    await this.run(request, response);
  }

  order(order) {
    if (order.fence_token < this.highestFence) return 412;
    this.highestFence = order.fence_token;
    if (this.loading !== undefined) return 409;
    if ((order.expected ?? this.acceptedOrders) !== this.acceptedOrders) return 409;
    if ((this.versions.get(order.model) ?? 0) >= order.version) return 200;
    this.acceptedOrders += 1;
    this.loading = order.model;
    setTimeout(() => {
      this.loading = undefined;
      this.versions.set(order.model, order.version);
      this.register();
    }, LOAD_MS);
    return 202;
  }

  async run(request, response) {
    const { headers } = request;
    const id = headers['x-azureworks-attempt-id'] ?? '';
    const model = headers['x-azureworks-model'] ?? '';
    const { slots } = this.options;
    const common = {
      'x-azureworks-attempt-id': id,
      'x-azureworks-replica-load': `${this.running},${this.waiting.length},${slots}`,
      'keep-alive': 'timeout=10',
    };
    if (
      this.waiting.length >= 3 * slots ||
      (this.loading !== undefined && this.loading === model)
    ) {
      response.writeHead(503, { ...common, 'x-azureworks-not-run': '1' }).end();
      return;
    }
    if (this.running >= slots) await this.waitForSlot(response);
    if (response.destroyed) return;
    this.running += 1;
    const ran = {
      replica: this.options.id,
      id,
      path: request.url,
      method: request.method,
      after: headers['last-event-id'],
      atMs: performance.now(),
      endMs: Infinity,
    };
    this.onRun(ran);
    try {
      await this.work(
        id,
        model,
        headers,
        { ...common, 'x-azureworks-server-stamp': createStamp(id) },
        response,
      );
    } finally {
      ran.endMs = performance.now();
      this.running -= 1;
      this.waiting.shift()?.();
    }
  }

  async waitForSlot(response) {
    await new Promise((resolve) => {
      const go = () => {
        if (response.destroyed) this.waiting.shift()?.();
        resolve();
      };
      this.waiting.push(go);
      response.on('close', () => {
        const index = this.waiting.indexOf(go);
        if (index >= 0) this.waiting.splice(index, 1);
        resolve();
      });
    });
  }

  async work(id, model, headers, answerHeaders, response) {
    const { eventMs, meanEvents, workMs, models, hasEqualLengths, chooseEvents } = this.options;
    if (models.length === 0) {
      await timers.setTimeout(workMs);
      if (!response.destroyed) response.writeHead(200, answerHeaders).end(`answer to ${id}`);
      return;
    }
    let version = this.versions.get(model) ?? 0;
    response.writeHead(200, {
      ...answerHeaders,
      'content-type': 'text/event-stream',
      'x-azureworks-weight-versions': String(version),
    });
    response.flushHeaders();
    const after = headers['last-event-id'];
    const usualEvents = hasEqualLengths ? meanEvents : countEvents(id, meanEvents);
    const events = chooseEvents?.(id) ?? usualEvents;
    for (let event = after === undefined ? 0 : Number(after) + 1; event < events; event += 1) {
      await timers.setTimeout(eventMs);
      if (response.destroyed) return;
      const current = this.versions.get(model) ?? 0;
      const line = current === version ? '' : `x-azureworks-weight-versions: ${current}\n`;
      version = current;
      response.write(`${line}id: ${event}\ndata: ${createEvent(id, event)}\n\n`);
    }
    response.end();
  }

  /** Ends without a word: its connections are reset, and its row stays. */
  crash() {
    clearInterval(this.heartbeat);
    this.server.closeAllConnections();
    this.server.close();
  }

  close() {
    this.crash();
  }
}
