/**
 * A client that sends a body without ever finishing it.
 */
import * as net from 'node:net';
import * as runtime from '@azureworks/runtime';

/** What one client sends: a head, and then pieces until it stops short or is closed. */
export interface Sending {
  readonly head: string;
  readonly piece: Buffer;
  readonly pieceCount: number;
  /** Sent after the pieces; the client then stays open. */
  readonly tail?: Buffer;
  /** Time between two pieces, in milliseconds. */
  readonly pauseMs?: number;
  /** How often the client connects again when it is closed. */
  readonly reconnects?: number;
  /** Whether the client never reads what it is sent. */
  readonly isNotReading?: boolean;
}

/** The head of a request with a body. */
export function createHead(path: string, headers: readonly string[]): string {
  return [`POST ${path} HTTP/1.1`, ...headers, '', ''].join('\r\n');
}

/** Encodes a chunk of a chunked body. */
export function createChunk(bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);
}

/** Starts clients, and waits until each has sent all that it ever will, or the time is over. */
export async function startCrowd(
  clients: readonly UntrustedClient[],
  timeoutMs: number,
): Promise<void> {
  const isSent = Promise.all(clients.map((client) => client.run()));
  await Promise.race([isSent, runtime.pause(timeoutMs)]);
}

/** One client of the crowd. */
export class UntrustedClient {
  private socket: net.Socket | undefined;

  private isStopped = false;

  private readonly isSettled: Promise<void>;

  private readonly settle: () => void;

  constructor(
    private readonly port: number,
    private readonly ip: string,
    private readonly sending: Sending,
  ) {
    let settle = (): void => {};
    this.isSettled = new Promise((resolve) => {
      settle = resolve;
    });
    this.settle = settle;
  }

  /** Resolves when everything is sent, or the client was closed for the last time. */
  async run(): Promise<void> {
    this.connect(this.sending.reconnects ?? 0);
    await this.isSettled;
  }

  stop(): void {
    this.isStopped = true;
    this.settle();
    this.socket?.destroy();
  }

  private connect(reconnects: number): void {
    if (this.isStopped) return;
    const socket = net.connect(this.port, this.ip);
    this.socket = socket;
    socket.on('error', () => {});
    if (!this.sending.isNotReading) socket.on('data', () => {});
    socket.on('close', () => {
      if (reconnects > 0) this.connect(reconnects - 1);
      else this.settle();
    });
    socket.on('connect', () => this.send(socket));
  }

  private async send(socket: net.Socket): Promise<void> {
    const { head, piece, pieceCount, tail, pauseMs = 0 } = this.sending;
    socket.write(head);
    for (let count = 0; count < pieceCount && !socket.destroyed; count += 1) {
      await writeAll(socket, piece);
      if (pauseMs > 0) await runtime.pause(pauseMs);
    }
    if (tail && !socket.destroyed) await writeAll(socket, tail);
    if (!socket.destroyed) this.settle();
  }
}

function writeAll(socket: net.Socket, bytes: Buffer): Promise<void> {
  return new Promise((resolve) => {
    socket.once('close', resolve);
    socket.write(bytes, () => {
      socket.off('close', resolve);
      resolve();
    });
  });
}
