/**
 * Benchmark of the answer path: the latency that the two hops add to a direct call of the engine,
 * and how many answers one entry streams per second of processor time. Direct and routed calls
 * alternate in one run.
 */
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';
import type * as deployments from './deployments';
import * as demo from './demo';
import * as fleets from './fleet';
import * as http from './http';
import * as metrics from './metrics';

/** Latencies in milliseconds. */
export interface Latency {
  readonly medianMs: number;
  readonly percentile99Ms: number;
}

/** Results of the speed experiment. */
export interface SpeedReport {
  readonly requestsPerSecond: number;
  readonly tokensPerAnswer: number;
  readonly eventsPerAnswer: number;
  readonly direct: Latency;
  readonly routed: Latency;
  readonly addedMedianMs: number;
  readonly addedPercentile99Ms: number;
  readonly saturatedRequestsPerSecond: number;
  readonly saturatedTokensPerSecond: number;
  readonly entryMicrosecondsPerRequest: number;
  readonly entryRequestsPerCoreSecond: number;
  readonly targetMicrosecondsPerRequest: number;
  readonly entryResidentMegabytes: number;
  readonly targetResidentMegabytes: number;
  readonly failures: number;
}

interface Usage {
  readonly processorMicroseconds: number;
  readonly residentBytes: number;
}

const REQUESTS_PER_SECOND = 188;
const TOKENS_PER_ANSWER = 206;
const TOKENS_PER_EVENT = 21;
const SATURATION_CONCURRENCY = 64;
const MILLISECONDS_PER_SECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const BYTES_PER_MEGABYTE = 1024 * 1024;
const DISTINCT_PROMPTS = 200;
const MAXIMUM_LATENCY_MICROSECONDS = 60_000_000;
const WARM_UP_DIVISOR = 5;

/** Creates a deployment whose engines answer without delay, so that only the hops take time. */
export function createSpeedPlan(base: deployments.DeploymentPlan): deployments.DeploymentPlan {
  const [engines] = base.fleet.services;
  const options = ['--model', 'saran', '--capacity', '256', '--token-ms', '0'];
  const timingOptions = ['--prefill-ms', '0', '--chunk-tokens', String(TOKENS_PER_EVENT)];
  return {
    ...base,
    fleet: {
      ...base.fleet,
      entries: 1,
      services: [{ ...engines, count: 3, options: [...options, ...timingOptions] }],
    },
    configurationFiles: {
      ...base.configurationFiles,
      '50-capacity.ini': '[engine saran-lm]\ncapacity = 256\n',
    },
  };
}

/** Warms up, then measures at a fixed rate and at saturation for `seconds` each. */
export async function measureSpeed(
  base: deployments.DeploymentPlan,
  seconds: number,
  onProgress: demo.ProgressListener,
): Promise<SpeedReport> {
  const plan = createSpeedPlan(base);
  const fleet = await fleets.Fleet.create(plan.fleet);
  try {
    const { revision } = demo.applyConfiguration(
      fleet,
      fleet.writeConfiguration('speed', plan.configurationFiles),
    );
    await fleet.waitUntilReady(revision);
    const loadGenerator = LoadGenerator.create(fleet, plan);
    onProgress('warming up');
    await loadGenerator.saturate(seconds / WARM_UP_DIVISOR);
    await loadGenerator.sendAtRate(seconds / WARM_UP_DIVISOR);
    loadGenerator.reset();
    onProgress(`${REQUESTS_PER_SECOND} requests/s each, direct and routed`);
    await loadGenerator.sendAtRate(seconds);
    onProgress('saturating one entry');
    return await loadGenerator.saturate(seconds);
  } finally {
    onProgress('stopping the fleet');
    await fleet.stop();
  }
}

class LoadGenerator {
  private direct = createHistogram();

  private routed = createHistogram();

  private failures = 0;

  private sentCount = 0;

  private readonly agent = new undici.Agent({ connections: 256 });

  private constructor(
    private readonly fleet: fleets.Fleet,
    private readonly plan: deployments.DeploymentPlan,
  ) {}

  static create(fleet: fleets.Fleet, plan: deployments.DeploymentPlan): LoadGenerator {
    return new LoadGenerator(fleet, plan);
  }

  reset(): void {
    this.direct = createHistogram();
    this.routed = createHistogram();
    this.failures = 0;
  }

  /** Sends direct and routed requests in pairs, each kind at `REQUESTS_PER_SECOND`. */
  async sendAtRate(seconds: number): Promise<void> {
    const pending: Promise<void>[] = [];
    const startMs = performance.now();
    const total = Math.round(seconds * REQUESTS_PER_SECOND);
    for (let index = 0; index < total; index += 1) {
      const dueMs = startMs + (index * MILLISECONDS_PER_SECOND) / REQUESTS_PER_SECOND;
      const waitMs = dueMs - performance.now();
      if (waitMs > 0) await http.sleep(waitMs);
      pending.push(this.sendDirect(), this.sendRouted());
    }
    await Promise.all(pending);
  }

