/**
 * Generates one sample: calls the engine until the response is complete and labelled with its weight
 * versions, then has it scored if the trainer has a scoring service.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as neverthrow from 'neverthrow';
import * as runtime from '@azureworks/runtime';
import * as calls from '../entry/call';
import type * as dispatchers from '../entry/dispatcher';
import type * as requests from '../entry/request';

/** A sample to generate. */
export interface SampleOrder {
  readonly id: string;
  /** The position of the sample in its group. */
  readonly index: number;
  readonly order: links.GroupOrder;
  readonly trainer: configuration.Trainer;
  readonly model: string;
  readonly priority: number;
  readonly stalenessBound: number;
  readonly deadlineMs: number;
}

const RETRY_BACKOFF_MS = 200;
const SCORE_TIMEOUT_MS = 10_000;

/** One running sample. */
export class SampleRun {
  private call: calls.Call | undefined;

  private startVersion: number | undefined;

  private isAborted = false;

  private isRestarting = false;

  private wastedByteCount = 0;

  private constructor(
    readonly sample: SampleOrder,
    private readonly dispatcher: dispatchers.Dispatcher,
  ) {}

  static create(sample: SampleOrder, dispatcher: dispatchers.Dispatcher): SampleRun {
    return new SampleRun(sample, dispatcher);
  }

  /** Bytes of discarded responses. */
  get wastedBytes(): number {
    return this.wastedByteCount;
  }

  /** The progress of the current attempt; undefined until it has produced output. */
  getProgress(): decisions.SampleProgress | undefined {
    const progress = this.call?.getProgress();
    return progress && { id: this.sample.id, ...progress };
  }

  /** Moves the sample to another target, which continues it. */
  move(): void {
    this.call?.move();
  }

  abort(): void {
    this.isAborted = true;
    this.call?.abort();
  }

  /** Restarts with newer weights when the response in progress would be too stale. */
  restartIfStale(trainerVersion: number): void {
    const { stalenessBound, trainer } = this.sample;
    if (!trainer.restart_early) return;
    this.startVersion ??= this.call?.joiner.readFirstVersion();
    if (this.startVersion === undefined) return;
    if (!decisions.isRunTooStale(this.startVersion, trainerVersion, stalenessBound)) return;
    this.isRestarting = true;
    this.call?.abort();
  }

  /** Generates and scores the sample; retries until its deadline. */
  async run(): Promise<neverthrow.Result<links.Sample, decisions.Failure>> {
    const { clock } = this.dispatcher.context;
    let failure = decisions.createFailure('deadline-exceeded');
    while (!this.isAborted && clock.nowMs() < this.sample.deadlineMs) {
      const result = await this.runOnce();
      if (result.isOk()) return this.score(result.value);
      failure = result.error;
      if (!this.isRestarting) await runtime.pause(RETRY_BACKOFF_MS);
      this.isRestarting = false;
    }
    return neverthrow.err(failure);
  }

  private async runOnce(): Promise<neverthrow.Result<links.Sample, decisions.Failure>> {
    const { context } = this.dispatcher;
    this.startVersion = undefined;
    const request = this.createRequest();
    const call = calls.Call.create(context, request);
    this.call = call;
    const result = await this.dispatcher.serveCall(request, call);
    this.call = undefined;
    if (result.isErr()) {
      this.wastedByteCount += call.joiner.size;
      return neverthrow.err(result.error);
    }
    const { weightVersions, totalTokens } = call.joiner.summarize();
    const knownVersions = weightVersions.filter((version) => version !== null);
    if (knownVersions.length === 0 || knownVersions.length !== weightVersions.length) {
      // A response with an unknown weight version is not a valid sample: it is generated again.
      context.metrics.count('samples_unlabelled');
      this.isRestarting = true;
      this.wastedByteCount += call.joiner.size;
      return neverthrow.err(decisions.createFailure('target-failed', { detail: 'no version' }));
    }
    return neverthrow.ok({
      id: this.sample.id,
      text: call.joiner.readText(),
      tokens: totalTokens,
      weightVersions: knownVersions,
    });
  }

  private createRequest(): requests.Request {
    const { order, trainer, model, index, id, priority, deadlineMs } = this.sample;
    const completion = {
      model,
      prompt: order.prompt,
      prefix: order.prompt,
      seed: index,
      max_tokens: order.maximumTokens,
      ...(order.meanTokens && { mean_tokens: order.meanTokens }),
      priority,
      stream: true,
    };
    return {
      ...this.createBaseRequest(id, deadlineMs),
      service: trainer.engine,
      path: '/v1/completions',
      body: Buffer.from(JSON.stringify(completion)),
      isStreamed: true,
      affinityHash: decisions.hashText(order.prompt),
      model,
    };
  }

  private createBaseRequest(requestId: string, deadlineMs: number) {
    const { order, trainer, priority } = this.sample;
    return {
      method: 'POST',
      contentType: 'application/json',
      requestId,
      isIdempotent: true,
      organisation: order.trainer,
      organisationShare: trainer.share,
      className: 'trainer',
      priority,
      deadlineMs,
    };
  }

  private async score(
    sample: links.Sample,
  ): Promise<neverthrow.Result<links.Sample, decisions.Failure>> {
    const { scorer } = this.sample.trainer;
    const { clock } = this.dispatcher.context;
    if (scorer === undefined) return neverthrow.ok(sample);
    while (!this.isAborted && clock.nowMs() < this.sample.deadlineMs) {
      const result = await this.dispatcher.serve(this.createScoreRequest(scorer, sample));
      const scored = result.andThen((answer) => readScore(answer.body));
      if (scored.isOk()) return neverthrow.ok({ ...sample, score: scored.value });
      await runtime.pause(RETRY_BACKOFF_MS);
    }
    return neverthrow.err(decisions.createFailure('deadline-exceeded'));
  }

  private createScoreRequest(scorer: string, sample: links.Sample): requests.Request {
    const { clock } = this.dispatcher.context;
    return {
      ...this.createBaseRequest(`${sample.id}-score`, clock.nowMs() + SCORE_TIMEOUT_MS),
      service: scorer,
      path: '/score',
      body: Buffer.from(JSON.stringify({ id: sample.id, text: sample.text })),
      isStreamed: false,
      affinityHash: undefined,
      model: undefined,
    };
  }
}

function readScore(body: Buffer): neverthrow.Result<number, decisions.Failure> {
  try {
    const { score } = JSON.parse(body.toString('utf8')) as { score?: unknown };
    if (typeof score === 'number') return neverthrow.ok(score);
  } catch {
    // Reported below, like a response without a score.
  }
  return neverthrow.err(decisions.createFailure('target-failed', { detail: 'no score' }));
}
