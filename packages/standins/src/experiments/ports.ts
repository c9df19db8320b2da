/**
 * Free ports below the range that the system hands out for outgoing connections, so that a daemon
 * can be started again on its port.
 */
import * as net from 'node:net';

const ADDRESS = '127.0.0.1';
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;
const PORTS_PER_PROCESS = 97;

let nextPort = FIRST_PORT + ((process.pid * PORTS_PER_PROCESS) % (LAST_PORT - FIRST_PORT));

/** Takes a free port that was not taken before by this process. */
export async function takePort(): Promise<number> {
  nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1;
  const port = nextPort;
  return (await isFree(port)) ? port : takePort();
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ADDRESS, () => server.close(() => resolve(true)));
  });
}
