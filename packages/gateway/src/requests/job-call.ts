/**
 * Tells calls about batch jobs from requests on routes: both arrive at the same address, and operators may
 * name routes whatever they like, also as the paths of calls about jobs begin.
 *
 * Load pattern: an application gets requests for `/items/N` all day, on a host of its own or beside a
 * rollout route; trainers read their jobs at any gateway, also at one that has not read the job's route
 * yet, and after the route was removed. The longest prefix selects the route, as for any request. Where
 * an application's route is selected, a request names its attempt, which a call about a job does not; a
 * host that has or had batch jobs is asked for the job all the same. What stays unclear as the store
 * gives no answer is decided by the attempt, so that an application is served without the store.
 */
import * as boundedMaps from '../jobs/bounded-map';
import * as configurations from '../types/configuration';

/** What a call on a path of batch jobs is about. */
export const CallSubject = {
  Job: 'job',
  Request: 'request',
  /** It depends on whether the host has such a job. */
  Unclear: 'unclear',
} as const;
export type CallSubject = (typeof CallSubject)[keyof typeof CallSubject];

/** What is known about a call without asking the store. */
export interface CallTraits {
  /** The route that the host and the path select. */
  readonly route: Pick<configurations.Route, 'kind'> | undefined;
  /** Whether the caller names an attempt. */
  readonly hasAttemptId: boolean;
  /** Whether the host has or had a rollout route, as far as this process knows. */
  readonly hasJobs: boolean;
}

export function classifyCall({ route, hasAttemptId, hasJobs }: CallTraits): CallSubject {
  if (!route || route.kind === configurations.RouteKind.Rollout) return CallSubject.Job;
  return hasAttemptId && !hasJobs ? CallSubject.Request : CallSubject.Unclear;
}

/** Hosts that are remembered; the oldest are forgotten first. */
const MAXIMUM_HOSTS = 4096;

/** The hosts that have or had batch jobs. A job outlives its route. */
export class JobHosts {
  private readonly hosts = boundedMaps.BoundedMap.create<true>(MAXIMUM_HOSTS);

  static create(): JobHosts {
    return new JobHosts();
  }

  has(host: string): boolean {
    return this.hosts.get(host.toLowerCase()) === true;
  }

  /** Adds the hosts of the rollout routes of a configuration. */
  add(routes: readonly Pick<configurations.Route, 'kind' | 'host'>[]): void {
    routes
      .filter(({ kind }) => kind === configurations.RouteKind.Rollout)
      .forEach(({ host }) => this.hosts.set(host.toLowerCase(), true));
  }
}
