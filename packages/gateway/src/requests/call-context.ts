/**
 * What plain and streaming calls share: what they ask of their surroundings, and when a caller that
 * was refused may come back.
 */
import type * as directories from '../replicas/directory';
import type * as replicas from '../types/replica';

/** What a call asks of its surroundings. */
export interface CallParts {
  readonly caller: replicas.ReplicaCaller;
  readonly nowMs: () => number;
  /** Chooses a replica other than those tried. */
  readonly choose: (tried: ReadonlySet<string>) => directories.KnownReplica | undefined;
  readonly note: (
    known: directories.KnownReplica,
    outcome: replicas.CallOutcome,
    tookMs: number,
  ) => void;
}

/** A caller that was refused may come back after this, when other replicas may have room. */
export const REFUSAL_RETRY_MS = 100;
