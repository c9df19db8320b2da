/**
 * The cost of control: processor time, bytes and memory of idle daemons against the number of
 * entries and targets and the rate of configuration changes, and how long a change takes to be in
 * force everywhere, with the store up and with the store lost right after the acceptance.
 */
import type * as deployments from './deployments';
import * as demo from './demo';
import * as fleets from './fleet';
import * as http from './http';
import * as metrics from './metrics';

/** A fleet to measure. */
interface Size {
  readonly entries: number;
  readonly targets: number;
  readonly changesPerSecond: number;
}

/** What one daemon of each role costs, on average. */
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

/** How long accepted changes took to be in force on all daemons. */
export interface SpreadTime {
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

const SIZES: readonly Size[] = [
  { entries: 2, targets: 4, changesPerSecond: 0 },
  { entries: 4, targets: 4, changesPerSecond: 0 },
  { entries: 8, targets: 4, changesPerSecond: 0 },
  { entries: 2, targets: 12, changesPerSecond: 0 },
  { entries: 2, targets: 24, changesPerSecond: 0 },
  { entries: 2, targets: 4, changesPerSecond: 2 },
];
const SPREADS: readonly Size[] = [
  { entries: 1, targets: 1, changesPerSecond: 0 },
  { entries: 2, targets: 6, changesPerSecond: 0 },
  { entries: 4, targets: 28, changesPerSecond: 0 },
];
const SPREAD_CHANGES = 10;
const SPREAD_POLL_MS = 10;
const SPREAD_TIMEOUT_MS = 20_000;
const SETTLE_MS = 3000;
const MEASURE_MS = 8000;
const MILLISECONDS_PER_SECOND = 1000;
const MICROSECONDS_PER_MILLISECOND = 1000;
const PERCENT = 100;
const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Measures the cost of control at several sizes. */
export async function measureControl(
  base: deployments.DeploymentPlan,
  progress: demo.Progress,
): Promise<ControlCost[]> {
  const costs: ControlCost[] = [];
  for (const size of SIZES) {
    progress(
      `${size.entries} entries, ${size.targets} targets, ${size.changesPerSecond} changes/s`,
    );
    costs.push(await withFleet(base, size, (fleet) => measureFleet(fleet, size)));
  }
  return costs;
}

/** Measures how long changes take to be in force. */
export async function measureSpread(
  base: deployments.DeploymentPlan,
  progress: demo.Progress,
): Promise<SpreadTime[]> {
  const times: SpreadTime[] = [];
  for (const size of SPREADS) {
    progress(`spread over ${size.entries} entries and ${size.targets} targets`);
    const measured = await withFleet(base, size, async (fleet) => [
      await measureChanges(fleet, false),
      await measureChanges(fleet, true),
    ]);
    times.push(...measured);
  }
  return times;
}

async function withFleet<T>(
  base: deployments.DeploymentPlan,
  size: Size,
  act: (fleet: fleets.Fleet) => Promise<T>,
): Promise<T> {
  const [engines] = base.fleet.services;
  const plan = {
    ...base.fleet,
    entries: size.entries,
    services: [{ ...engines, count: size.targets }],
  };
  const fleet = await fleets.Fleet.create(plan);
  try {
    const { revision } = demo.applyFolder(fleet, fleet.writeFolder('control', base.files));
    await fleet.waitUntilReady(revision);
    return await act(fleet);
  } finally {
    await fleet.stop();
  }
}

async function measureFleet(fleet: fleets.Fleet, size: Size): Promise<ControlCost> {
  await http.sleep(SETTLE_MS);
  const before = await readFleet(fleet);
  const startMs = performance.now();
  await makeChanges(fleet, size.changesPerSecond);
  const seconds = (performance.now() - startMs) / MILLISECONDS_PER_SECOND;
  const after = await readFleet(fleet);
  const entry = compare(before.entries, after.entries, seconds);
  const target = compare(before.targets, after.targets, seconds);
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

async function makeChanges(fleet: fleets.Fleet, changesPerSecond: number): Promise<void> {
  if (changesPerSecond === 0) {
    await http.sleep(MEASURE_MS);
    return;
  }
  const total = (MEASURE_MS / MILLISECONDS_PER_SECOND) * changesPerSecond;
  for (let turn = 0; turn < total; turn += 1) {
    await change(fleet, turn);
    await http.sleep(MILLISECONDS_PER_SECOND / changesPerSecond);
  }
}

async function change(fleet: fleets.Fleet, turn: number): Promise<number> {
  const [url] = fleet.entryUrls;
  const { revision: baseRevision } = await http.getJson<{ revision: number }>(
    `${url}/v1/configuration`,
  );
  const answer = (await http.postJson(`${url}/v1/configuration/changes`, {
    id: `control-${process.pid}-${turn}-${baseRevision}`,
    baseRevision,
    put: { '90-control.ini': `[tenant control]\nshare = ${(turn % 9) + 1}\n` },
    remove: [],
  })) as { revision: number };
  return answer.revision;
}

async function measureChanges(fleet: fleets.Fleet, isStoreLost: boolean): Promise<SpreadTime> {
  const durations: number[] = [];
  const daemons = [...fleet.entries, ...fleet.targets].map((member) => member.daemon.url);
  for (let turn = 0; turn < SPREAD_CHANGES; turn += 1) {
    const revision = await change(fleet, turn);
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
  const deadlineMs = performance.now() + SPREAD_TIMEOUT_MS;
  while (performance.now() < deadlineMs) {
    const read = await metrics.readMetrics(url);
    if (read('revision') >= revision) return;
    await http.sleep(SPREAD_POLL_MS);
  }
  throw new Error(`${url} did not reach revision ${revision}`);
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

async function readFleet(
  fleet: fleets.Fleet,
): Promise<{ entries: Counters[]; targets: Counters[]; reads: number }> {
  const { reads } = await http.getJson<{ reads: number }>(`${fleet.platform.url}/log`);
  const entries = await Promise.all(fleet.entryUrls.map(readCounters));
  const targets = await Promise.all(fleet.targets.map((target) => readCounters(target.daemon.url)));
  return { entries, targets, reads };
}

function compare(
  before: readonly Counters[],
  after: readonly Counters[],
  seconds: number,
): { corePercent: number; sentBytes: number; messages: number; megabytes: number } {
  const average = (read: (counters: Counters) => number): number => {
    const sum = after.reduce(
      (total, counters, index) => total + read(counters) - read(before[index]),
      0,
    );
    return sum / after.length / seconds;
  };
  const microsecondsPerSecond = MILLISECONDS_PER_SECOND * MICROSECONDS_PER_MILLISECOND;
  return {
    corePercent:
      (average((counters) => counters.processorMicroseconds) / microsecondsPerSecond) * PERCENT,
    sentBytes: average((counters) => counters.sentBytes),
    messages: average((counters) => counters.messages),
    megabytes: Math.max(...after.map((counters) => counters.residentBytes)) / BYTES_PER_MEGABYTE,
  };
}
