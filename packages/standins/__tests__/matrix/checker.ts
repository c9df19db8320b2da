/**
 * Judges the nine promises of the brief by what callers, the trainer, operators and the targets'
 * own logs saw.
 */
import type * as fleets from '../../src/experiments/fleet';
import * as http from '../../src/experiments/http';
import type * as workloads from './workload';

/** A broken promise. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

interface EngineRun {
  readonly requestId: string;
  readonly versions: (number | null)[];
  readonly outcome: string;
  readonly arrivedMs: number;
}

interface Booking {
  readonly requestId: string;
  readonly arrivedMs: number;
}

interface TargetLog {
  readonly target: string;
  readonly runs: readonly EngineRun[];
  readonly bookings: readonly Booking[];
}

/** New work may still arrive for this long after a target said that it is leaving. */
const LEAVING_BOUND_MS = 2000;

/** An accepted change must be in force everywhere within this time. */
const IN_FORCE_BOUND_MS = 7000;

/** Checks everything that happened since the workload began. */
export async function checkPromises(
  workload: workloads.Workload,
  stalenessBound: number,
): Promise<Violation[]> {
  // The trainer goes on meanwhile. Its labels are read first, so that the logs hold every run that
  // made one of them; what it gets later is judged in the next round.
  const trainer = await workload.readTrainer();
  const logs = await Promise.all(workload.fleet.targets.map(readLog));
  const { report, refusedIds } = workload.caller;
  const bookings = logs.flatMap((log) => log.bookings.map((booking) => booking.requestId));
  const ran = new Set(bookings);
  const refusedThatRan = findRefusedThatRan(workload, ran, refusedIds);
  return [
    ...expectNone('labels are true', report.unlabelled + trainer.unlabelled, 'without a label'),
    ...checkLabels(trainer.labels, logs),
    ...expectNone(
      'no sample beyond the bound',
      trainer.labels.filter((label) => label.staleness > stalenessBound).length,
      'too old',
    ),
    ...expectNone('each sample once', trainer.doubled, 'doubled'),
    ...expectNone('whole answers', report.damaged + trainer.damaged, 'damaged'),
    ...expectNone('"not run" is true', refusedThatRan.length, `ran: ${refusedThatRan.join()}`),
    ...expectNone('at most once', bookings.length - ran.size, 'bookings run again'),
    ...checkLeaving(workload.plannedStops, logs),
    ...expectNone('changes do not conflict', workload.doubleAcceptances, 'accepted twice'),
    ...checkInForce(workload),
    ...checkNeverReverts(workload.sightings),
  ];
}

/** Without any fault, planned stops alone: nobody is cut off and every outcome is known. */
export function checkPlannedStops(before: CutCounts, after: CutCounts): Violation[] {
  const promise = 'planned stops lose nothing';
  return [
    ...expectNone(promise, after.cut - before.cut, 'callers cut off'),
    ...expectNone(
      promise,
      after.unknown.length - before.unknown.length,
      `bookings of unknown outcome: ${after.unknown.slice(before.unknown.length).join('; ')}`,
    ),
  ];
}

/** Callers that were cut off, and bookings that no try got a certain outcome for. */
export interface CutCounts {
  readonly cut: number;
  readonly unknown: readonly string[];
}

/** Counts them so far. */
export function countCuts(workload: workloads.Workload): CutCounts {
  const unknown = [...workload.caller.outcomes]
    .filter(
      ([, told]) =>
        !told.some(({ verdict }) => verdict === 'ran') &&
        told.some(({ verdict }) => verdict !== 'not-run' && verdict !== 'not-sent'),
    )
    .map(([id, told]) => `${id} ${told.map(({ code }) => code).join()}`);
  return { cut: workload.caller.report.cut, unknown };
}

