/**
 * Checks the service's nine promises against what callers, the trainer and operators observed and
 * what the targets logged.
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

/** Time during which work may still arrive after a target announced that it is leaving. */
const LEAVING_GRACE_MS = 2000;

/** Time within which an accepted change must be in force on all daemons. */
const MAXIMUM_PROPAGATION_MS = 7000;

/** Checks everything that happened since the workload started. */
export async function checkPromises(
  workload: workloads.Workload,
  stalenessBound: number,
): Promise<Violation[]> {
  // The trainer keeps running. Its labels are read before the logs, so that the logs contain every
  // run behind a label; samples that it receives later are checked in the next round.
  const trainer = await workload.readTrainer();
  const logs = await Promise.all(workload.fleet.targets.map(readLog));
  const { report, refusedIds } = workload.caller;
  const ranBookingIds = logs.flatMap((log) => log.bookings.map((booking) => booking.requestId));
  const ranIds = new Set(ranBookingIds);
  const refusedThatRan = findRefusedThatRan(workload, ranIds, refusedIds);
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
    ...expectNone('at most once', ranBookingIds.length - ranIds.size, 'bookings run again'),
    ...checkNoWorkAfterLeaving(workload.plannedStops, logs),
    ...expectNone('changes do not conflict', workload.doubleAcceptances, 'accepted twice'),
    ...checkInForce(workload),
    ...checkNeverReverts(workload.observations),
  ];
}

/** Planned stops without any fault must not cut off a request or leave an outcome unknown. */
export function checkPlannedStops(before: OutcomeCounts, after: OutcomeCounts): Violation[] {
  const promise = 'planned stops lose nothing';
  return [
    ...expectNone(
      promise,
      after.cutOffRequests.length - before.cutOffRequests.length,
      `requests cut off: ${after.cutOffRequests.slice(before.cutOffRequests.length).join('; ')}`,
    ),
    ...expectNone(
      promise,
      after.unknownBookings.length - before.unknownBookings.length,
      `bookings with unknown outcome: ${after.unknownBookings.slice(before.unknownBookings.length).join('; ')}`,
    ),
  ];
}

/** Requests that were cut off, and bookings for which no attempt got a certain outcome. */
export interface OutcomeCounts {
  readonly cutOffRequests: readonly string[];
  readonly unknownBookings: readonly string[];
}

/** Counts the cut-off requests and lists the uncertain bookings since the workload started. */
export function countOutcomes(workload: workloads.Workload): OutcomeCounts {
  const unknownBookings = [...workload.caller.outcomesByRequestId]
    .filter(
      ([, attempts]) =>
        !attempts.some(({ verdict }) => verdict === 'ran') &&
        attempts.some(({ verdict }) => verdict !== 'not-run' && verdict !== 'not-sent'),
    )
    .map(([id, attempts]) => `${id} ${attempts.map(({ code }) => code).join()}`);
  return { cutOffRequests: [...workload.caller.cutOffRequests], unknownBookings };
}

/**
 * Every booking is sent twice with the same id. "Not run" is false only if all attempts were
 * answered so and the booking ran nevertheless.
 */
function findRefusedThatRan(
  workload: workloads.Workload,
  ranIds: ReadonlySet<string>,
  refusedIds: readonly string[],
): string[] {
  const { outcomesByRequestId: outcomes } = workload.caller;
  return [...new Set(refusedIds)].filter((id) => {
    const attempts = outcomes.get(id) ?? [];
    const isEveryAttemptRefused = attempts.every(({ verdict }) => verdict === 'not-run');
    return isEveryAttemptRefused && ranIds.has(id);
  });
}

function expectNone(promise: string, count: number, detail: string): Violation[] {
  return count === 0 ? [] : [{ promise, detail: `${count} ${detail}` }];
}

/**
 * A label must name only versions that the engines logged for the sample, and all versions of a run
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
  const isMislabelled = (label: (typeof labels)[number]): boolean => {
    const runs = runsById.get(label.id) ?? [];
    const producedVersions = new Set(runs.flatMap((run) => run.versions));
    const namedVersions = new Set<number | null>(label.weightVersions);
    const hasUnproducedVersion = label.weightVersions.some(
      (version) => !producedVersions.has(version),
    );
    const finished = runs.filter((run) => run.outcome === 'finished');
    const isComplete = finished.some((run) =>
      run.versions.every((version) => namedVersions.has(version)),
    );
    return hasUnproducedVersion || !isComplete;
  };
  const mislabelled = labels.filter(isMislabelled);
  // The finding includes the engines' logs of these samples, to show the cause.
  const findings = mislabelled.map((label) => ({ label, runs: runsById.get(label.id) ?? [] }));
  const detail = `mislabelled: ${JSON.stringify(findings)}`;
  return expectNone('labels are true', mislabelled.length, detail);
}

function checkNoWorkAfterLeaving(
  stops: readonly workloads.PlannedStop[],
  logs: readonly TargetLog[],
): Violation[] {
  return stops.flatMap((stop) => {
    const log = logs.find((candidate) => candidate.target === stop.target);
    const lateWork = [...(log?.runs ?? []), ...(log?.bookings ?? [])].filter(
      ({ arrivedMs }) =>
        arrivedMs > stop.stopRequestedMs + LEAVING_GRACE_MS && arrivedMs < stop.restartStartMs,
    );
    return expectNone(
      'leaving targets get no work',
      lateWork.length,
      `requests arrived late at ${stop.target}`,
    );
  });
}

/**
 * After the bound, a daemon at an older revision must at least not count it as confirmed, and hence
 * refuse new work.
 */
function checkInForce(workload: workloads.Workload): Violation[] {
  const lateObservations = workload.acceptedChanges.flatMap((change) =>
    workload.observations.filter(
      (observation) =>
        observation.isConfirmed &&
        observation.revision < change.revision &&
        observation.atMs > change.atMs + MAXIMUM_PROPAGATION_MS,
    ),
  );
  const daemonNames = [...new Set(lateObservations.map((observation) => observation.daemon))];
  return expectNone(
    'changes are in force',
    lateObservations.length,
    `late observations: ${daemonNames.join()}`,
  );
}

function checkNeverReverts(observations: readonly workloads.Observation[]): Violation[] {
  const highestRevisions = new Map<string, number>();
  let revertedCount = 0;
  observations.forEach((observation) => {
    const highestRevision = highestRevisions.get(observation.daemon) ?? 0;
    if (observation.isConfirmed && observation.revision < highestRevision) revertedCount += 1;
    highestRevisions.set(
      observation.daemon,
      Math.max(highestRevision, observation.isConfirmed ? observation.revision : 0),
    );
  });
  return expectNone('changes never revert', revertedCount, 'observations of a lower revision');
}

async function readLog(target: fleets.FleetTarget): Promise<TargetLog> {
  const log = await http.getJson<{ runs?: EngineRun[]; bookings?: Booking[] }>(
    `${target.standin.url}/log`,
  );
  return { target: target.name, runs: log.runs ?? [], bookings: log.bookings ?? [] };
}
