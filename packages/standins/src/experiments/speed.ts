/**
 * Speed of the answer path: what the two hops add to a direct call of the engine, and how many
 * answers one entry streams for its processor time. Direct and routed calls alternate in one run.
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

/** What the speed experiment measured. */
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

const RATE = 188;
const TOKENS = 206;
const CHUNK_TOKENS = 21;
const SATURATION_CONCURRENCY = 64;
const MILLISECONDS_PER_SECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const BYTES_PER_MEGABYTE = 1024 * 1024;
const PROMPTS = 200;
const HIGHEST_MICROSECONDS = 60_000_000;
const WARM_UP_SHARE = 5;

/** A deployment whose engines answer at once, so that only the hops cost time. */
export function createSpeedPlan(base: deployments.DeploymentPlan): deployments.DeploymentPlan {
  const [engines] = base.fleet.services;
  const options = ['--model', 'saran', '--capacity', '256', '--token-ms', '0'];
  const speed = ['--prefill-ms', '0', '--chunk-tokens', String(CHUNK_TOKENS)];
  return {
    ...base,
    fleet: {
      ...base.fleet,
      entries: 1,
      services: [{ ...engines, count: 3, options: [...options, ...speed] }],
    },
    files: {
      ...base.files,
      '50-capacity.ini': '[engine saran-lm]\ncapacity = 256\n',
    },
  };
}

/** Measures for about three times `seconds`. */
export async function measureSpeed(
  base: deployments.DeploymentPlan,
  seconds: number,
  progress: demo.Progress,
): Promise<SpeedReport> {
  const plan = createSpeedPlan(base);
  const fleet = await fleets.Fleet.create(plan.fleet);
  try {
    const { revision } = demo.applyFolder(fleet, fleet.writeFolder('speed', plan.files));
    await fleet.waitUntilReady(revision);
    const probe = SpeedProbe.create(fleet, plan);
    progress('warming up');
    await probe.saturate(seconds / WARM_UP_SHARE);
    await probe.runRate(seconds / WARM_UP_SHARE);
    probe.reset();
    progress(`${RATE} requests/s, direct and routed`);
    await probe.runRate(seconds);
    progress('as many as one entry can stream');
    return await probe.saturate(seconds);
  } finally {
    progress('stopping');
    await fleet.stop();
  }
}

class SpeedProbe {
  private direct = createHistogram();

  private routed = createHistogram();

  private failures = 0;

  private sent = 0;

  private readonly agent = new undici.Agent({ connections: 256 });

  private constructor(
    private readonly fleet: fleets.Fleet,
    private readonly plan: deployments.DeploymentPlan,
  ) {}

  static create(fleet: fleets.Fleet, plan: deployments.DeploymentPlan): SpeedProbe {
    return new SpeedProbe(fleet, plan);
  }

  reset(): void {
    this.direct = createHistogram();
    this.routed = createHistogram();
    this.failures = 0;
  }

  /** Sends direct and routed requests in turn, each at the stated rate. */
  async runRate(seconds: number): Promise<void> {
    const pending: Promise<void>[] = [];
    const startMs = performance.now();
    const total = Math.round(seconds * RATE);
    for (let index = 0; index < total; index += 1) {
      const dueMs = startMs + (index * MILLISECONDS_PER_SECOND) / RATE;
      const waitMs = dueMs - performance.now();
      if (waitMs > 0) await http.sleep(waitMs);
      pending.push(this.sendDirect(), this.sendRouted());
    }
    await Promise.all(pending);
  }

  /** Keeps a fixed number of routed requests under way. */
  async saturate(seconds: number): Promise<SpeedReport> {
    const before = await this.readUsage();
    const startMs = performance.now();
    const endMs = startMs + seconds * MILLISECONDS_PER_SECOND;
    const rateLatencies = { direct: summarize(this.direct), routed: summarize(this.routed) };
    let finished = 0;
    const work = async (): Promise<void> => {
      while (performance.now() < endMs) {
        await this.sendRouted();
        finished += 1;
      }
    };
    await Promise.all(Array.from({ length: SATURATION_CONCURRENCY }, work));
    const elapsedSeconds = (performance.now() - startMs) / MILLISECONDS_PER_SECOND;
    const after = await this.readUsage();
    const entryMicroseconds =
      (after.entry.processorMicroseconds - before.entry.processorMicroseconds) / finished;
    const targetMicroseconds =
      (after.targets.processorMicroseconds - before.targets.processorMicroseconds) / finished;
    const { direct, routed } = rateLatencies;
    return {
      requestsPerSecond: RATE,
      tokensPerAnswer: TOKENS,
      eventsPerAnswer: Math.ceil(TOKENS / CHUNK_TOKENS) + 2,
      direct,
      routed,
      addedMedianMs: routed.medianMs - direct.medianMs,
      addedPercentile99Ms: routed.percentile99Ms - direct.percentile99Ms,
      saturatedRequestsPerSecond: finished / elapsedSeconds,
      saturatedTokensPerSecond: (finished * TOKENS) / elapsedSeconds,
      entryMicrosecondsPerRequest: entryMicroseconds,
      entryRequestsPerCoreSecond: MICROSECONDS_PER_SECOND / entryMicroseconds,
      targetMicrosecondsPerRequest: targetMicroseconds,
      entryResidentMegabytes: after.entry.residentBytes / BYTES_PER_MEGABYTE,
      targetResidentMegabytes: after.targets.residentBytes / BYTES_PER_MEGABYTE,
      failures: this.failures,
    };
  }

  private sendDirect(): Promise<void> {
    const engine = this.fleet.targets[this.sent % this.fleet.targets.length];
    return this.send(`${engine.standin.url}/v1/completions`, this.direct);
  }

  private sendRouted(): Promise<void> {
    const [entry] = this.fleet.entryUrls;
    return this.send(`${entry}/v1/engines/${this.plan.engine}/completions`, this.routed);
  }

  private async send(url: string, histogram: hdr.Histogram): Promise<void> {
    this.sent += 1;
    const prompt = `speed ${this.sent % PROMPTS}`;
    const startMs = performance.now();
    const response = await undici.request(url, {
      method: 'POST',
      dispatcher: this.agent,
      headers: {
        'content-type': 'application/json',
        'x-azureworks-tenant': this.plan.tenant,
      },
      body: JSON.stringify({ prompt, max_tokens: TOKENS, stream: true }),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200 || !text.endsWith('[DONE]\n\n')) this.failures += 1;
    const microseconds = Math.round((performance.now() - startMs) * MILLISECONDS_PER_SECOND);
    histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, microseconds));
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

/** Reads what a daemon says of its processor time and memory. */
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
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });
}

function summarize(histogram: hdr.Histogram): Latency {
  return {
    medianMs: histogram.getValueAtPercentile(50) / MILLISECONDS_PER_SECOND,
    percentile99Ms: histogram.getValueAtPercentile(99) / MILLISECONDS_PER_SECOND,
  };
}
