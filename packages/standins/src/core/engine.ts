/**
 * Stand-in for a model engine: completions over HTTP with answers streamed as server-sent events,
 * continuous batching with priorities, resumption by `Last-Event-ID`, cancellation by disconnect, a
 * prefix cache, delayed load reports and weight swaps that may fail partway.
 */
import * as undici from 'undici';
import * as zod from 'zod';
import * as generation from '../utils/generation';
import * as prefixCaches from '../utils/prefix-cache';
import * as engineRuns from './engine-run';
import * as server from './standin-server';
import * as statusResponses from './status-response';

/** Options of the engine stand-in. */
export interface EngineOptions {
  readonly name: string;
  readonly model: string;
  /** Maximum number of concurrent requests. */
  readonly capacity: number;
  /** Time to generate one token of one request, in milliseconds. */
  readonly tokenMs: number;
  /** Number of tokens in one streamed event. */
  readonly chunkTokens: number;
  /** Time to process a prompt that is not in the prefix cache, in milliseconds. */
  readonly prefillMs: number;
  /** Duration of a weight swap after the weights were fetched, in milliseconds. */
  readonly swapMs: number;
  /** Delay until a measured load appears in load reports, in milliseconds. */
  readonly loadLagMs: number;
  readonly weightBytes: number;
  /** Where weights are fetched; without it, a swap fetches nothing. */
  readonly platformUrl: string | undefined;
  /** Whether weight orders with a stale fencing token are rejected. */
  readonly isFencingChecked: boolean;
}

const weightOrderSchema = zod.object({
  model: zod.string(),
  version: zod.number().int(),
  fence: zod.number().int(),
});

interface EngineFaults extends server.Faults {
  /** Multiplies the time for each token and each prefill. */
  slowFactor: number;
  /** Number of swaps that will fail after the weights were fetched. */
  failSwaps: number;
  /** Number of answers that will be cut off halfway. */
  cutAnswers: number;
  /** Crashes once and restarts after this time with its initial weights, in milliseconds. */
  crashMs: number;
}

const BAD_REQUEST = 400;
const CONFLICT = 409;
const BAD_GATEWAY = 502;
const SWAP_POLL_INTERVAL_MS = 10;
const MAXIMUM_CACHED_PREFIXES = 64;

/** A model engine that generates deterministic text. */
export class EngineStandin {
  readonly server: server.StandinServer;

  private readonly faults: EngineFaults;

  private readonly queue: engineRuns.CompletionRun[] = [];

  private readonly allRuns: engineRuns.CompletionRun[] = [];

  private readonly orders: { model: string; version: number; fence: number; outcome: string }[] =
    [];

  private readonly prefixCache = prefixCaches.PrefixCache.create(MAXIMUM_CACHED_PREFIXES);

  private running = 0;

  private readonly weightVersions = new Map<string, number | null>();

  private isSwapping = false;

  private highestFence = 0;

  private laggedReport: unknown;

  private tokensMade = 0;

  private constructor(private readonly options: EngineOptions) {
    this.weightVersions.set(options.model, 0);
    this.server = server.StandinServer.create(() => this.createLog());
    this.faults = Object.assign(this.server.faults, {
      slowFactor: 1,
      failSwaps: 0,
      cutAnswers: 0,
      crashMs: 0,
    });
    this.server.onFaultsChanged = () => this.applyCrashFault();
    this.server.addRoute('post', '/v1/completions', (call) => this.handleCompletion(call));
    this.server.addRoute('post', '/v1/weights', (call) => this.loadWeights(call));
    this.server.addRoute('get', '/v1/load', () => this.reportLoad());
  }

  static create(options: EngineOptions): EngineStandin {
    return new EngineStandin(options);
  }

  private applyCrashFault(): void {
    const { crashMs } = this.faults;
    if (crashMs <= 0) return;
    this.faults.crashMs = 0;
    this.allRuns
      .filter((run) => run.outcome === 'queued' || run.outcome === 'running')
      .forEach((run) => {
        run.outcome = 'crashed';
        run.response.destroy();
      });
    this.weightVersions.clear();
    this.weightVersions.set(this.options.model, 0);
    this.highestFence = 0;
    this.server.refuseConnections(crashMs);
  }

  private createLog(): unknown {
    const runs = this.allRuns.map((run) => ({
      requestId: run.requestId,
      attempt: run.attempt,
      startToken: run.startToken,
      tokens: run.position,
      versions: [...run.weightVersions],
      outcome: run.outcome,
      arrivedMs: run.arrivedMs,
    }));
    const { hits, misses } = this.prefixCache;
    const cache = { hits, misses };
    const { tokensMade, orders } = this;
    const versions = Object.fromEntries(this.weightVersions);
    return { name: this.options.name, versions, tokensMade, runs, orders, cache };
  }

  private reportLoad(): unknown {
    const report = {
      running: this.running,
      queued: this.queue.length,
      weight_versions: Object.fromEntries(this.weightVersions),
    };
    const shownReport = this.laggedReport ?? report;
    setTimeout(() => {
      this.laggedReport = report;
    }, this.options.loadLagMs);
    return shownReport;
  }

