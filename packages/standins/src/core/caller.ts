/**
 * Stand-in for the callers: sends completions, look-ups and bookings, checks every answer against
 * what it must be, and keeps count of what it was told.
 */
import * as undici from 'undici';
import * as generation from '../utils/generation';

/** Options of the caller stand-in. */
export interface CallerOptions {
  readonly entries: readonly string[];
  readonly engine: string;
  readonly service: string;
  readonly tenant: string;
  readonly deadlineMs: number;
}

/** One answer as the caller saw it. */
export interface CallerAnswer {
  readonly status: number;
  readonly verdict: string;
  readonly code: string;
  readonly text: string;
  readonly durationMs: number;
}

/** What the caller was told about one try. */
export interface CallerOutcome {
  readonly verdict: string;
  readonly code: string;
}

/** What the callers saw. */
export interface CallerReport {
  requests: number;
  answers: number;
  refusedNotRun: number;
  mayHaveRun: number;
  unanswered: number;
  /** Requests that were cut off after they had been sent. */
  cut: number;
  /** Answers that are not the whole answer to their own request. */
  damaged: number;
  /** Completions that name no weight version or an unknown one. */
  unlabelled: number;
}

const ERROR_STATUS = 400;
const EXTRA_TIMEOUT_MS = 5000;

/** Sends requests to the entries in turn, as a balancer would. */
export class CallerStandin {
  readonly report: CallerReport = {
    requests: 0,
    answers: 0,
    refusedNotRun: 0,
    mayHaveRun: 0,
    unanswered: 0,
    cut: 0,
    damaged: 0,
    unlabelled: 0,
  };

  /** Request ids that the caller was told did not run. */
  readonly refusedIds: string[] = [];

  /** What the caller was told about each booking, try by try. */
  readonly outcomes = new Map<string, CallerOutcome[]>();

  /** Request ids whose answer arrived. */
  readonly answeredIds: string[] = [];

  private turn = 0;

  private readonly agent = new undici.Agent({ connections: 256 });

  private constructor(private readonly options: CallerOptions) {}

  static create(options: CallerOptions): CallerStandin {
    return new CallerStandin(options);
  }

  /** Asks for a completion and checks it. */
  async complete(prompt: string, seed: number, maximumTokens: number): Promise<CallerAnswer> {
    const { engine } = this.options;
    const body = { prompt, seed, max_tokens: maximumTokens, stream: true };
    const answer = await this.send('POST', `/v1/engines/${engine}/completions`, body, {});
    if (answer.status === 200) this.checkCompletion(answer.text, prompt, seed, maximumTokens);
    return answer;
  }

  /** Looks a slot up; may be repeated. */
  lookUp(slot: string): Promise<CallerAnswer> {
    return this.send('GET', `/v1/services/${this.options.service}/slots/${slot}`, undefined, {});
  }

  /** Books a slot; must never run twice under the same id. */
  async book(requestId: string): Promise<CallerAnswer> {
    const path = `/v1/services/${this.options.service}/bookings`;
    const answer = await this.send('POST', path, { requestId }, { 'idempotency-key': requestId });
    if (answer.status === 201) {
      this.answeredIds.push(requestId);
      const { request_id: answered } = JSON.parse(answer.text) as { request_id: string };
      if (answered !== requestId) this.report.damaged += 1;
    }
    if (answer.verdict === 'not-run') this.refusedIds.push(requestId);
    const { verdict, code } = answer;
    const earlier = this.outcomes.get(requestId) ?? [];
    this.outcomes.set(requestId, [...earlier, { verdict, code }]);
    return answer;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    headers: Readonly<Record<string, string>>,
  ): Promise<CallerAnswer> {
    const { entries, tenant, deadlineMs } = this.options;
    const entry = entries[this.turn % entries.length];
    this.turn += 1;
    this.report.requests += 1;
    const startMs = performance.now();
    try {
      const response = await undici.request(`${entry}${path}`, {
        method,
        dispatcher: this.agent,
        headers: {
          'x-azureworks-tenant': tenant,
          'x-azureworks-deadline-ms': String(deadlineMs),
          'content-type': 'application/json',
          ...headers,
        },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(deadlineMs + EXTRA_TIMEOUT_MS),
      });
      const text = await response.body.text();
      return this.count({
        status: response.statusCode,
        verdict: String(response.headers['x-azureworks-verdict'] ?? ''),
        code: String(response.headers['x-azureworks-error'] ?? ''),
        text,
        durationMs: performance.now() - startMs,
      });
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code ?? '';
      return this.countUnanswered(code, performance.now() - startMs);
    }
  }

  /** A refused connection is no cut: nothing was sent, and a balancer would try another entry. */
  private countUnanswered(code: string, durationMs: number): CallerAnswer {
    this.report.unanswered += 1;
    const isSent = code !== 'ECONNREFUSED';
    if (isSent) this.report.cut += 1;
    return { status: 0, verdict: isSent ? 'unanswered' : 'not-sent', code, text: '', durationMs };
  }

  private count(answer: CallerAnswer): CallerAnswer {
    if (answer.status < ERROR_STATUS) this.report.answers += 1;
    else if (answer.verdict === 'not-run') this.report.refusedNotRun += 1;
    else this.report.mayHaveRun += 1;
    return answer;
  }

  private checkCompletion(text: string, prompt: string, seed: number, maximumTokens: number): void {
    const events = parseEvents(text);
    const received = events.map((event) => String(event.text ?? '')).join('');
    const expected = generation.makeText(prompt, seed, 0, maximumTokens);
    if (received !== expected || !text.endsWith('data: [DONE]\n\n')) this.report.damaged += 1;
    const summary = events.find((event) => 'weight_versions' in event);
    const named = new Set((summary?.weight_versions as (number | null)[] | undefined) ?? []);
    const produced = events
      .filter((event) => 'weight_version' in event)
      .map((event) => event.weight_version as number | null);
    const isTrue = produced.every((version) => version !== null && named.has(version));
    if (named.size === 0 || !isTrue) this.report.unlabelled += 1;
  }
}

function parseEvents(text: string): Record<string, unknown>[] {
  return text
    .split('\n')
    .filter((line) => line.startsWith('data: {'))
    .map((line) => JSON.parse(line.slice('data: '.length)) as Record<string, unknown>);
}
