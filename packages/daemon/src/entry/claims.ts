/**
 * Claims make a non-idempotent request that its caller named by an id run at most once, through
 * whatever entries it is sent and however often.
 *
 * A claim is a row that names the one attempt that may be dispatched and the target daemon that
 * may hand it over. Whoever wants to make another attempt must first have the former one barred by
 * that daemon, then replace the row on the condition that it did not change. Without the table
 * service a claim cannot be made, and the request is refused as not run.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as storage from '@azureworks/storage';
import * as runtime from '@azureworks/runtime';
import type * as requests from './request';
import type * as settlements from './settlement';

/** Where a claim stands. */
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

/** What every claim of an entry shares. */
export interface ClaimContext {
  readonly clock: decisions.Clock;
  readonly metrics: runtime.Metrics;
  readonly settler: settlements.Settler;
}

/** The outcome of asking for a claim. */
export type ClaimOutcome =
  | { readonly kind: 'granted' }
  | { readonly kind: 'answered'; readonly answer: requests.Answer }
  | { readonly kind: 'refused'; readonly failure: decisions.Failure };

const TABLE = 'claims';
const LARGEST_RECORDED_BYTES = 32 * 1024;
const STORE_ATTEMPTS = 3;
const RECORD_ATTEMPTS = 5;
const RECORD_PAUSE_MS = 500;
const SETTLE_WAIT_MS = 5000;

/** The claim of one request id, as one entry holds it. */
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
   * @param key the service, the tenant and the caller's id of the request
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

  /** Asks for the right to hand the request over as the attempt at `place`. */
  async acquire(place: settlements.AttemptPlace): Promise<ClaimOutcome> {
    for (let attempt = 0; attempt < STORE_ATTEMPTS; attempt += 1) {
      const outcome = await this.tryAcquire(place);
      if (outcome) return outcome;
    }
    return refuse('store-unavailable');
  }

  /** Records the answer, so that the same request sent again gets it. */
  async record(answer: requests.Answer): Promise<void> {
    if (!this.place) return;
    const row: ClaimRow = {
      state: ClaimState.Done,
      place: this.place,
      ...(answer.body.length <= LARGEST_RECORDED_BYTES && { answer: toRecord(answer) }),
    };
    for (let attempt = 0; attempt < RECORD_ATTEMPTS; attempt += 1) {
      const result = await this.write(row);
      if (result.isOk() || result.error.kind === storage.StoreFailureKind.Conflict) return;
      await runtime.pause(RECORD_PAUSE_MS);
    }
    this.context.metrics.count('claims_unrecorded');
  }

  /** Gives the claim back after the request was proved not to have run. */
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
    return this.inspect(place);
  }

  /** Reads the row after a conflict or a lost answer and acts on what it says. */
  private async inspect(place: settlements.AttemptPlace): Promise<ClaimOutcome | undefined> {
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
    if (row.value.state === ClaimState.Done) return replay(row.value.answer);
    return this.settleFormer(row.value.place);
  }

  private async settleFormer(former: settlements.AttemptPlace): Promise<ClaimOutcome | undefined> {
    const remainingMs = this.deadlineMs - this.context.clock.nowMs();
    const waitMs = Math.max(0, Math.min(SETTLE_WAIT_MS, remainingMs));
    const settlement = await this.context.settler.settle(former, waitMs);
    this.context.metrics.count('claims_settled', { outcome: settlement.kind });
    if (settlement.kind === 'not-run') return undefined;
    if (settlement.kind === 'unknown') {
      return refuse(settlement.isOver ? 'outcome-unknown' : 'request-in-progress');
    }
    this.place = former;
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

function toRecord(answer: requests.Answer): RecordedAnswer {
  const { status, contentType } = answer;
  return { status, contentType, body: answer.body.toString('utf8') };
}

function replay(record: RecordedAnswer | undefined): ClaimOutcome {
  if (!record) {
    const verdict = decisions.VerdictKind.Ran;
    const detail = { verdict, detail: 'its answer was too large to keep' };
    return { kind: 'refused', failure: decisions.createFailure('outcome-unknown', detail) };
  }
  const { status, contentType, body } = record;
  const answer = { status, contentType, body: Buffer.from(body), isStreamed: false };
  return { kind: 'answered', answer };
}

function refuse(code: decisions.ErrorCode): ClaimOutcome {
  return { kind: 'refused', failure: decisions.createFailure(code) };
}
