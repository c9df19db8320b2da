/**
 * The versions of weights that a replica has. Its row tells them some time after a load; its answers and reports tell
 * them earlier. Versions mostly increase, but the weights of a replica can go back.
 *
 * Load pattern: a replica loads a version every few seconds, writes its row every second, and answers tens of requests
 * per second. After a load its answers are ahead of its row. If they tell an older version than the row does, the
 * replica has gone back, and its next row tells so, too.
 */

interface Observation {
  readonly version: number;
  readonly atMs: number;
  /** Since when rows have told another version. */
  readonly contradictedSinceMs?: number | undefined;
}

interface Registration {
  readonly version: number;
  /** When a row first told this version. */
  readonly sinceMs: number;
}

/** Rows that tell another version than an answer for so long were written after it. */
const MAXIMUM_ROW_LAG_MS = 3000;

/** What is known of the weights of one incarnation of a replica. */
export class WeightVersions {
  private readonly registrations = new Map<string, Registration>();

  private readonly observations = new Map<string, Observation>();

  static create(): WeightVersions {
    return new WeightVersions();
  }

  /** The version of a model that the replica has; undefined when it does not serve it. */
  get(model: string): number | undefined {
    const registration = this.registrations.get(model);
    const observation = this.observations.get(model);
    if (!registration || !observation) return (observation ?? registration)?.version;
    const isObservedLater = observation.atMs >= registration.sinceMs;
    if (observation.version < registration.version && !isObservedLater) return registration.version;
    return observation.version;
  }

  /** Records the versions of a row that arrived. */
  recordRow(versions: ReadonlyMap<string, number>, nowMs: number): void {
    versions.forEach((version, model) => {
      const former = this.registrations.get(model);
      if (former?.version !== version) this.registrations.set(model, { version, sinceMs: nowMs });
      if (former !== undefined && version < former.version) this.observations.delete(model);
      else this.compareWithRow(model, version, nowMs);
    });
  }

  /**
   * Records a version that an answer or a report told. Answers may overtake each other, so an older version in
   * the answer to an earlier request tells nothing.
   * @param atMs before the replica told it; when the request was sent, for example
   */
  recordObserved(model: string, version: number, atMs: number): void {
    const latest = this.observations.get(model);
    if (latest && atMs < latest.atMs && version <= latest.version) return;
    this.observations.set(model, { version, atMs: Math.max(atMs, latest?.atMs ?? atMs) });
  }

  /** Drops an observation that the rows have contradicted for long. */
  private compareWithRow(model: string, version: number, nowMs: number): void {
    const observation = this.observations.get(model);
    if (!observation) return;
    const isContradicted = version !== observation.version;
    const contradictedSinceMs = isContradicted
      ? (observation.contradictedSinceMs ?? nowMs)
      : undefined;
    if (nowMs - (contradictedSinceMs ?? nowMs) < MAXIMUM_ROW_LAG_MS) {
      this.observations.set(model, { ...observation, contradictedSinceMs });
    } else this.observations.delete(model);
  }
}
