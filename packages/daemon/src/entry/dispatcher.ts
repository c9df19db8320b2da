/**
 * Runs a validated request through admission, claim and call. Requests of callers, samples and
 * scores all take this path.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import type * as storage from '@azureworks/storage';
import type * as admissions from './admission';
import * as calls from './call';
import * as claims from './claims';
import type * as requests from './request';
import type * as settlements from './settlement';

/** Serves the requests of one entry. */
export class Dispatcher {
  private constructor(
    readonly context: calls.CallContext,
    private readonly admission: admissions.Admission,
    private readonly tables: storage.TableService,
  ) {}

  static create(
    context: calls.CallContext,
    admission: admissions.Admission,
    tables: storage.TableService,
  ): Dispatcher {
    return new Dispatcher(context, admission, tables);
  }

  /** Serves a request; the sink receives a streamed answer as it arrives. */
  serve(request: requests.Request, sink?: requests.Sink): Promise<calls.CallResult> {
    return this.measure(request, () => this.serveAdmitted(request, sink));
  }

  /** Admits and runs a call that the caller created, so that it can move or abort it. */
  serveCall(request: requests.Request, call: calls.Call): Promise<calls.CallResult> {
    return this.measure(request, async () => {
      const admitted = await this.admission.admit(request);
      return admitted.isErr() ? neverthrow.err(admitted.error) : this.run(request, call);
    });
  }

  private async measure(
    request: requests.Request,
    serve: () => Promise<calls.CallResult>,
  ): Promise<calls.CallResult> {
    const startMs = this.context.clock.nowMs();
    const result = await serve();
    const outcome = result.isOk() ? 'ran' : result.error.code;
    const labels = { class: request.className, service: request.service };
    this.context.metrics.count('requests', { ...labels, outcome });
    if (result.isOk()) {
      const durationMs = this.context.clock.nowMs() - startMs;
      this.context.metrics.record(
        'request_ms',
        { ...labels, tenant: request.organisation },
        durationMs,
      );
    }
    return result;
  }

  private async serveAdmitted(
    request: requests.Request,
    sink: requests.Sink | undefined,
  ): Promise<calls.CallResult> {
    const admitted = await this.admission.admit(request);
    if (admitted.isErr()) return neverthrow.err(admitted.error);
    if (!request.isIdempotent && request.requestId) return this.serveClaimed(request);
    const call = calls.Call.create(this.context, request, sink);
    sink?.onClose(() => call.abort());
    return this.run(request, call);
  }

  private async run(request: requests.Request, call: calls.Call): Promise<calls.CallResult> {
    const startMs = this.context.clock.nowMs();
    const result = await call.run();
    const serviceTimeMs = this.context.clock.nowMs() - startMs;
    if (result.isOk()) {
      this.admission.recordServiceTime(request.service, serviceTimeMs);
      this.context.stop.recordDuration(request.service, serviceTimeMs);
    }
    return result;
  }

  /** A claimed request is not aborted when its caller disconnects: a repetition gets the answer. */
  private async serveClaimed(request: requests.Request): Promise<calls.CallResult> {
    const key = `${request.service}:${request.organisation}:${request.requestId}`;
    const claim = claims.Claim.create(this.tables, key, request.deadlineMs, this.context);
    let recordedAnswer: requests.Answer | undefined;
    const permit = async (
      place: settlements.AttemptPlace,
    ): Promise<neverthrow.Result<void, decisions.Failure>> => {
      const outcome = await claim.acquire(place);
      if (outcome.kind === 'granted') return neverthrow.ok(undefined);
      if (outcome.kind === 'refused') return neverthrow.err(outcome.failure);
      recordedAnswer = outcome.answer;
      return neverthrow.err(decisions.createFailure('request-in-progress'));
    };
    const startMs = this.context.clock.nowMs();
    const result = await calls.Call.create(this.context, request, undefined, permit).run();
    const { clock, stop } = this.context;
    if (result.isOk()) stop.recordDuration(request.service, clock.nowMs() - startMs);
    if (recordedAnswer) return neverthrow.ok(recordedAnswer);
    await closeClaim(claim, result);
    return result;
  }
}

async function closeClaim(claim: claims.Claim, result: calls.CallResult): Promise<void> {
  if (result.isErr()) {
    if (result.error.verdict === decisions.VerdictKind.NotRun) await claim.release();
    return;
  }
  // The answer is returned before it is recorded: until then it can be read from the target's
  // ledger.
  claim.record(result.value).catch(() => {});
}
