/**
 * Finds out whether a replica has ended, after a connection to it was lost.
 *
 * A lost connection alone is no proof: connections are also reset on the way. A replica has ended
 * when its host refuses a new connection. A replica that was stopped on purpose has announced that
 * or left the directory before.
 */
import type * as directories from '../replicas/directory';
import * as replicas from '../types/replica';

export interface ReplicaProbesOptions {
  readonly directory: directories.ReplicaDirectory;
  readonly replicaClient: Pick<replicas.ReplicaClient, 'probe'>;
}

/** How long a probe may take; a host that refuses a connection does so at once. */
const PROBE_TIMEOUT_MS = 200;

/** Probes replicas, one probe for each incarnation at a time. */
export class ReplicaProbes {
  private readonly running = new Map<string, Promise<boolean>>();

  private constructor(private readonly options: ReplicaProbesOptions) {}

  static create(options: ReplicaProbesOptions): ReplicaProbes {
    return new ReplicaProbes(options);
  }

  /** Whether a replica to which a connection was lost has ended unexpectedly. */
  async hasEnded(replica: replicas.Replica): Promise<boolean> {
    if (!this.isExpectedToRun(replica)) return false;
    const key = createIncarnationKey(replica);
    const running = this.running.get(key);
    if (running) return running;
    const probe = this.probe(replica);
    this.running.set(key, probe);
    try {
      return await probe;
    } finally {
      this.running.delete(key);
    }
  }

  private async probe(replica: replicas.Replica): Promise<boolean> {
    const state = await this.options.replicaClient.probe(replica, PROBE_TIMEOUT_MS);
    return state === replicas.ListeningState.Refusing;
  }

  private isExpectedToRun(replica: replicas.Replica): boolean {
    const current = this.options.directory.get(replica.id)?.replica;
    return (
      current !== undefined &&
      !current.isDraining &&
      createIncarnationKey(current) === createIncarnationKey(replica)
    );
  }
}

/** Identifies one incarnation of a replica. */
export function createIncarnationKey({ id, address, bornMs }: replicas.Replica): string {
  return `${id}@${address}#${bornMs}`;
}
