/**
 * Stand-in for callers: sends completions, look-ups and bookings to the entries, compares every
 * answer with the expected one and counts the outcomes.
 */
import * as undici from 'undici';
import * as generation from '../utils/generation';

/** Options of the caller stand-in. */
export interface CallerOptions {
  readonly entries: readonly string[];
  readonly engine: string;
  readonly service: string;
  readonly organisation: string;
  readonly deadlineMs: number;
}

/** The answer to one request. */
export interface CallerAnswer {
  readonly status: number;
  readonly verdict: string;
  readonly code: string;
  readonly text: string;
  readonly durationMs: number;
}

/** Verdict and error code of one attempt of a booking. */
export interface AttemptOutcome {
  readonly verdict: string;
  readonly code: string;
}

/** Counts of the requests sent and their outcomes. */
export interface CallerReport {
  requests: number;
  answers: number;
  refusedNotRun: number;
  mayHaveRun: number;
  unanswered: number;
  /** Requests whose connection broke after they had been sent. */
  cutOff: number;
  /** Answers that are incomplete or belong to another request. */
  damaged: number;
  /** Completions whose summary names no weight version or lacks one that produced a token. */
  unlabelled: number;
}

const MINIMUM_ERROR_STATUS = 400;
const TIMEOUT_MARGIN_MS = 5000;

/** Sends requests to the entries in turn, like a round-robin load balancer. */
export class CallerStandin {
  readonly report: CallerReport = {
    requests: 0,
    answers: 0,
    refusedNotRun: 0,
    mayHaveRun: 0,
    unanswered: 0,
    cutOff: 0,
    damaged: 0,
    unlabelled: 0,
  };

  /** The requests that were cut off, with the error and how long they had taken. */
  readonly cutOffRequests: string[] = [];

  /** Ids of bookings answered with the verdict `not-run`. */
  readonly refusedIds: string[] = [];

  /** The outcomes of all attempts of each booking, in the order of their answers. */
  readonly outcomesByRequestId = new Map<string, AttemptOutcome[]>();

  /** Ids of bookings that were answered with success. */
  readonly answeredIds: string[] = [];

  private sentCount = 0;

  private readonly agent = new undici.Agent({ connections: 256 });

  private constructor(private readonly options: CallerOptions) {}

  static create(options: CallerOptions): CallerStandin {
    return new CallerStandin(options);
  }

  /** Requests a completion and verifies its text and weight versions. */
  async complete(prompt: string, seed: number, maximumTokens: number): Promise<CallerAnswer> {
    const { engine } = this.options;
    const body = { prompt, seed, max_tokens: maximumTokens, stream: true };
    const answer = await this.send('POST', `/v1/engines/${engine}/completions`, body, {});
    if (answer.status === 200) this.checkCompletion(answer.text, prompt, seed, maximumTokens);
    return answer;
  }

  /** Reads a slot; the call is idempotent. */
  lookUp(slot: string): Promise<CallerAnswer> {
    return this.send('GET', `/v1/services/${this.options.service}/slots/${slot}`, undefined, {});
  }

  /** Books a slot; the call is not idempotent and must run at most once for each id. */
  async book(requestId: string): Promise<CallerAnswer> {
    const path = `/v1/services/${this.options.service}/bookings`;
    const answer = await this.send('POST', path, { requestId }, { 'idempotency-key': requestId });
    if (answer.status === 201) {
      this.answeredIds.push(requestId);
      const { request_id: answeredId } = JSON.parse(answer.text) as { request_id: string };
      if (answeredId !== requestId) this.report.damaged += 1;
    }
    if (answer.verdict === 'not-run') this.refusedIds.push(requestId);
    const { verdict, code } = answer;
    const previousOutcomes = this.outcomesByRequestId.get(requestId) ?? [];
    this.outcomesByRequestId.set(requestId, [...previousOutcomes, { verdict, code }]);
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
    const { entries, organisation: tenant, deadlineMs } = this.options;
    const entry = entries[this.sentCount % entries.length];
    this.sentCount += 1;
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
        signal: AbortSignal.timeout(deadlineMs + TIMEOUT_MARGIN_MS),
      });
      const text = await response.body.text();
      return this.recordAnswer({
        status: response.statusCode,
        verdict: String(response.headers['x-azureworks-verdict'] ?? ''),
        code: String(response.headers['x-azureworks-error'] ?? ''),
        text,
        durationMs: performance.now() - startMs,
      });
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code ?? '';
      return this.recordUnanswered(`${method} ${entry}${path}`, code, performance.now() - startMs);
    }
  }

  /**
   * A refused connection does not count as cut off: nothing was sent, and a load balancer would try
   * another entry.
   */
  private recordUnanswered(request: string, code: string, durationMs: number): CallerAnswer {
    this.report.unanswered += 1;
    const isSent = code !== 'ECONNREFUSED';
    if (isSent) {
      this.report.cutOff += 1;
      this.cutOffRequests.push(`${request}: ${code} after ${Math.round(durationMs)} ms`);
    }
    return { status: 0, verdict: isSent ? 'unanswered' : 'not-sent', code, text: '', durationMs };
  }

  private recordAnswer(answer: CallerAnswer): CallerAnswer {
    if (answer.status < MINIMUM_ERROR_STATUS) this.report.answers += 1;
    else if (answer.verdict === 'not-run') this.report.refusedNotRun += 1;
    else this.report.mayHaveRun += 1;
    return answer;
  }

  private checkCompletion(text: string, prompt: string, seed: number, maximumTokens: number): void {
    const events = parseEvents(text);
    const received = events.map((event) => String(event.text ?? '')).join('');
    const expected = generation.generateText(prompt, seed, 0, maximumTokens);
    if (received !== expected || !text.endsWith('data: [DONE]\n\n')) this.report.damaged += 1;
    const summary = events.find((event) => 'weight_versions' in event);
    const labelledVersions = new Set(
      (summary?.weight_versions as (number | null)[] | undefined) ?? [],
    );
    const producedVersions = events
      .filter((event) => 'weight_version' in event)
      .map((event) => event.weight_version as number | null);
    const isLabelComplete = producedVersions.every(
      (version) => version !== null && labelledVersions.has(version),
    );
    if (labelledVersions.size === 0 || !isLabelComplete) this.report.unlabelled += 1;
  }
}

function parseEvents(text: string): Record<string, unknown>[] {
  return text
    .split('\n')
    .filter((line) => line.startsWith('data: {'))
    .map((line) => JSON.parse(line.slice('data: '.length)) as Record<string, unknown>);
}