  /** Keeps a fixed number of routed requests in flight and reports all results. */
  async saturate(seconds: number): Promise<SpeedReport> {
    const before = await this.readUsage();
    const startMs = performance.now();
    const endMs = startMs + seconds * MILLISECONDS_PER_SECOND;
    const fixedRateLatencies = {
      direct: summarizeLatency(this.direct),
      routed: summarizeLatency(this.routed),
    };
    let finishedCount = 0;
    const worker = async (): Promise<void> => {
      while (performance.now() < endMs) {
        await this.sendRouted();
        finishedCount += 1;
      }
    };
    await Promise.all(Array.from({ length: SATURATION_CONCURRENCY }, worker));
    const elapsedSeconds = (performance.now() - startMs) / MILLISECONDS_PER_SECOND;
    const after = await this.readUsage();
    const entryMicroseconds =
      (after.entry.processorMicroseconds - before.entry.processorMicroseconds) / finishedCount;
    const targetMicroseconds =
      (after.targets.processorMicroseconds - before.targets.processorMicroseconds) / finishedCount;
    const { direct, routed } = fixedRateLatencies;
    return {
      requestsPerSecond: REQUESTS_PER_SECOND,
      tokensPerAnswer: TOKENS_PER_ANSWER,
      eventsPerAnswer: Math.ceil(TOKENS_PER_ANSWER / TOKENS_PER_EVENT) + 2,
      direct,
      routed,
      addedMedianMs: routed.medianMs - direct.medianMs,
      addedPercentile99Ms: routed.percentile99Ms - direct.percentile99Ms,
      saturatedRequestsPerSecond: finishedCount / elapsedSeconds,
      saturatedTokensPerSecond: (finishedCount * TOKENS_PER_ANSWER) / elapsedSeconds,
      entryMicrosecondsPerRequest: entryMicroseconds,
      entryRequestsPerCoreSecond: MICROSECONDS_PER_SECOND / entryMicroseconds,
      targetMicrosecondsPerRequest: targetMicroseconds,
      entryResidentMegabytes: after.entry.residentBytes / BYTES_PER_MEGABYTE,
      targetResidentMegabytes: after.targets.residentBytes / BYTES_PER_MEGABYTE,
      failures: this.failures,
    };
  }

  private sendDirect(): Promise<void> {
    const engine = this.fleet.targets[this.sentCount % this.fleet.targets.length];
    return this.send(`${engine.standin.url}/v1/completions`, this.direct);
  }

  private sendRouted(): Promise<void> {
    const [entry] = this.fleet.entryUrls;
    return this.send(`${entry}/v1/engines/${this.plan.engine}/completions`, this.routed);
  }

  private async send(url: string, histogram: hdr.Histogram): Promise<void> {
    this.sentCount += 1;
    const prompt = `speed ${this.sentCount % DISTINCT_PROMPTS}`;
    const startMs = performance.now();
    const response = await undici.request(url, {
      method: 'POST',
      dispatcher: this.agent,
      headers: {
        'content-type': 'application/json',
        'x-azureworks-tenant': this.plan.organisation,
      },
      body: JSON.stringify({ prompt, max_tokens: TOKENS_PER_ANSWER, stream: true }),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200 || !text.endsWith('[DONE]\n\n')) this.failures += 1;
    const microseconds = Math.round((performance.now() - startMs) * MILLISECONDS_PER_SECOND);
    histogram.recordValue(Math.min(MAXIMUM_LATENCY_MICROSECONDS, microseconds));
  }

  private async readUsage(): Promise<{ entry: Usage; targets: Usage }> {
    const entry = await readUsage(this.fleet.entryUrls[0]);
    const targets = await Promise.all(
      this.fleet.targets.map((target) => readUsage(target.daemon.url)),
    );
    return {
      entry,
      targets: {
        processorMicroseconds: targets.reduce((sum, usage) => sum + usage.processorMicroseconds, 0),
        residentBytes: Math.max(...targets.map((usage) => usage.residentBytes)),
      },
    };
  }
}

async function readUsage(url: string): Promise<Usage> {
  const read = await metrics.readMetrics(url);
  return {
    processorMicroseconds: read('processor_microseconds'),
    residentBytes: read('resident_bytes'),
  };
}

function createHistogram(): hdr.Histogram {
  return hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_LATENCY_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });
}

function summarizeLatency(histogram: hdr.Histogram): Latency {
  return {
    medianMs: histogram.getValueAtPercentile(50) / MILLISECONDS_PER_SECOND,
    percentile99Ms: histogram.getValueAtPercentile(99) / MILLISECONDS_PER_SECOND,
  };
}
