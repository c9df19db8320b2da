/**
 * Records trials of replicas that failed recently, and their successes, for the operator as well. Log lines
 * come once for each ejection, not for each trial.
 */
import type * as environments from '../types/environment';
import type * as directories from './directory';
import * as replicaHealths from './replica-health';

/** The events of a stream that prove that a replica works; a whole stream may take many seconds. */
export const EVENTS_OF_PROGRESS = 4;

/** Records that a replica was selected, which is a trial unless it is healthy. */
export function recordSelection(
  environment: environments.Environment,
  directory: Pick<directories.ReplicaDirectory, 'listAll'>,
  tracked: directories.TrackedReplica,
): void {
  const nowMs = environment.nowMs();
  const { health, replica } = tracked;
  const condition = health.getCondition(nowMs);
  if (condition === replicaHealths.ReplicaCondition.Healthy) return;
  const { id, service } = replica;
  environment.metrics.count('replica_trials', { service, condition });
  if (!health.beginTrial(nowMs)) return;
  showConditions(environment, directory);
  environment.log.info('replica tried again', { replica: id, service, condition });
}

/** The gauges appear with the first trial, so that they are absent where replicas do not fail. */
function showConditions(
  { metrics, nowMs }: environments.Environment,
  directory: Pick<directories.ReplicaDirectory, 'listAll'>,
): void {
  const { Ejected, Probation } = replicaHealths.ReplicaCondition;
  [Ejected, Probation].forEach((condition) => {
    const isCounted = ({ health }: directories.TrackedReplica): boolean =>
      health.getCondition(nowMs()) === condition;
    metrics.gauge(
      'replicas_avoided',
      { condition },
      () => directory.listAll().filter(isCounted).length,
    );
  });
}

/** Records a successful request. */
export function recordSuccess(
  environment: environments.Environment,
  tracked: directories.TrackedReplica,
  startedMs: number,
): void {
  if (tracked.health.recordSuccess(startedMs)) reportHealthy(environment, tracked);
}

/**
 * Records that a stream has brought `EVENTS_OF_PROGRESS` events.
 * @returns whether the replica is healthy again
 */
export function recordProgress(
  environment: environments.Environment,
  tracked: directories.TrackedReplica,
  startedMs: number,
): boolean {
  if (!tracked.health.recordProgress(startedMs)) return false;
  reportHealthy(environment, tracked);
  return true;
}

function reportHealthy(
  environment: environments.Environment,
  { replica: { id, service } }: directories.TrackedReplica,
): void {
  environment.metrics.count('replicas_healthy_again', { service });
  environment.log.info('replica healthy again', { replica: id, service });
}
