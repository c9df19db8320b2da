/**
 * Control plane experiments. One measures the processor time, sent bytes and memory of idle daemons
 * by number of entries, number of targets and rate of configuration changes. The other measures how
 * long an accepted change takes to be in force on all daemons, with the store up and with the store
 * lost right after the acceptance.
 */
import type * as deployments from './deployments';
import * as demo from './demo';
import * as fleets from './fleet';
import * as http from './http';
import * as metrics from './metrics';

/** Size of a measured fleet and its rate of configuration changes. */
interface FleetSize {
  readonly entries: number;
  readonly targets: number;
  readonly changesPerSecond: number;
}

/** Average cost of one daemon of each role; memory is that of the largest daemon. */
export interface ControlCost {
  readonly entries: number;
  readonly targets: number;
  readonly changesPerSecond: number;
  readonly entryCorePercent: number;
  readonly entrySentBytesPerSecond: number;
  readonly entryMessagesPerSecond: number;
  readonly entryMegabytes: number;
  readonly targetCorePercent: number;
  readonly targetSentBytesPerSecond: number;
  readonly targetMessagesPerSecond: number;
  readonly targetMegabytes: number;
  readonly storeReadsPerSecond: number;
}

/** Time until accepted changes were in force on all daemons. */
export interface PropagationTime {
  readonly daemons: number;
  readonly store: string;
  readonly changes: number;
  readonly medianMs: number;
  readonly maximumMs: number;
}

interface Counters {
  readonly processorMicroseconds: number;
  readonly sentBytes: number;
  readonly messages: number;
  readonly residentBytes: number;
}

const COST_FLEET_SIZES: readonly FleetSize[] = [
  { entries: 2, targets: 4, changesPerSecond: 0 },
  { entries: 4, targets: 4, changesPerSecond: 0 },
  { entries: 8, targets: 4, changesPerSecond: 0 },
  { entries: 2, targets: 12, changesPerSecond: 0 },
  { entries: 2, targets: 24, changesPerSecond: 0 },
  { entries: 2, targets: 4, changesPerSecond: 2 },
];
const PROPAGATION_FLEET_SIZES: readonly FleetSize[] = [
  { entries: 1, targets: 1, changesPerSecond: 0 },
  { entries: 2, targets: 6, changesPerSecond: 0 },
  { entries: 4, targets: 28, changesPerSecond: 0 },
];
const CHANGES_PER_MEASUREMENT = 10;
const PROPAGATION_POLL_INTERVAL_MS = 10;
const PROPAGATION_TIMEOUT_MS = 20_000;
const SETTLING_TIME_MS = 3000;
const MEASUREMENT_DURATION_MS = 8000;
const MILLISECONDS_PER_SECOND = 1000;
const MICROSECONDS_PER_MILLISECOND = 1000;
const PERCENT_PER_CORE = 100;
const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Measures the control plane cost at several fleet sizes. */
export async function measureControl(
  base: deployments.DeploymentPlan,
  onProgress: demo.ProgressListener,
): Promise<ControlCost[]> {
  const costs: ControlCost[] = [];
  for (const size of COST_FLEET_SIZES) {
    onProgress(
      `${size.entries} entries, ${size.targets} targets, ${size.changesPerSecond} changes/s`,
    );
    costs.push(await withFleet(base, size, (fleet) => measureFleetCost(fleet, size)));
  }
  return costs;
}

/** Measures how long changes take to be in force, at several fleet sizes. */
export async function measurePropagation(
  base: deployments.DeploymentPlan,
  onProgress: demo.ProgressListener,
): Promise<PropagationTime[]> {
  const times: PropagationTime[] = [];
  for (const size of PROPAGATION_FLEET_SIZES) {
    onProgress(`propagation to ${size.entries} entries and ${size.targets} targets`);
    const measured = await withFleet(base, size, async (fleet) => [
      await measureChangePropagation(fleet, false),
      await measureChangePropagation(fleet, true),
    ]);
    times.push(...measured);
  }
  return times;
}

async function withFleet<T>(
  base: deployments.DeploymentPlan,
  size: FleetSize,
  measure: (fleet: fleets.Fleet) => Promise<T>,
): Promise<T> {
  const [engines] = base.fleet.services;
  const plan = {
    ...base.fleet,
    entries: size.entries,
    services: [{ ...engines, count: size.targets }],
  };
  const fleet = await fleets.Fleet.create(plan);
  try {
    const { revision } = demo.applyConfiguration(
      fleet,
      fleet.writeConfiguration('control', base.configurationFiles),
    );
    await fleet.waitUntilReady(revision);
    return await measure(fleet);
  } finally {
    await fleet.stop();
  }
}

