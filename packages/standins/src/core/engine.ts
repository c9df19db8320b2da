/**
 * Stand-in for a model engine: completions over HTTP with answers streamed as server-sent events,
 * continuous batching with priorities, resume by `Last-Event-ID`, cancel by disconnect, a prefix
 * cache, load reports with a lag and weight swaps that may fail partway.
 */
import * as undici from 'undici';
import * as zod from 'zod';
import * as generation from '../utils/generation';
import * as prefixCaches from '../utils/prefix-cache';
import * as engineRuns from './engine-run';
import * as server from './standin-server';
import * as statusAnswers from './status-answer';

/** Options of the engine stand-in. */
export interface EngineOptions {
  readonly name: string;
  readonly model: string;
  /** Requests that run at the same time. */
  readonly capacity: number;
  /** Milliseconds for one token of one request. */
  readonly tokenMs: number;
  /** Tokens in one streamed event. */
  readonly chunkTokens: number;
  /** Milliseconds to process a prompt that is not in the prefix cache. */
  readonly prefillMs: number;
  /** Milliseconds that a swap takes after the weights were fetched. */
  readonly swapMs: number;
  readonly loadLagMs: number;
  readonly weightBytes: number;
  readonly platformUrl: string | undefined;
  /** Whether orders that carry an old fencing number are refused. */
  readonly isFencingChecked: boolean;
}

const orderSchema = zod.object({
  model: zod.string(),
  version: zod.number().int(),
  fence: zod.number().int(),
});

interface EngineFaults extends server.Faults {
  /** Multiplies the time for a token. */
  slowFactor: number;
  /** Swaps still to fail after the weights were fetched. */
  failSwaps: number;
  /** Answers still to be cut in the middle. */
  cutAnswers: number;
  /** Crashes, and comes back after this long with the weights that it was built with. */
  crashMs: number;
}

const BAD_REQUEST = 400;
const CONFLICT = 409;
const BAD_GATEWAY = 502;
const PAUSE_WHILE_SWAPPING_MS = 10;
const CACHED_PREFIXES = 64;

/** A model engine that makes up its answers. */
export class EngineStandin {
  readonly server: server.StandinServer;

  private readonly faults: EngineFaults;

  private readonly waiting: engineRuns.Run[] = [];

  private readonly history: engineRuns.Run[] = [];

  private readonly orders: { model: string; version: number; fence: number; outcome: string }[] =
    [];

  private readonly cache = prefixCaches.PrefixCache.create(CACHED_PREFIXES);

  private running = 0;

  private readonly versions = new Map<string, number | null>();

  private isSwapping = false;

  private highestFence = 0;

  private lastReport: unknown;

  private tokensMade = 0;

  private constructor(private readonly options: EngineOptions) {
    this.versions.set(options.model, 0);
    this.server = server.StandinServer.create(() => this.readLog());
    this.faults = Object.assign(this.server.faults, {
      slowFactor: 1,
      failSwaps: 0,
      cutAnswers: 0,
      crashMs: 0,
    });
    this.server.onFaultsSet = () => this.crash();
    this.server.add('post', '/v1/completions', (call) => this.complete(call));
    this.server.add('post', '/v1/weights', (call) => this.load(call));
    this.server.add('get', '/v1/load', () => this.report());
  }

  static create(options: EngineOptions): EngineStandin {
    return new EngineStandin(options);
  }

  private crash(): void {
    const { crashMs } = this.faults;
    if (crashMs <= 0) return;
    this.faults.crashMs = 0;
    this.history
      .filter((run) => run.outcome === 'queued' || run.outcome === 'running')
      .forEach((run) => {
        run.outcome = 'crashed';
        run.response.destroy();
      });
    this.versions.clear();
    this.versions.set(this.options.model, 0);
    this.highestFence = 0;
    this.server.refuse(crashMs);
  }

  private readLog(): unknown {
    const runs = this.history.map((run) => ({
      requestId: run.requestId,
      attempt: run.attempt,
      startToken: run.startToken,
      tokens: run.position,
      versions: [...run.versions],
      outcome: run.outcome,
      arrivedMs: run.arrivedMs,
    }));
    const { hits, misses } = this.cache;
    const cache = { hits, misses };
    const { tokensMade, orders } = this;
    const versions = Object.fromEntries(this.versions);
    return { name: this.options.name, versions, tokensMade, runs, orders, cache };
  }

  private report(): unknown {
    const report = {
      running: this.running,
      queued: this.waiting.length,
      weight_versions: Object.fromEntries(this.versions),
    };
    const shown = this.lastReport ?? report;
    setTimeout(() => {
      this.lastReport = report;
    }, this.options.loadLagMs);
    return shown;
  }

