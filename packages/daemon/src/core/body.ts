/**
 * Reads the bodies of requests within the memory and the descriptors of the daemon. What a request holds
 * counts from before its bytes are read until its response is closed; parsed JSON counts for its copies.
 */
import type * as http from 'node:http';
import * as decisions from '@azureworks/decisions';
import * as intake from '@azureworks/intake';
import * as neverthrow from 'neverthrow';
import type * as runtime from '@azureworks/runtime';
import type * as zod from 'zod';
import * as failureResponses from './failure-response';

/** What bounds the requests of a daemon. */
export interface BodyOptions {
  readonly memory: intake.MemoryBudget;
  /** Descriptors that the process may open. */
  readonly maximumDescriptors: number;
  readonly log: runtime.Log;
  readonly metrics: runtime.Metrics;
}

/** How long a body or an unread response may stand still, in milliseconds. */
const IDLE_TIMEOUT_MS = 60_000;
/** How much of a request is read that was answered before, in bytes. */
const MAXIMUM_DRAINED_BYTES = 1024 * 1024;
/** Memory of a parsed body in multiples of its bytes: the bytes, their text and the values. */
export const PARSED_COPIES = 3;

/** The bodies of the requests of one server. */
export class Bodies {
  private intake: intake.RequestIntake | undefined;

  private readonly reservations = new WeakMap<http.ServerResponse, intake.Reservation>();

  private constructor(private readonly options: BodyOptions) {
    options.metrics.gauge('memory_held_bytes', {}, () => options.memory.heldBytes);
  }

  static create(options: BodyOptions): Bodies {
    return new Bodies(options);
  }

  /** The memory that open work may hold. */
  get memory(): intake.Memory {
    return this.options.memory;
  }

  /** Takes in the requests of a server that does not listen yet. */
  attach(server: http.Server): void {
    const { memory, maximumDescriptors, log, metrics } = this.options;
    this.intake = intake.RequestIntake.create(server, {
      memory,
      maximumConnections: intake.computeConnectionLimit(maximumDescriptors),
      log,
      metrics,
      readLimits: () => ({ bodyBytes: MAXIMUM_DRAINED_BYTES, idleTimeoutMs: IDLE_TIMEOUT_MS }),
      encodeRefusal: failureResponses.encodeFailure,
      identifyRequest: (request) => request.url,
    });
    this.intake.start();
  }

  detach(): void {
    this.intake?.stop();
  }

  /** Reads a whole body; undefined when the request was answered instead, as it did not fit. */
  async read(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    limitBytes: number,
  ): Promise<Buffer | undefined> {
    return this.intake?.readBody(request, response, this.openReservation(response), limitBytes);
  }

  /** Reads a body of JSON and checks it against a schema; undefined when the request was answered. */
  async readJson<T>(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    limitBytes: number,
    schema: zod.ZodType<T>,
  ): Promise<neverthrow.Result<T, decisions.Failure> | undefined> {
    const bytes = await this.read(request, response, this.limitJson(limitBytes));
    return bytes && this.reserveParsed(response, bytes).andThen(() => parseJson(bytes, schema));
  }

  /** The largest body of JSON within a limit that fits the memory once it is parsed. */
  limitJson(limitBytes: number): number {
    return Math.min(limitBytes, Math.floor(this.options.memory.largestBytes / PARSED_COPIES));
  }

  /** Takes the memory for parsing a body that was read. */
  reserveParsed(
    response: http.ServerResponse,
    bytes: Buffer,
  ): neverthrow.Result<void, decisions.Failure> {
    const copies = (PARSED_COPIES - 1) * bytes.length;
    // Nothing would give the memory back after the response was closed.
    if (response.destroyed) return neverthrow.ok(undefined);
    if (this.openReservation(response).tryGrow(copies)) return neverthrow.ok(undefined);
    return neverthrow.err(createMemoryRefusal());
  }

  /** Counts what a client has still to read. It is held already, so it is not refused. */
  countResponse(response: http.ServerResponse, bytes: number): void {
    if (!response.destroyed) this.openReservation(response).grow(bytes);
  }

  /** Answers a request from its head; of its body, only as much is read as lets its client see that. */
  refuse(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    failure: decisions.Failure,
  ): void {
    if (request.complete || response.headersSent || !this.intake) {
      failureResponses.sendFailure(response, failure);
      return;
    }
    const { headers, body } = failureResponses.encodeFailure(failure);
    const closing = ['content-length', String(body.length), 'connection', 'close'];
    response.writeHead(decisions.getHttpStatus(failure), [...headers, ...closing]);
    response.write(body);
    this.intake.endUnread(request, response);
  }

  /** Bounds what is read of a request after its response was sent. */
  endAnswered(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (!request.complete && !request.destroyed) this.intake?.endUnread(request, response);
  }

  private openReservation(response: http.ServerResponse): intake.Reservation {
    const existing = this.reservations.get(response);
    if (existing) return existing;
    const reservation = this.options.memory.open();
    this.reservations.set(response, reservation);
    response.once('close', () => reservation.release());
    return reservation;
  }
}

/** The refusal of a request for which there is no memory now. */
export function createMemoryRefusal(): decisions.Failure {
  return decisions.createFailure('memory-exhausted', {
    retryAfterMs: intake.MEMORY_RETRY_AFTER_MS,
  });
}

/** Parses JSON and checks it against a schema. */
export function parseJson<T>(
  bytes: Buffer,
  schema: zod.ZodType<T>,
): neverthrow.Result<T, decisions.Failure> {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch {
    return neverthrow.err(decisions.createFailure('malformed-json'));
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return neverthrow.ok(parsed.data);
  const [issue] = parsed.error.issues;
  const detail = `${issue.path.join('.')}: ${issue.message}`;
  return neverthrow.err(decisions.createFailure('invalid-request', { detail }));
}
