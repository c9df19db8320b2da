/**
 * A replica of a plain service or of an engine: registers in the store, runs requests, and records which
 * it began and which it finished.
 */
/* eslint-disable no-await-in-loop, no-use-before-define, no-restricted-syntax -- it runs as it stands, without a compiler */
import http from 'node:http';

const HEARTBEAT_MS = 1200;

export class Replica {
  /**
   * @param options id, service, zone, slots, queue, workMs, isStreaming, models (name to version), countEvents,
   *   createData
   */
  constructor(store, options) {
    Object.assign(this, { store, options });
    this.runs = [];
    this.orders = [];
    this.refusals = 0;
    this.running = 0;
    this.waiting = [];
    this.state = 'ready';
    this.seqNo = 0;
    this.bornMs = Date.now();
    this.models = new Map(Object.entries(options.models ?? {}));
    this.onRequest = options.onRequest ?? (() => undefined);
    this.server = http.createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = options.keepAliveMs ?? 5000;
    this.sockets = new Set();
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async start(port = 0) {
    await new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.register();
    this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
  }

  register(address = this.registered ?? this.address) {
    this.registered = address;
    const { id, service, zone, slots, version = 'v1' } = this.options;
    this.store.write('servers', id, {
      service,
      address,
      zone,
      version,
      slots,
      state: this.state,
      cold_left_ms: 0,
      seq_no: this.seqNo,
      born: this.bornMs,
      ...(this.models.size > 0 && { stage: 'mixed', models: this.listModels() }),
    });
  }

  drain() {
    this.state = 'draining';
    this.register();
  }

  unregister() {
    clearInterval(this.timer);
    this.store.remove('servers', this.options.id);
  }

  /** Ends at once, as a crash does. */
  crash() {
    clearInterval(this.timer);
    this.isDown = true;
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    this.server.close();
  }

  listModels() {
    return [...this.models].map(([name, version]) => ({ name, version, adapters: [] }));
  }

  async handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    const { headers } = request;
    const id = headers['x-azureworks-attempt-id'];
    const expected = headers['x-azureworks-expect-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      response.writeHead(421, { 'x-azureworks-attempt-id': id ?? '', 'x-azureworks-not-run': '1' });
      response.end();
      return;
    }
    if (request.url === '/report') {
      this.report(response);
      return;
    }
    if (request.url === '/order') {
      this.order(JSON.parse(body.toString()), response);
      return;
    }
    const common = {
      'x-azureworks-attempt-id': id ?? '',
      'x-azureworks-instance-id': this.options.id,
      'x-azureworks-replica-load': `${this.running},${this.waiting.length},${this.options.slots}`,
    };
    const { slots, queue = 24 } = this.options;
    if (this.running >= slots && this.waiting.length >= queue) {
      this.refusals += 1;
      response.writeHead(503, { ...common, 'x-azureworks-not-run': '1' }).end();
      return;
    }
    if (this.running >= slots) {
      const isReady = await new Promise((resolve) => {
        const entry = () => resolve(true);
        this.waiting.push(entry);
        response.on('close', () => {
          const index = this.waiting.indexOf(entry);
          if (index < 0) return;
          this.waiting.splice(index, 1);
          resolve(false);
        });
      });
      if (!isReady) return;
    }
    if (response.destroyed) {
      this.waiting.shift()?.();
      return;
    }
    this.running += 1;
    const run = {
      id,
      replica: this.options.id,
      service: this.options.service,
      atMs: performance.now(),
      method: request.method,
      path: request.url,
      body: body.toString(),
      lastEventId: headers['last-event-id'],
      deadlineMs: headers['x-azureworks-deadline-ms'],
      isFinished: false,
    };
    this.runs.push(run);
    try {
      if ((await this.onRequest(run, request, response, common)) !== true) {
        await (this.options.isStreaming
          ? this.stream(run, request, response, common)
          : this.reply(run, response, common));
      }
    } finally {
      this.running -= 1;
      this.waiting.shift()?.();
    }
  }

  async reply(run, response, common) {
    await pause(this.options.workMs);
    if (response.destroyed) return;
    Object.assign(run, { isFinished: true });
    const text = `answer to ${run.id}`;
    response.writeHead(200, {
      ...common,
      'x-azureworks-server-stamp': `${this.options.id}.${run.id}`,
      'content-length': text.length,
    });
    response.end(text);
  }

  async stream(run, request, response, common) {
    const model = request.headers['x-azureworks-model'];
    const { countEvents, createData, workMs } = this.options;
    const start = run.lastEventId === undefined ? 0 : Number(run.lastEventId) + 1;
    response.writeHead(200, {
      ...common,
      'content-type': 'text/event-stream',
      'x-azureworks-server-stamp': `${this.options.id}.${run.id}`,
      ...(model && { 'x-azureworks-weight-versions': String(this.models.get(model) ?? 1) }),
    });
    response.flushHeaders();
    for (let event = start; event < countEvents(run.id); event += 1) {
      await pause(workMs);
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${createData(run.id, event)}\n\n`);
    }
    Object.assign(run, { isFinished: true });
    response.end();
  }

  report(response) {
    const body = {
      stage: 'mixed',
      models: this.listModels(),
      busy: false,
      seq_no: this.seqNo,
      waiting: this.waiting.length,
      running: this.running,
      kv_used: 0,
      kv_total: 100_000,
      handles: 0,
    };
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }

  order(order, response) {
    this.orders.push({ atMs: performance.now(), ...order });
    if (order.expected !== undefined && order.expected !== this.seqNo) {
      response.writeHead(409).end();
      return;
    }
    if (this.models.get(order.model) === order.version) {
      response.writeHead(200).end();
      return;
    }
    this.seqNo += 1;
    this.models.set(order.model, order.version);
    response.writeHead(202).end();
    this.register();
  }
}

export function pause(durationMs) {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