  private handleCompletion(call: server.Call): unknown {
    const parsed = engineRuns.completionSchema.safeParse(call.body);
    if (!parsed.success)
      return statusResponses.StatusResponse.create(BAD_REQUEST, { error: 'bad request' });
    const run = engineRuns.createRun(call, parsed.data);
    this.allRuns.push(run);
    this.queue.push(run);
    this.queue.sort((first, second) => first.request.priority - second.request.priority);
    call.response.on('close', () => {
      if (run.outcome === 'queued' || run.outcome === 'running') run.outcome = 'cancelled';
    });
    this.startQueuedRuns();
    return undefined;
  }

  private startQueuedRuns(): void {
    while (this.running < this.options.capacity && this.queue.length > 0) {
      const run = this.queue.shift() as engineRuns.CompletionRun;
      if (run.outcome === 'queued') this.startRun(run);
    }
  }

  private startRun(run: engineRuns.CompletionRun): void {
    run.outcome = 'running';
    this.running += 1;
    this.generate(run)
      .catch(() => {
        run.outcome = 'crashed';
        run.response.destroy();
      })
      .finally(() => {
        this.running -= 1;
        this.startQueuedRuns();
      });
  }

  private async generate(run: engineRuns.CompletionRun): Promise<void> {
    const { request: completion, response } = run;
    if (completion.stream) response.writeHead(200, { 'content-type': 'text/event-stream' });
    const isCached = this.prefixCache.touch(completion.prefix ?? completion.prompt);
    if (!isCached) await sleepIfPositive(this.options.prefillMs * this.faults.slowFactor);
    while (run.position < run.totalTokens && run.outcome === 'running') {
      await this.generateChunk(run);
    }
    if (run.outcome !== 'running') return;
    run.outcome = 'finished';
    engineRuns.finishResponse(run);
  }

  private async generateChunk(run: engineRuns.CompletionRun): Promise<void> {
    const tokens = Math.min(this.options.chunkTokens, run.totalTokens - run.position);
    await sleepIfPositive(this.options.tokenMs * tokens * this.faults.slowFactor);
    while (this.isSwapping) await sleepIfPositive(SWAP_POLL_INTERVAL_MS);
    if (run.outcome !== 'running') return;
    const isHalfway = run.position - run.startToken >= (run.totalTokens - run.startToken) / 2;
    if (isHalfway && this.faults.cutAnswers > 0) {
      this.faults.cutAnswers -= 1;
      throw new Error('answer cut off by an injected fault');
    }
    const { prompt, seed } = run.request;
    const text = generation.generateText(prompt, seed, run.position, run.position + tokens);
    run.position += tokens;
    this.tokensMade += tokens;
    const version = this.weightVersions.get(run.request.model ?? this.options.model) ?? null;
    run.weightVersions.add(version);
    if (!run.request.stream) {
      run.text += text;
      return;
    }
    const event = JSON.stringify({ text, weight_version: version });
    run.response.write(`id: ${run.position}\ndata: ${event}\n\n`);
  }

  private async loadWeights(call: server.Call): Promise<unknown> {
    const parsed = weightOrderSchema.safeParse(call.body);
    if (!parsed.success)
      return statusResponses.StatusResponse.create(BAD_REQUEST, { error: 'bad order' });
    const { model, version, fence } = parsed.data;
    if (this.options.isFencingChecked && fence < this.highestFence) {
      this.orders.push({ model, version, fence, outcome: 'refused' });
      return statusResponses.StatusResponse.create(CONFLICT, { highest_fence: this.highestFence });
    }
    this.highestFence = Math.max(this.highestFence, fence);
    const outcome = await this.swapWeights(model, version);
    this.orders.push({ model, version, fence, outcome });
    if (outcome === 'failed')
      return statusResponses.StatusResponse.create(BAD_GATEWAY, { error: 'swap failed' });
    return { model, weight_version: version };
  }

  private async swapWeights(model: string, version: number): Promise<string> {
    const { platformUrl, weightBytes } = this.options;
    if (this.weightVersions.get(model) === version) return 'loaded';
    if (platformUrl) {
      const path = `/weights/${model}/${version}?bytes=${weightBytes}`;
      const response = await undici.request(`${platformUrl}${path}`);
      await response.body.dump();
      if (response.statusCode !== 200) return 'failed';
    }
    this.isSwapping = true;
    await sleepIfPositive(this.options.swapMs);
    this.isSwapping = false;
    if (this.faults.failSwaps > 0) {
      this.faults.failSwaps -= 1;
      this.weightVersions.set(model, null);
      return 'failed';
    }
    this.weightVersions.set(model, version);
    return 'loaded';
  }
}

function sleepIfPositive(durationMs: number): Promise<void> {
  if (durationMs <= 0) return Promise.resolve();
  return server.sleep(durationMs);
}
