/**
 * A planned stop of an entry while requests still come, or are still in flight at its end. All requests
 * belong to one stop, as it takes seconds.
 */
import * as net from 'node:net';
import * as runtime from '@azureworks/runtime';
import * as localSystems from './support/local-system';

const DRAIN_TIMEOUT_MS = 2000;
/** Callers get their final answers after this share of the drain timeout. */
const LAST_ANSWER_MS = DRAIN_TIMEOUT_MS * 0.85;
/** Longer than the whole stop. */
const LONG_DELAY_MS = 20_000;
const SETUP_TIMEOUT_MS = 60_000;
const BOOKING = JSON.stringify({ requestId: 'late' });

/** A client that sends one request in two parts. */
class Client {
  text = '';

  endedAtMs = 0;

  readonly closed: Promise<void>;

  constructor(private readonly socket: net.Socket) {
    socket.on('data', (bytes) => {
      this.text += bytes.toString('latin1');
    });
    socket.on('error', () => {});
    this.closed = new Promise((resolve) => {
      socket.on('close', () => {
        this.endedAtMs = performance.now();
        resolve();
      });
    });
  }

  write(text: string): void {
    this.socket.write(text);
  }
}

function createHead(line: string, length: number): string {
  const headers = ['Host: e', 'X-Azureworks-Tenant: open', 'X-Azureworks-Deadline-Ms: 15000'];
  return [line, ...headers, `Content-Length: ${length}`, '', ''].join('\r\n');
}

describe('a planned stop of an entry with requests in flight', () => {
  let system: localSystems.LocalSystem;
  let booking: Client;
  let lookUp: Client;
  let late: Client;
  let stopStartMs: number;

  beforeAll(async () => {
    system = await localSystems.LocalSystem.create([
      '[daemon]',
      `drain_timeout_ms = ${DRAIN_TIMEOUT_MS}`,
    ]);
    const { httpPort } = system.entry.ports;
    const connect = (): Client => new Client(net.connect(httpPort, '127.0.0.1'));
    system.service.server.faults.slowMs = LONG_DELAY_MS;
    booking = connect();
    booking.write(
      `${createHead('POST /v1/services/app/bookings HTTP/1.1', BOOKING.length)}${BOOKING}`,
    );
    lookUp = connect();
    lookUp.write(createHead('GET /v1/services/app/slots/one HTTP/1.1', 0));
    late = connect();
    late.write(createHead('POST /v1/services/app/bookings HTTP/1.1', BOOKING.length));
    await runtime.pause(300);
    stopStartMs = performance.now();
    const stopped = system.entry.daemon.stop();
    await runtime.pause(1000);
    late.write(BOOKING);
    await Promise.all([booking, lookUp, late].map(({ closed }) => closed));
    await stopped;
  }, SETUP_TIMEOUT_MS);

  afterAll(() => system.stop(), SETUP_TIMEOUT_MS);

  it('tells that a request may have run that a target works on at the last moment', () => {
    [booking, lookUp].forEach((client) => {
      expect(client.text).toMatch(/^HTTP\/1\.1 50[24] /);
      expect(client.text).toContain('"verdict":"may-have-run"');
      expect(client.endedAtMs - stopStartMs).toBeGreaterThan(LAST_ANSWER_MS - 50);
      expect(client.endedAtMs - stopStartMs).toBeLessThan(DRAIN_TIMEOUT_MS);
    });
  });

  it('refuses a request that comes late, for another entry to take at once', () => {
    expect(late.text).toMatch(/^HTTP\/1\.1 503 /);
    expect(late.text).toContain('"verdict":"not-run"');
    expect(late.text).toMatch(/retry-after: 0\r\n/i);
  });
});
