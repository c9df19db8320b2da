/**
 * Replays the load pattern that decides the order of items: three trainers hand in steps at once,
 * more items than there are places, a few of them many times as long as the rest.
 */
import * as decisions from '@azureworks/decisions';
import * as groupOrder from '../src/jobs/group-order';

interface Sample {
  readonly id: string;
  readonly group: string;
  readonly tookMs: number;
}

const PLACES = 16;

/** Lengths with a long tail: one in twelve takes five times as long. */
function createSamples(job: string, groups: number, size: number, seed: number): Sample[] {
  const random = decisions.SeededRandom.create(seed);
  return Array.from({ length: groups * size }, (_unused, index) => ({
    id: `${job}-${index}`,
    group: `g${Math.floor(index / size)}`,
    tookMs: (300 + random.next() * 900) * (random.next() < 1 / 12 ? 5 : 1),
  }));
}

function describeJob(
  id: string,
  samples: readonly Sample[],
  done: ReadonlySet<string>,
  started: ReadonlySet<string>,
): groupOrder.WaitingJob {
  const names = [...new Set(samples.map((sample) => sample.group))];
  const groups = names.map((name) => {
    const open = samples.filter((sample) => sample.group === name && !done.has(sample.id));
    return {
      name,
      unfinished: open.length,
      longestMs: Math.max(0, ...open.map((sample) => sample.tookMs)),
      isCarried: false,
    };
  });
  const waiting = samples.filter((sample) => !started.has(sample.id));
  return {
    id,
    dueMs: 7500,
    priority: 1,
    wantedGroups: names.length,
    wholeGroups: groups.filter((group) => group.unfinished === 0).length,
    groups,
    waiting: waiting.map(({ id: itemId, group, tookMs }) => ({
      id: itemId,
      group,
      expectedMs: tookMs,
    })),
  };
}

/** When all jobs are whole, with the order given or first come first served. */
function replay(jobs: ReadonlyMap<string, readonly Sample[]>, isOrdered: boolean): number {
  const samples = new Map([...jobs.values()].flat().map((sample) => [sample.id, sample]));
  const [done, started] = [new Set<string>(), new Set<string>()];
  const running: { readonly id: string; readonly endMs: number }[] = [];
  let nowMs = 0;
  while (done.size < samples.size) {
    const waiting = [...jobs].map(([id, list]) => describeJob(id, list, done, started));
    const order = isOrdered
      ? groupOrder.orderItems(waiting, nowMs).map((item) => item.itemId)
      : [...samples.keys()].filter((id) => !started.has(id));
    for (const id of order.slice(0, PLACES - running.length)) {
      started.add(id);
      running.push({ id, endMs: nowMs + (samples.get(id)?.tookMs ?? 0) });
    }
    running.sort((first, second) => first.endMs - second.endMs);
    const next = running.shift();
    if (!next) throw new Error('nothing runs');
    nowMs = next.endMs;
    done.add(next.id);
  }
  return nowMs;
}

describe('the order of items', () => {
  it('makes steps whole sooner than first come first served, near the lower bound', () => {
    const seeds = Array.from({ length: 20 }, (_unused, index) => index + 1);
    const ends = seeds.map((seed) => {
      const jobs = new Map(
        ['a', 'b', 'c'].map((job, index) => [job, createSamples(job, 5, 4, seed * 10 + index)]),
      );
      const all = [...jobs.values()].flat().map((sample) => sample.tookMs);
      const work = all.reduce((sum, tookMs) => sum + tookMs, 0) / PLACES;
      const bound = Math.max(work, ...all);
      return { ordered: replay(jobs, true) / bound, plain: replay(jobs, false) / bound };
    });
    const mean = (values: readonly number[]): number =>
      values.reduce((sum, value) => sum + value, 0) / values.length;
    expect(mean(ends.map((end) => end.ordered))).toBeLessThan(1.15);
    expect(mean(ends.map((end) => end.ordered))).toBeLessThan(mean(ends.map((end) => end.plain)));
  });

  const job = (
    id: string,
    dueMs: number,
    groups: readonly [string, number, boolean?][],
    wantedGroups: number,
  ): groupOrder.WaitingJob => ({
    id,
    dueMs,
    priority: 0,
    wantedGroups,
    wholeGroups: 0,
    groups: groups.map(([name, longestMs, isCarried = false]) => ({
      name,
      unfinished: 1,
      longestMs,
      isCarried,
    })),
    waiting: groups.map(([name, expectedMs]) => ({ id: `${id}/${name}`, group: name, expectedMs })),
  });

  const order = (...jobs: groupOrder.WaitingJob[]): string[] =>
    groupOrder.orderItems(jobs, 0).map((item) => item.itemId);

  it('starts the longest of the wanted groups first and leaves the unwanted to the end', () => {
    const groups: [string, number][] = [
      ['short', 500],
      ['middle', 2000],
      ['long', 6000],
    ];
    expect(order(job('a', 7500, groups, 2))).toEqual(['a/middle', 'a/short', 'a/long']);
  });

  it('always wants groups that were left over from an earlier job', () => {
    const groups: [string, number, boolean?][] = [
      ['new', 500],
      ['carried', 6000, true],
    ];
    expect(order(job('a', 7500, groups, 1))).toEqual(['a/carried', 'a/new']);
  });

  it('puts jobs that are past their time behind those that can be in time', () => {
    const late = job('late', -100, [['g', 900]], 1);
    const early = job('early', 7500, [['g', 900]], 1);
    expect(order(late, early)).toEqual(['early/g', 'late/g']);
  });

  it('weighs what is left of the time against what an item takes', () => {
    const soon = job('soon', 3000, [['g', 500]], 1);
    const later = job('later', 7000, [['g', 6500]], 1);
    expect(order(soon, later)).toEqual(['later/g', 'soon/g']);
  });
});