async function measureFleetCost(fleet: fleets.Fleet, size: FleetSize): Promise<ControlCost> {
  await http.sleep(SETTLING_TIME_MS);
  const before = await readFleetCounters(fleet);
  const startMs = performance.now();
  await applyChangesAtRate(fleet, size.changesPerSecond);
  const seconds = (performance.now() - startMs) / MILLISECONDS_PER_SECOND;
  const after = await readFleetCounters(fleet);
  const entry = computeUsage(before.entries, after.entries, seconds);
  const target = computeUsage(before.targets, after.targets, seconds);
  return {
    ...size,
    entryCorePercent: entry.corePercent,
    entrySentBytesPerSecond: entry.sentBytes,
    entryMessagesPerSecond: entry.messages,
    entryMegabytes: entry.megabytes,
    targetCorePercent: target.corePercent,
    targetSentBytesPerSecond: target.sentBytes,
    targetMessagesPerSecond: target.messages,
    targetMegabytes: target.megabytes,
    storeReadsPerSecond: (after.reads - before.reads) / seconds,
  };
}

async function applyChangesAtRate(fleet: fleets.Fleet, changesPerSecond: number): Promise<void> {
  if (changesPerSecond === 0) {
    await http.sleep(MEASUREMENT_DURATION_MS);
    return;
  }
  const total = (MEASUREMENT_DURATION_MS / MILLISECONDS_PER_SECOND) * changesPerSecond;
  for (let index = 0; index < total; index += 1) {
    await submitChange(fleet, index);
    await http.sleep(MILLISECONDS_PER_SECOND / changesPerSecond);
  }
}

async function submitChange(fleet: fleets.Fleet, index: number): Promise<number> {
  const [url] = fleet.entryUrls;
  const { revision: baseRevision } = await http.getJson<{ revision: number }>(
    `${url}/v1/configuration`,
  );
  const answer = (await http.postJson(`${url}/v1/configuration/changes`, {
    id: `control-${process.pid}-${index}-${baseRevision}`,
    baseRevision,
    put: { '90-control.ini': `[tenant control]\nshare = ${(index % 9) + 1}\n` },
    remove: [],
  })) as { revision: number };
  return answer.revision;
}

async function measureChangePropagation(
  fleet: fleets.Fleet,
  isStoreLost: boolean,
): Promise<PropagationTime> {
  const durations: number[] = [];
  const daemons = [...fleet.entries, ...fleet.targets].map((member) => member.daemon.url);
  for (let index = 0; index < CHANGES_PER_MEASUREMENT; index += 1) {
    const revision = await submitChange(fleet, index);
    const acceptedMs = performance.now();
    if (isStoreLost) await http.postJson(`${fleet.platform.url}/faults`, { down: true });
    await Promise.all(daemons.map((url) => waitForRevision(url, revision)));
    durations.push(performance.now() - acceptedMs);
    if (isStoreLost) await http.postJson(`${fleet.platform.url}/faults`, { down: false });
    await http.sleep(MILLISECONDS_PER_SECOND);
  }
  durations.sort((first, second) => first - second);
  return {
    daemons: daemons.length,
    store: isStoreLost ? 'lost after acceptance' : 'up',
    changes: durations.length,
    medianMs: durations[Math.floor(durations.length / 2)],
    maximumMs: durations[durations.length - 1],
  };
}

async function waitForRevision(url: string, revision: number): Promise<void> {
  const deadlineMs = performance.now() + PROPAGATION_TIMEOUT_MS;
  while (performance.now() < deadlineMs) {
    const read = await metrics.readMetrics(url);
    if (read('revision') >= revision) return;
    await http.sleep(PROPAGATION_POLL_INTERVAL_MS);
  }
  throw new Error(`${url} did not reach revision ${revision} in time`);
}

async function readCounters(url: string): Promise<Counters> {
  const read = await metrics.readMetrics(url);
  return {
    processorMicroseconds: read('processor_microseconds'),
    sentBytes: read('control_sent_bytes'),
    messages: read('control_sent_messages') + read('control_received_messages'),
    residentBytes: read('resident_bytes'),
  };
}

async function readFleetCounters(
  fleet: fleets.Fleet,
): Promise<{ entries: Counters[]; targets: Counters[]; reads: number }> {
  const { reads } = await http.getJson<{ reads: number }>(`${fleet.platform.url}/log`);
  const entries = await Promise.all(fleet.entryUrls.map(readCounters));
  const targets = await Promise.all(fleet.targets.map((target) => readCounters(target.daemon.url)));
  return { entries, targets, reads };
}

function computeUsage(
  before: readonly Counters[],
  after: readonly Counters[],
  seconds: number,
): { corePercent: number; sentBytes: number; messages: number; megabytes: number } {
  const computeRate = (read: (counters: Counters) => number): number => {
    const sum = after.reduce(
      (total, counters, index) => total + read(counters) - read(before[index]),
      0,
    );
    return sum / after.length / seconds;
  };
  const microsecondsPerSecond = MILLISECONDS_PER_SECOND * MICROSECONDS_PER_MILLISECOND;
  return {
    corePercent:
      (computeRate((counters) => counters.processorMicroseconds) / microsecondsPerSecond) *
      PERCENT_PER_CORE,
    sentBytes: computeRate((counters) => counters.sentBytes),
    messages: computeRate((counters) => counters.messages),
    megabytes: Math.max(...after.map((counters) => counters.residentBytes)) / BYTES_PER_MEGABYTE,
  };
}
