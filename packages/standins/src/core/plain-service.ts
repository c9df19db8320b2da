/**
 * Stand-in for a plain service: idempotent look-ups, non-idempotent bookings and scores for
 * samples. It logs every booking that ran.
 */
import * as decisions from '@azureworks/decisions';
import * as server from './standin-server';
import * as statusResponses from './status-response';

/** Options of the plain service stand-in. */
export interface PlainServiceOptions {
  readonly name: string;
  /** Duration of a call, in milliseconds. */
  readonly serviceMs: number;
}

const CREATED = 201;
const SCORE_STEPS = 1000;

/** A plain service with a fixed call duration. */
export class PlainServiceStandin {
  readonly server: server.StandinServer;

  private readonly bookings: { requestId: string; attempt: string; arrivedMs: number }[] = [];

  private lookups = 0;

  private scores = 0;

  private running = 0;

  private constructor(private readonly options: PlainServiceOptions) {
    this.server = server.StandinServer.create(() => ({
      name: this.options.name,
      bookings: this.bookings,
      lookups: this.lookups,
      scores: this.scores,
    }));
    this.server.addRoute('post', '/bookings', (call) => this.book(call));
    this.server.addRoute('get', '/slots/:slot', (call) => this.lookUp(call));
    this.server.addRoute('post', '/score', (call) => this.score(call));
    this.server.addRoute('get', '/v1/load', () => ({ running: this.running, queued: 0 }));
  }

  static create(options: PlainServiceOptions): PlainServiceStandin {
    return new PlainServiceStandin(options);
  }

  private async simulateWork(): Promise<void> {
    this.running += 1;
    await server.sleep(this.options.serviceMs);
    this.running -= 1;
  }

  private async book({ request }: server.Call): Promise<unknown> {
    const requestId = String(request.headers['idempotency-key'] ?? '');
    const attempt = String(request.headers['x-azureworks-attempt'] ?? '');
    this.bookings.push({ requestId, attempt, arrivedMs: Date.now() });
    const bookingNumber = this.bookings.length;
    await this.simulateWork();
    const body = { booking: `${this.options.name}-${bookingNumber}`, request_id: requestId };
    return statusResponses.StatusResponse.create(CREATED, body);
  }

  private async lookUp({ request }: server.Call): Promise<unknown> {
    this.lookups += 1;
    await this.simulateWork();
    return { slot: request.params.slot, is_free: true };
  }

  private async score({ body }: server.Call): Promise<unknown> {
    this.scores += 1;
    await this.simulateWork();
    const text = String((body as { text?: unknown } | undefined)?.text ?? '');
    return { score: (decisions.hashText(text) % SCORE_STEPS) / SCORE_STEPS };
  }
}
