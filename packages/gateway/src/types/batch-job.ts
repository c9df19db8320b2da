/**
 * Batch jobs: the items of one training step, submitted together and run asynchronously.
 */

/** The call that scores an item's text. */
export interface ScoringCall {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
}

/** An item of a batch job. */
export interface Item {
  readonly id: string;
  readonly path: string;
  /** Header names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Items of a group share their prompt; empty when the job has no groups. */
  readonly group: string;
  readonly model: string;
  /** Prompt tokens plus the maximum number of output tokens. */
  readonly tokens: number;
  /** The caller's estimate of the number of output tokens, if it gave one. */
  readonly expectedOutputTokens: number | undefined;
  /** The most output tokens that its text may have, if the caller told; each event has at least one. */
  readonly maximumOutputTokens?: number | undefined;
  readonly scoring: ScoringCall | undefined;
}

/** A batch job as it was submitted. */
export interface BatchJob {
  readonly id: string;
  readonly host: string;
  /** The path under which it was submitted; it selects the route. */
  readonly path: string;
  readonly step: number;
  readonly model: string;
  /** The oldest version of the weights that may produce an event. */
  readonly oldestVersion: number;
  /** Number of complete groups that the trainer waits for. */
  readonly wantedGroups: number;
  /** The organisation that submitted it; undefined when it needed none. */
  readonly organisation?: string | undefined;
  readonly items: readonly Item[];
}

/** A batch job as it is submitted. Its items are decoded each time that they are listed, one by one. */
export type SubmittedJob = Omit<BatchJob, 'items'> & { readonly items: Iterable<Item> };

/** How an item ended. */
export const ResultState = { Completed: 'completed', Terminated: 'terminated' } as const;
export type ResultState = (typeof ResultState)[keyof typeof ResultState];

/** The result of an item. */
export interface ItemResult {
  readonly itemId: string;
  readonly state: ResultState;
  readonly text: string;
  /** All versions of the weights that produced an event of the text. */
  readonly versions: readonly number[];
  readonly score: string | undefined;
}
