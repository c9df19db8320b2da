/**
 * The platform's metadata store: tables of rows, conditional transactions, a feed of changes.
 */
/* eslint-disable no-await-in-loop, no-use-before-define, no-restricted-syntax, import-x/prefer-default-export -- it runs as it stands, without a compiler */
import http from 'node:http';

const HISTORY_MS = 20_000;
const MAXIMUM_ROWS = 500;
const MAXIMUM_BYTES = 1_000_000;

const compare = (first, second) => Buffer.compare(Buffer.from(first), Buffer.from(second));

export class Store {
  constructor() {
    this.rows = new Map();
    this.changes = [];
    this.ver = 0;
    this.waiters = new Set();
    this.delayMs = 4;
    this.server = http.createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  static key(table, part, key) {
    return JSON.stringify([table, part, key]);
  }

  /** Writes a row as the operator, a trainer or a replica does. */
  write(table, key, value) {
    this.apply({ set_keys: [{ table, part: '', key, value: encode(value) }] });
  }

  remove(table, key) {
    this.apply({ remove: [{ table, part: '', key }] });
  }

  apply({ expected = [], set_keys: writes = [], remove = [] }) {
    const differs = expected.some(
      ({ table, part, key, ver }) => (this.rows.get(Store.key(table, part, key))?.ver ?? 0) !== ver,
    );
    if (differs) {
      const rows = expected.flatMap(
        ({ table, part, key }) => this.rows.get(Store.key(table, part, key)) ?? [],
      );
      return { status: 412, body: { rows, ver: this.ver } };
    }
    this.ver += 1;
    const atMs = performance.now();
    for (const { table, part, key, value } of writes) {
      const row = { table, part, key, value, ver: this.ver };
      this.rows.set(Store.key(table, part, key), row);
      this.changes.push({ atMs, row });
    }
    for (const { table, part, key } of remove) {
      if (this.rows.delete(Store.key(table, part, key))) {
        this.changes.push({ atMs, row: { table, part, key, ver: this.ver, deleted: true } });
      }
    }
    while (this.changes.length > 0 && this.changes[0].atMs < atMs - HISTORY_MS) {
      this.lostVer = this.changes.shift().row.ver;
    }
    [...this.waiters].forEach((wake) => wake());
    return { status: 200, body: { ver: this.ver } };
  }

  async handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(request.url, 'http://store');
    await new Promise((resolve) => {
      setTimeout(resolve, this.delayMs);
    });
    const { status, body } = await this.answer(url, Buffer.concat(chunks));
    if (response.destroyed) return;
    const text = JSON.stringify({ ...body, now_ms: Math.round(performance.now()) });
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  async answer(url, body) {
    const query = url.searchParams;
    if (url.pathname === '/rows-tx') return this.apply(JSON.parse(body.toString()));
    if (url.pathname === '/rows-get') return this.read(query);
    if (url.pathname === '/rows-parts') {
      const rows = [...this.rows.values()].filter(({ table }) => table === query.get('table'));
      const parts = [...new Set(rows.map(({ part }) => part))]
        .filter((part) => compare(part, query.get('after') ?? '') > 0 || !query.has('after'))
        .sort(compare);
      return {
        status: 200,
        body: { parts: parts.slice(0, 1000), more_pages: parts.length > 1000, ver: this.ver },
      };
    }
    if (url.pathname === '/rows-feed') return this.feed(query);
    return { status: 404, body: {} };
  }

  read(query) {
    const from = query.get('from') ?? '';
    const rows = [...this.rows.values()]
      .filter(({ table, part }) => table === query.get('table') && part === query.get('part'))
      .filter(({ key }) => compare(key, from) >= 0)
      .filter(({ key }) => !query.has('to') || compare(key, query.get('to')) < 0)
      .sort((first, second) => compare(first.key, second.key));
    const limit = Math.min(MAXIMUM_ROWS, Number(query.get('limit') ?? MAXIMUM_ROWS));
    const page = [];
    let bytes = 0;
    for (const row of rows) {
      bytes += row.value.length;
      if (page.length >= limit || (page.length > 0 && bytes > MAXIMUM_BYTES)) break;
      page.push(row);
    }
    return {
      status: 200,
      body: { rows: page, more_pages: page.length < rows.length, ver: this.ver },
    };
  }

  async feed(query) {
    const after = Number(query.get('after'));
    const endMs = performance.now() + Number(query.get('wait_ms') ?? 0);
    for (;;) {
      if (after < (this.lostVer ?? 0)) return { status: 410, body: {} };
      const rows = this.changes
        .map(({ row }) => row)
        .filter(({ table, ver }) => table === query.get('table') && ver > after);
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
}

function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}
