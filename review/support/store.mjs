/* eslint n/no-sync: "off", n/no-process-exit: "off", no-console: "off", no-await-in-loop: "off",
  no-restricted-syntax: "off", class-methods-use-this: "off", no-use-before-define: "off",
  import-x/extensions: "off", import-x/prefer-default-export: "off" --
  plain modules for Node.js; the repository makes the same exceptions for its own programs */
// A stand-in of the platform's store: tables, transactions, reads and change feeds, kept in memory.
// Its answers take as long as on the sheets. It can go silent: calls that it has received by then are carried
// out, later ones are not, and none is answered.
import * as http from 'node:http';
import * as timers from 'node:timers/promises';

const ANSWER_MS = 4;
const TRANSACTION_MS = 6;
const HISTORY_MS = 20_000;
const PAGE_ROWS = 500;
const PAGE_BYTES = 1_000_000;

const createId = ({ table, part, key }) => `${table}\0${part}\0${key}`;
const compare = (first, second) => Buffer.compare(Buffer.from(first), Buffer.from(second));

export class Store {
  rows = new Map();

  history = [];

  ver = 0;

  oldestVer = 0;

  waiters = new Set();

  /** Whether it answers nothing and carries nothing out that it receives. */
  isSilent = false;

  /** Counts the silences, as nothing that was received before or in one is answered later. */
  silences = 0;

  /** Called for each call: its path, its body, and the address of its connection. */
  onCall = () => {};

  server = http.createServer((request, response) => {
    this.handle(request, response).catch((error) => {
      console.error('store:', error);
      response.destroy();
    });
  });

  static async create(host) {
    const store = new Store();
    await new Promise((resolve) => {
      store.server.listen(0, host, resolve);
    });
    return store;
  }

  get address() {
    const { address, port } = this.server.address();
    return `${address}:${port}`;
  }

  setSilent(isSilent) {
    this.isSilent = isSilent;
    if (isSilent) this.silences += 1;
  }

  /** Writes or removes a row for another writer than the gateways. */
  write(table, part, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.apply({ set_keys: [{ table, part, key, value: text }] });
  }

  remove(table, part, key) {
    this.apply({ remove: [{ table, part, key }] });
  }

  apply({ expected = [], set_keys: writes = [], remove = [] }) {
    const hasConflict = expected.some(
      (row) => (this.rows.get(createId(row))?.ver ?? 0) !== row.ver,
    );
    if (hasConflict) {
      const rows = expected.flatMap((row) => this.rows.get(createId(row)) ?? []);
      return { status: 412, body: { rows, ver: this.ver } };
    }
    this.ver += 1;
    const { ver } = this;
    const atMs = performance.now();
    writes.forEach(({ table, part, key, value }) => {
      const row = { table, part, key, value, ver };
      this.rows.set(createId(row), row);
      this.history.push({ row, atMs });
    });
    remove.forEach(({ table, part, key }) => {
      if (!this.rows.delete(createId({ table, part, key }))) return;
      this.history.push({ row: { table, part, key, ver, deleted: true }, atMs });
    });
    while (this.history.length > 0 && atMs - this.history[0].atMs > HISTORY_MS) {
      this.oldestVer = this.history.shift().row.ver;
    }
    [...this.waiters].forEach((wake) => wake());
    return { status: 200, body: { ver } };
  }

  list(table, part) {
    return [...this.rows.values()]
      .filter((row) => row.table === table && (part === undefined || row.part === part))
      .sort((first, second) => compare(first.key, second.key));
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, 'http://store');
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
    if (this.isSilent) return;
    const { silences } = this;
    this.onCall(url, body, request.socket);
    if (url.pathname === '/rows-tx') await timers.setTimeout(TRANSACTION_MS);
    await timers.setTimeout(ANSWER_MS);
    const reply = await this.answer(url, body);
    if (response.destroyed) return;
    // The connection stays open and delivers nothing any more.
    if (this.silences !== silences) return;
    const text = JSON.stringify({ ...reply.body, now_ms: Math.round(performance.now()) });
    response.writeHead(reply.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  async answer(url, body) {
    const query = url.searchParams;
    if (url.pathname === '/rows-tx') return this.apply(body);
    if (url.pathname === '/rows-get') return this.read(query);
    if (url.pathname === '/rows-parts') {
      const after = query.get('after') ?? '';
      const parts = [...new Set(this.list(query.get('table')).map((row) => row.part))]
        .sort(compare)
        .filter((part) => compare(part, after) > 0);
      return {
        status: 200,
        body: { parts: parts.slice(0, 1000), more_pages: parts.length > 1000 },
      };
    }
    if (url.pathname === '/rows-feed') return this.feed(query);
    return { status: 404, body: {} };
  }

  read(query) {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const all = this.list(query.get('table'), query.get('part') ?? '').filter(
      ({ key }) => compare(key, from) >= 0 && (to === null || compare(key, to) < 0),
    );
    const rows = [];
    let bytes = 0;
    for (const row of all) {
      bytes += row.value.length;
      if (rows.length >= limit || (rows.length > 0 && bytes > PAGE_BYTES)) break;
      rows.push(row);
    }
    return { status: 200, body: { rows, more_pages: rows.length < all.length, ver: this.ver } };
  }

  async feed(query) {
    const after = Number(query.get('after'));
    const endMs = performance.now() + Math.min(30_000, Number(query.get('wait_ms')));
    for (;;) {
      if (after < this.oldestVer) return { status: 410, body: {} };
      const rows = this.history
        .map(({ row }) => row)
        .filter((row) => row.table === query.get('table') && row.ver > after);
      const leftMs = endMs - performance.now();
      if (rows.length > 0 || leftMs <= 0) return { status: 200, body: { rows, ver: this.ver } };
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiters.add(wake);
      });
    }
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}
