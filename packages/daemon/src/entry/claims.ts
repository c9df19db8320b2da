/**
 * Claims make a non-idempotent request with an id from its caller run at most once, however often
 * it is sent and through whichever entries.
 *
 * A claim is a row at the table service. It names the only attempt that may be dispatched and the
 * target daemon that may dispatch it. Before another attempt is made, that daemon must bar the
 * previous one, and the row is then replaced on condition that it is unchanged. While the table
 * service is unavailable no claim can be acquired, and the request is refused as not run.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as storage from '@azureworks/storage';
import * as runtime from '@azureworks/runtime';
import type * as requests from './request';
import type * as settlements from './settlement';

/** States of a claim. */
const ClaimState = { Claimed: 'claimed', Done: 'done', Released: 'released' } as const;
type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

interface ClaimRow {
  readonly state: ClaimState;
  readonly place: settlements.AttemptPlace;
  readonly answer?: RecordedAnswer;
}

interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Dependencies that all claims of an entry share. */
export interface ClaimContext {
  readonly clock: decisions.Clock;
  readonly metrics: runtime.Metrics;
  readonly settler: settlements.Settler;
}

/** The outcome of acquiring a claim. */
export type ClaimOutcome =
  | { readonly kind: 'granted' }
  | { readonly kind: 'answered'; readonly answer: requests.Answer }
  | { readonly kind: 'refused'; readonly failure: decisions.Failure };

const TABLE = 'claims';
const MAXIMUM_RECORDED_BYTES = 32 * 1024;
const MAXIMUM_ACQUIRE_ATTEMPTS = 3;
const MAXIMUM_RECORD_ATTEMPTS = 5;
const RECORD_BACKOFF_MS = 500;
const MAXIMUM_SETTLE_WAIT_MS = 5000;

/** The claim on one request id, as one entry sees it. */
export class Claim {
  private etag: string | undefined;

  private place: settlements.AttemptPlace | undefined;

  private constructor(
    private readonly tables: storage.TableService,
    private readonly key: string,
    private readonly deadlineMs: number,
    private readonly context: ClaimContext,
  ) {}

  /**
   * @param key the service, the organisation and the caller's id of the request
   * @param deadlineMs the deadline of the request, on the monotonic clock
   */
  static create(
    tables: storage.TableService,
    key: string,
    deadlineMs: number,
    context: ClaimContext,
  ): Claim {
    return new Claim(tables, key, deadlineMs, context);
  }

  /** Acquires the right to dispatch the request as the attempt at `place`. */
  async acquire(place: settlements.AttemptPlace): Promise<ClaimOutcome> {
    for (let attempt = 0; attempt < MAXIMUM_ACQUIRE_ATTEMPTS; attempt += 1) {
      const outcome = await this.tryAcquire(place);
      if (outcome) return outcome;
    }
    return refuse('store-unavailable');
  }

  /** Records the answer, so that a repetition of the request gets the same one. */
  async record(answer: requests.Answer): Promise<void> {
    if (!this.place) return;
    const row: ClaimRow = {
      state: ClaimState.Done,
      place: this.place,
      ...(answer.body.length <= MAXIMUM_RECORDED_BYTES && { answer: createRecordedAnswer(answer) }),
    };
    for (let attempt = 0; attempt < MAXIMUM_RECORD_ATTEMPTS; attempt += 1) {
      const result = await this.write(row);
      if (result.isOk() || result.error.kind === storage.StoreFailureKind.Conflict) return;
      await runtime.pause(RECORD_BACKOFF_MS);
    }
    this.context.metrics.count('claims_unrecorded');
  }

  /** Releases the claim after the request was proved not to have run. */
  async release(): Promise<void> {
    if (this.place) await this.write({ state: ClaimState.Released, place: this.place });
  }

  private async tryAcquire(place: settlements.AttemptPlace): Promise<ClaimOutcome | undefined> {
    const written = await this.write({ state: ClaimState.Claimed, place });
    this.context.metrics.count('claim_writes');
    if (written.isOk()) {
      this.place = place;
      return { kind: 'granted' };
    }
    if (written.error.verdict === decisions.VerdictKind.NotRun) {
      const isUnavailable = written.error.kind === storage.StoreFailureKind.Unavailable;
      if (isUnavailable) return refuse('store-unavailable');
    }
    return this.resolveExisting(place);
  }

  /** Reads the row after a failed write; returns undefined when the claim may be written again. */
  private async resolveExisting(
    place: settlements.AttemptPlace,
  ): Promise<ClaimOutcome | undefined> {
    const read = await this.tables.read<ClaimRow>(TABLE, this.key);
    if (read.isErr()) return refuse('store-unavailable');
    const row = read.value;
    this.etag = row?.etag;
    if (!row) return undefined;
    if (row.value.state === ClaimState.Released) return undefined;
    if (row.value.place.attempt === place.attempt) {
      this.place = place;
      return { kind: 'granted' };
    }
    if (row.value.state === ClaimState.Done) return replayAnswer(row.value.answer);
    return this.settlePreviousAttempt(row.value.place);
  }

  private async settlePreviousAttempt(
    previous: settlements.AttemptPlace,
  ): Promise<ClaimOutcome | undefined> {
    const remainingMs = this.deadlineMs - this.context.clock.nowMs();
    const waitMs = Math.max(0, Math.min(MAXIMUM_SETTLE_WAIT_MS, remainingMs));
    const settlement = await this.context.settler.settle(previous, waitMs);
    this.context.metrics.count('claims_settled', { outcome: settlement.kind });
    if (settlement.kind === 'not-run') return undefined;
    if (settlement.kind === 'unknown') {
      return refuse(settlement.isFinished ? 'outcome-unknown' : 'request-in-progress');
    }
    this.place = previous;
    await this.record(settlement.answer);
    return { kind: 'answered', answer: settlement.answer };
  }

  private async write(value: ClaimRow): Promise<neverthrow.Result<void, storage.StoreFailure>> {
    const condition = this.etag ?? storage.Condition.Absent;
    const result = await this.tables.transact([{ table: TABLE, key: this.key, condition, value }]);
    if (result.isOk()) [this.etag] = result.value;
    return result.map(() => undefined);
  }
}

function createRecordedAnswer(answer: requests.Answer): RecordedAnswer {
  const { status, contentType } = answer;
  return { status, contentType, body: answer.body.toString('utf8') };
}

function replayAnswer(record: RecordedAnswer | undefined): ClaimOutcome {
  if (!record) {
    const verdict = decisions.VerdictKind.Ran;
    const detail = { verdict, detail: 'the answer was too large to be recorded' };
    return { kind: 'refused', failure: decisions.createFailure('outcome-unknown', detail) };
  }
  const { status, contentType, body } = record;
  const answer = { status, contentType, body: Buffer.from(body), isStreamed: false };
  return { kind: 'answered', answer };
}

function refuse(code: decisions.ErrorCode): ClaimOutcome {
  return { kind: 'refused', failure: decisions.createFailure(code) };
}