  private complete(call: server.Call): unknown {
    const parsed = engineRuns.completionSchema.safeParse(call.body);
    if (!parsed.success)
      return statusAnswers.StatusAnswer.create(BAD_REQUEST, { error: 'bad request' });
    const run = engineRuns.createRun(call, parsed.data);
    this.history.push(run);
    this.waiting.push(run);
    this.waiting.sort((first, second) => first.completion.priority - second.completion.priority);
    call.response.on('close', () => {
      if (run.outcome === 'queued' || run.outcome === 'running') run.outcome = 'cancelled';
    });
    this.startWaiting();
    return undefined;
  }

  private startWaiting(): void {
    while (this.running < this.options.capacity && this.waiting.length > 0) {
      const run = this.waiting.shift() as engineRuns.Run;
      if (run.outcome === 'queued') this.start(run);
    }
  }

  private start(run: engineRuns.Run): void {
    run.outcome = 'running';
    this.running += 1;
    this.generate(run)
      .catch(() => {
        run.outcome = 'crashed';
        run.response.destroy();
      })
      .finally(() => {
        this.running -= 1;
        this.startWaiting();
      });
  }

  private async generate(run: engineRuns.Run): Promise<void> {
    const { completion, response } = run;
    if (completion.stream) response.writeHead(200, { 'content-type': 'text/event-stream' });
    const isCached = this.cache.touch(completion.prefix ?? completion.prompt);
    if (!isCached) await pause(this.options.prefillMs * this.faults.slowFactor);
    while (run.position < run.length && run.outcome === 'running') {
      await this.generateChunk(run);
    }
    if (run.outcome !== 'running') return;
    run.outcome = 'finished';
    engineRuns.finish(run);
  }

  private async generateChunk(run: engineRuns.Run): Promise<void> {
    const tokens = Math.min(this.options.chunkTokens, run.length - run.position);
    await pause(this.options.tokenMs * tokens * this.faults.slowFactor);
    while (this.isSwapping) await pause(PAUSE_WHILE_SWAPPING_MS);
    if (run.outcome !== 'running') return;
    const isHalfway = run.position - run.startToken >= (run.length - run.startToken) / 2;
    if (isHalfway && this.faults.cutAnswers > 0) {
      this.faults.cutAnswers -= 1;
      throw new Error('answer cut');
    }
    const { prompt, seed } = run.completion;
    const text = generation.makeText(prompt, seed, run.position, run.position + tokens);
    run.position += tokens;
    this.tokensMade += tokens;
    const version = this.versions.get(run.completion.model ?? this.options.model) ?? null;
    run.versions.add(version);
    if (!run.completion.stream) {
      run.text += text;
      return;
    }
    const event = JSON.stringify({ text, weight_version: version });
    run.response.write(`id: ${run.position}\ndata: ${event}\n\n`);
  }

  private async load(call: server.Call): Promise<unknown> {
    const parsed = orderSchema.safeParse(call.body);
    if (!parsed.success)
      return statusAnswers.StatusAnswer.create(BAD_REQUEST, { error: 'bad order' });
    const { model, version, fence } = parsed.data;
    if (this.options.isFencingChecked && fence < this.highestFence) {
      this.orders.push({ model, version, fence, outcome: 'refused' });
      return statusAnswers.StatusAnswer.create(CONFLICT, { highest_fence: this.highestFence });
    }
    this.highestFence = Math.max(this.highestFence, fence);
    const outcome = await this.swap(model, version);
    this.orders.push({ model, version, fence, outcome });
    if (outcome === 'failed')
      return statusAnswers.StatusAnswer.create(BAD_GATEWAY, { error: 'swap failed' });
    return { model, weight_version: version };
  }

  private async swap(model: string, version: number): Promise<string> {
    const { platformUrl, weightBytes } = this.options;
    if (this.versions.get(model) === version) return 'loaded';
    if (platformUrl) {
      const path = `/weights/${model}/${version}?bytes=${weightBytes}`;
      const response = await undici.request(`${platformUrl}${path}`);
      await response.body.dump();
      if (response.statusCode !== 200) return 'failed';
    }
    this.isSwapping = true;
    await pause(this.options.swapMs);
    this.isSwapping = false;
    if (this.faults.failSwaps > 0) {
      this.faults.failSwaps -= 1;
      this.versions.set(model, null);
      return 'failed';
    }
    this.versions.set(model, version);
    return 'loaded';
  }
}

function pause(durationMs: number): Promise<void> {
  if (durationMs <= 0) return Promise.resolve();
  return server.sleep(durationMs);
}
