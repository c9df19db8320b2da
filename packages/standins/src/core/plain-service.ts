/**
 * Stand-in for a plain service: look-ups that may be repeated, bookings that may not, and scores
 * for samples. It logs every booking that really ran.
 */
import * as decisions from '@azureworks/decisions';
import * as server from './standin-server';
import * as statusAnswers from './status-answer';

/** Options of the plain service stand-in. */
export interface PlainServiceOptions {
  readonly name: string;
  /** Milliseconds that a call takes. */
  readonly serviceMs: number;
}

const CREATED = 201;
const SCORE_RANGE = 1000;

/** A plain service. */
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
    this.server.add('post', '/bookings', (call) => this.book(call));
    this.server.add('get', '/slots/:slot', (call) => this.lookUp(call));
    this.server.add('post', '/score', (call) => this.score(call));
    this.server.add('get', '/v1/load', () => ({ running: this.running, queued: 0 }));
  }

  static create(options: PlainServiceOptions): PlainServiceStandin {
    return new PlainServiceStandin(options);
  }

  private async work(): Promise<void> {
    this.running += 1;
    await server.sleep(this.options.serviceMs);
    this.running -= 1;
  }

  private async book({ request }: server.Call): Promise<unknown> {
    const requestId = String(request.headers['idempotency-key'] ?? '');
    const attempt = String(request.headers['x-azureworks-attempt'] ?? '');
    this.bookings.push({ requestId, attempt, arrivedMs: Date.now() });
    const number = this.bookings.length;
    await this.work();
    const body = { booking: `${this.options.name}-${number}`, request_id: requestId };
    return statusAnswers.StatusAnswer.create(CREATED, body);
  }

  private async lookUp({ request }: server.Call): Promise<unknown> {
    this.lookups += 1;
    await this.work();
    return { slot: request.params.slot, is_free: true };
  }

  private async score({ body }: server.Call): Promise<unknown> {
    this.scores += 1;
    await this.work();
    const text = String((body as { text?: unknown } | undefined)?.text ?? '');
    return { score: (decisions.hashText(text) % SCORE_RANGE) / SCORE_RANGE };
  }
}
