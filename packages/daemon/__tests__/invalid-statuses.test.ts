/**
 * Targets in trouble answer with statuses that HTTP does not have. They are no answers: the request may have
 * run, and its caller is told so.
 */
import * as net from 'node:net';
import type * as forwardedRequests from '../src/core/forwarded-request';
import * as forwarders from '../src/core/forwarder';

const REQUEST = { method: 'POST', path: '/bookings', headers: {}, body: Buffer.from('{}') };

/** What a handler was told. */
interface Told {
  readonly statuses: number[];
  end?: string;
}

describe('a response of a target', () => {
  let server: net.Server;
  let forwarder: forwarders.Forwarder;
  let sockets: net.Socket[];

  beforeEach(() => {
    sockets = [];
  });

  afterEach(async () => {
    await forwarder.close();
    sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  async function send(response: string): Promise<Told> {
    server = net.createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => {});
      socket.once('data', () => socket.write(response));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    forwarder = forwarders.Forwarder.createForTarget(`http://127.0.0.1:${port}`);
    const told: Told = { statuses: [] };
    await new Promise<void>((resolve) => {
      const handler: forwardedRequests.ResponseHandler = {
        head: (status) => told.statuses.push(status),
        data: () => true,
        end: () => {
          told.end = 'whole';
          resolve();
        },
        fail: (wasSent) => {
          told.end = wasSent ? 'may have run' : 'not run';
          resolve();
        },
      };
      forwarder.send(REQUEST, handler);
    });
    return told;
  }

  it.each(['000', '0', '001', '099', '600', '999', '1000'])(
    'with a status of %s is no answer',
    async (status) => {
      const told = await send(`HTTP/1.1 ${status} Trouble\r\nContent-Length: 0\r\n\r\n`);
      expect(told).toEqual({ statuses: [], end: 'may have run' });
    },
  );

  it.each([102, 103, 199])('with a status of %d comes before the answer', async (status) => {
    const told = await send(
      `HTTP/1.1 ${status} Early\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n`,
    );
    expect(told).toEqual({ statuses: [201], end: 'whole' });
  });

  it('ends after many statuses that come before the answer', async () => {
    const told = await send('HTTP/1.1 102 Processing\r\n\r\n'.repeat(1000));
    expect(told).toEqual({ statuses: [], end: 'may have run' });
  });
});
