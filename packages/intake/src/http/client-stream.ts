/**
 * The connection of a client as the HTTP server sees it: what is received goes through the scheduler of
 * inputs, what is sent goes to the socket directly.
 */
import type * as net from 'node:net';
import * as stream from 'node:stream';
import type * as tls from 'node:tls';
import * as inputTurns from '../core/input-turns';
import type * as inputSchedulers from './input-scheduler';

type WriteCallback = (error?: Error | null) => void;

/** A chunk of a corked write. */
interface CorkedChunk {
  readonly chunk: Buffer;
  readonly encoding: BufferEncoding;
}

/* eslint-disable no-underscore-dangle -- the names of what a stream implements begin with an underscore */

/** One connection. */
export class ClientStream extends stream.Duplex implements inputSchedulers.ScheduledInput {
  sliceBytes: number;

  heldBytes: number;

  isBegun: boolean;

  /** Bytes that were received and not passed on yet. */
  private held: Buffer | undefined;

  private hasEnded = false;

  /** Whether the HTTP server takes more bytes. */
  private isWanted = false;

  /** Whether a decision lets the connection wait. */
  private isBlocked = false;

  private constructor(
    private readonly socket: net.Socket,
    private readonly scheduler: inputSchedulers.InputScheduler,
  ) {
    super({ allowHalfOpen: true, decodeStrings: false });
    const { sliceBytes, heldBytes, isBegun } = inputTurns.InputTurns.createInput();
    this.sliceBytes = sliceBytes;
    this.heldBytes = heldBytes;
    this.isBegun = isBegun;
    socket.pause();
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    socket.on('end', () => this.receiveEnd());
    socket.on('timeout', () => this.emit('timeout'));
    socket.on('error', (error) => this.destroy(error));
    socket.on('close', () => this.destroy());
  }

  static create(socket: net.Socket, scheduler: inputSchedulers.InputScheduler): ClientStream {
    return new ClientStream(socket, scheduler);
  }

  get remoteAddress(): string | undefined {
    return this.socket.remoteAddress;
  }

  get remotePort(): number | undefined {
    return this.socket.remotePort;
  }

  get bytesRead(): number {
    return this.socket.bytesRead;
  }

  get bytesWritten(): number {
    return this.socket.bytesWritten;
  }

  /** Whether the connection uses TLS, and whether its peer was authenticated. */
  get encrypted(): boolean {
    return (this.socket as Partial<tls.TLSSocket>).encrypted === true;
  }

  get authorized(): boolean {
    return (this.socket as Partial<tls.TLSSocket>).authorized === true;
  }

  setTimeout(timeoutMs: number, callback?: () => void): this {
    this.socket.setTimeout(timeoutMs);
    if (callback) this.once('timeout', callback);
    return this;
  }

  /** Closes the connection after everything was sent. */
  destroySoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once('finish', () => this.destroy());
  }

  /** Passes no more bytes on until it is called with false. */
  block(isBlocked: boolean): void {
    if (this.isBlocked === isBlocked) return;
    this.isBlocked = isBlocked;
    if (!isBlocked && this.isWanted) this.requestBytes();
  }

  parse(bytes: number): void {
    const { held } = this;
    if (!held) return;
    this.held = bytes < held.length ? held.subarray(bytes) : undefined;
    this.isWanted = false;
    this.push(held.subarray(0, bytes));
    if (!this.held && this.hasEnded) this.push(null);
  }

  readOn(): void {
    if (this.socket.isPaused()) this.socket.resume();
  }

  override _read(): void {
    this.isWanted = true;
    this.requestBytes();
  }

  override _write(chunk: Buffer, encoding: BufferEncoding, callback: WriteCallback): void {
    this.socket.write(chunk, encoding, callback);
  }

  override _writev(chunks: CorkedChunk[], callback: WriteCallback): void {
    this.socket.cork();
    chunks.forEach(({ chunk, encoding }, index) => {
      const isLast = index === chunks.length - 1;
      this.socket.write(chunk, encoding, isLast ? callback : undefined);
    });
    this.socket.uncork();
  }

  override _final(callback: WriteCallback): void {
    this.socket.end(callback);
  }

  override _destroy(error: Error | null, callback: WriteCallback): void {
    this.held = undefined;
    this.scheduler.remove(this);
    this.socket.destroy();
    callback(error);
  }

  private requestBytes(): void {
    if (this.isBlocked || this.destroyed) return;
    if (this.held) this.scheduler.requestTurn(this);
    else if (!this.hasEnded) this.scheduler.requestRead(this);
  }

  private receive(bytes: Buffer): void {
    if (this.destroyed) return;
    if (!this.scheduler.receive(this, bytes.length)) {
      this.destroy();
      return;
    }
    this.held = this.held ? Buffer.concat([this.held, bytes]) : bytes;
    if (this.isWanted) this.requestBytes();
    if (this.held) this.socket.pause();
  }

  private receiveEnd(): void {
    this.hasEnded = true;
    if (!this.held && !this.destroyed) this.push(null);
  }
}
