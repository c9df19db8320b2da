/**
 * Allocates free ports below the system's ephemeral port range. No outgoing connection can take
 * such a port while its daemon is down, so the daemon can restart on it.
 */
import * as net from 'node:net';

const ADDRESS = '127.0.0.1';
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;
const PORTS_PER_PROCESS = 97;

let nextPort = FIRST_PORT + ((process.pid * PORTS_PER_PROCESS) % (LAST_PORT - FIRST_PORT));

/** Returns a free port that this process has not recently allocated. */
export async function allocatePort(): Promise<number> {
  nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1;
  const port = nextPort;
  return (await isFree(port)) ? port : allocatePort();
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ADDRESS, () => server.close(() => resolve(true)));
  });
}