/** A booking is sent twice under one id: "not run" is false when it ran and nobody got its answer. */
function findRefusedThatRan(
  workload: workloads.Workload,
  ran: ReadonlySet<string>,
  refusedIds: readonly string[],
): string[] {
  const { outcomes } = workload.caller;
  return [...new Set(refusedIds)].filter((id) => {
    const told = outcomes.get(id) ?? [];
    const isEveryTryRefused = told.every(({ verdict }) => verdict === 'not-run');
    return isEveryTryRefused && ran.has(id);
  });
}

function expectNone(promise: string, count: number, detail: string): Violation[] {
  return count === 0 ? [] : [{ promise, detail: `${count} ${detail}` }];
}

/**
 * A label names only versions that an engine's log shows for the sample, and all those of a run
 * that finished it.
 */
function checkLabels(
  labels: readonly { readonly id: string; readonly weightVersions: readonly number[] }[],
  logs: readonly TargetLog[],
): Violation[] {
  const runsById = new Map<string, EngineRun[]>();
  logs
    .flatMap((log) => log.runs)
    .forEach((run) => {
      runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]);
    });
  const isFalse = (label: (typeof labels)[number]): boolean => {
    const runs = runsById.get(label.id) ?? [];
    const produced = new Set(runs.flatMap((run) => run.versions));
    const named = new Set<number | null>(label.weightVersions);
    const isMadeUp = label.weightVersions.some((version) => !produced.has(version));
    const finished = runs.filter((run) => run.outcome === 'finished');
    const isWhole = finished.some((run) => run.versions.every((version) => named.has(version)));
    return isMadeUp || !isWhole;
  };
  const mislabelled = labels.filter(isFalse);
  // What the engines logged of them goes with the finding, so that its cause can be told.
  const evidence = mislabelled.map((label) => ({ label, runs: runsById.get(label.id) ?? [] }));
  const detail = `mislabelled: ${JSON.stringify(evidence)}`;
  return expectNone('labels are true', mislabelled.length, detail);
}

function checkLeaving(
  stops: readonly workloads.PlannedStop[],
  logs: readonly TargetLog[],
): Violation[] {
  return stops.flatMap((stop) => {
    const log = logs.find((candidate) => candidate.target === stop.target);
    const late = [...(log?.runs ?? []), ...(log?.bookings ?? [])].filter(
      ({ arrivedMs }) => arrivedMs > stop.atMs + LEAVING_BOUND_MS && arrivedMs < stop.backMs,
    );
    return expectNone('leaving targets get no work', late.length, `came late to ${stop.target}`);
  });
}

/** A daemon that is seen at an older revision after the bound must at least refuse new work. */
function checkInForce(workload: workloads.Workload): Violation[] {
  const late = workload.accepted.flatMap((change) =>
    workload.sightings.filter(
      (sighting) =>
        sighting.isConfirmed &&
        sighting.revision < change.revision &&
        sighting.atMs > change.atMs + IN_FORCE_BOUND_MS,
    ),
  );
  const names = [...new Set(late.map((sighting) => sighting.daemon))];
  return expectNone('changes are in force', late.length, `sightings late: ${names.join()}`);
}

function checkNeverReverts(sightings: readonly workloads.Sighting[]): Violation[] {
  const highest = new Map<string, number>();
  let reverted = 0;
  sightings.forEach((sighting) => {
    const known = highest.get(sighting.daemon) ?? 0;
    if (sighting.isConfirmed && sighting.revision < known) reverted += 1;
    highest.set(sighting.daemon, Math.max(known, sighting.isConfirmed ? sighting.revision : 0));
  });
  return expectNone('changes never revert', reverted, 'sightings of a lower revision');
}

async function readLog(target: fleets.FleetTarget): Promise<TargetLog> {
  const log = await http.getJson<{ runs?: EngineRun[]; bookings?: Booking[] }>(
    `${target.standin.url}/log`,
  );
  return { target: target.name, runs: log.runs ?? [], bookings: log.bookings ?? [] };
}
