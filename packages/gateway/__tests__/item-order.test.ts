/**
 * Checks the order in which items are started. The first test simulates the load pattern for which
 * the order is designed: three trainers submit steps at once, with more items than there are slots,
 * a few of which take many times as long as the rest. In a poor order, long items start late and
 * delay the end of their steps.
 */
import * as decisions from '@azureworks/decisions';
import * as itemOrder from '../src/jobs/item-order';

interface Sample {
  readonly id: string;
  readonly group: string;
  readonly durationMs: number;
}

const SLOTS = 16;

/** Creates samples with a long tail of durations: one in twelve takes five times as long. */
function createSamples(job: string, groups: number, size: number, seed: number): Sample[] {
  const random = decisions.SeededRandom.create(seed);
  return Array.from({ length: groups * size }, (_unused, index) => ({
    id: `${job}-${index}`,
    group: `g${Math.floor(index / size)}`,
    durationMs: (300 + random.next() * 900) * (random.next() < 1 / 12 ? 5 : 1),
  }));
}

function createWaitingJob(
  id: string,
  samples: readonly Sample[],
  done: ReadonlySet<string>,
  started: ReadonlySet<string>,
): itemOrder.WaitingJob {
  const names = [...new Set(samples.map((sample) => sample.group))];
  const groups = names.map((name) => {
    const open = samples.filter((sample) => sample.group === name && !done.has(sample.id));
    return {
      name,
      unfinishedItems: open.length,
      longestRemainingMs: Math.max(0, ...open.map((sample) => sample.durationMs)),
      isCarriedOver: false,
    };
  });
  const waiting = samples.filter((sample) => !started.has(sample.id));
  return {
    id,
    dueMs: 7500,
    priority: 1,
    wantedGroups: names.length,
    completeGroups: groups.filter((group) => group.unfinishedItems === 0).length,
    groups,
    waitingItems: waiting.map(({ id: itemId, group, durationMs }) => ({
      id: itemId,
      group,
      expectedRemainingMs: durationMs,
    })),
  };
}

/** Returns when all jobs are complete, in the order under test or first come first served. */
function simulate(jobs: ReadonlyMap<string, readonly Sample[]>, isOrdered: boolean): number {
  const samples = new Map([...jobs.values()].flat().map((sample) => [sample.id, sample]));
  const [done, started] = [new Set<string>(), new Set<string>()];
  const running: { readonly id: string; readonly endMs: number }[] = [];
  let nowMs = 0;
  while (done.size < samples.size) {
    const waiting = [...jobs].map(([id, list]) => createWaitingJob(id, list, done, started));
    const order = isOrdered
      ? itemOrder.orderItems(waiting, nowMs).map((item) => item.itemId)
      : [...samples.keys()].filter((id) => !started.has(id));
    for (const id of order.slice(0, SLOTS - running.length)) {
      started.add(id);
      running.push({ id, endMs: nowMs + (samples.get(id)?.durationMs ?? 0) });
    }
    running.sort((first, second) => first.endMs - second.endMs);
    const next = running.shift();
    if (!next) throw new Error('no item is running although some are not done');
    nowMs = next.endMs;
    done.add(next.id);
  }
  return nowMs;
}

describe('order of waiting items', () => {
  it('completes steps sooner than first come first served, near the lower bound', () => {
    const seeds = Array.from({ length: 20 }, (_unused, index) => index + 1);
    const ratios = seeds.map((seed) => {
      const jobs = new Map(
        ['a', 'b', 'c'].map((job, index) => [job, createSamples(job, 5, 4, seed * 10 + index)]),
      );
      const all = [...jobs.values()].flat().map((sample) => sample.durationMs);
      const workMs = all.reduce((sum, durationMs) => sum + durationMs, 0) / SLOTS;
      const lowerBoundMs = Math.max(workMs, ...all);
      return {
        ordered: simulate(jobs, true) / lowerBoundMs,
        firstComeFirstServed: simulate(jobs, false) / lowerBoundMs,
      };
    });
    const mean = (values: readonly number[]): number =>
      values.reduce((sum, value) => sum + value, 0) / values.length;
    expect(mean(ratios.map((ratio) => ratio.ordered))).toBeLessThan(1.15);
    expect(mean(ratios.map((ratio) => ratio.ordered))).toBeLessThan(
      mean(ratios.map((ratio) => ratio.firstComeFirstServed)),
    );
  });

  const createJob = (
    id: string,
    dueMs: number,
    groups: readonly [string, number, boolean?][],
    wantedGroups: number,
  ): itemOrder.WaitingJob => ({
    id,
    dueMs,
    priority: 0,
    wantedGroups,
    completeGroups: 0,
    groups: groups.map(([name, longestRemainingMs, isCarriedOver = false]) => ({
      name,
      unfinishedItems: 1,
      longestRemainingMs,
      isCarriedOver,
    })),
    waitingItems: groups.map(([name, expectedRemainingMs]) => ({
      id: `${id}/${name}`,
      group: name,
      expectedRemainingMs,
    })),
  });

  const orderIds = (...jobs: itemOrder.WaitingJob[]): string[] =>
    itemOrder.orderItems(jobs, 0).map((item) => item.itemId);

  it('starts the longest of the wanted groups first and surplus groups last', () => {
    const groups: [string, number][] = [
      ['short', 500],
      ['middle', 2000],
      ['long', 6000],
    ];
    expect(orderIds(createJob('a', 7500, groups, 2))).toEqual(['a/middle', 'a/short', 'a/long']);
  });

  it('prefers groups that were carried over from an earlier job', () => {
    const groups: [string, number, boolean?][] = [
      ['new', 500],
      ['carried', 6000, true],
    ];
    expect(orderIds(createJob('a', 7500, groups, 1))).toEqual(['a/carried', 'a/new']);
  });

  it('starts jobs that are past their due time after those that can be in time', () => {
    const late = createJob('late', -100, [['g', 900]], 1);
    const early = createJob('early', 7500, [['g', 900]], 1);
    expect(orderIds(late, early)).toEqual(['early/g', 'late/g']);
  });

  it('orders by the time left less the expected duration of an item', () => {
    const soon = createJob('soon', 3000, [['g', 500]], 1);
    const later = createJob('later', 7000, [['g', 6500]], 1);
    expect(orderIds(soon, later)).toEqual(['later/g', 'soon/g']);
  });
});
