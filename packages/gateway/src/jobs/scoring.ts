/**
 * Has the whole text of an item scored by the call that came with the item.
 */
import type * as environments from '../types/environment';
import type * as forwarders from '../requests/forwarder';
import type * as progress from './item-progress';
import type * as ownedJobs from './owned-job';

/** What scoring needs. */
export interface ScoringParts {
  readonly environment: environments.Environment;
  readonly forwarder: forwarders.Forwarder;
}

/** How scoring ended. */
export type ScoringEnd = 'scored' | 'failed' | 'abandoned';

/** The time that one scoring call gets, in milliseconds; a plain answer takes tens. */
const DEADLINE_MS = 1500;
/** Pauses between calls that found no replica or no answer, in milliseconds. */
const PAUSE_MS = 60;
const FIRST_OK = 200;
const FIRST_BEYOND_OK = 300;

/**
 * Asks until there is a score, as many answers were failures as the route allows attempts, or the
 * job is closed.
 * @param leastAttempts the attempts that the item's own route allows
 */
export async function askScore(
  parts: ScoringParts,
  job: ownedJobs.OwnedJob,
  entry: progress.ItemProgress,
  leastAttempts: number,
): Promise<ScoringEnd> {
  const { scoring } = entry.item;
  if (!scoring || entry.score !== undefined) return 'scored';
  const path = scoring.path.split('?')[0] ?? scoring.path;
  let failedAnswers = 0;
  while (job.isOpen) {
    const end = await parts.forwarder.send({
      request: {
        id: scoring.id,
        method: 'POST',
        target: scoring.path,
        host: scoring.host,
        headers: [],
        body: scoring.body,
      },
      path,
      deadlineMs: DEADLINE_MS,
      signal: new AbortController().signal,
    });
    const answer = end.reply.kind === 'answer' ? end.reply.answer : undefined;
    const isOk = answer && answer.status >= FIRST_OK && answer.status < FIRST_BEYOND_OK;
    if (isOk && answer.signature !== undefined) {
      entry.score = answer.signature;
      return 'scored';
    }
    failedAnswers += end.failedAnswers;
    const mostAttempts = Math.max(parts.forwarder.countAttempts(scoring.host, path), leastAttempts);
    parts.environment.log.change('scoring failed', {
      job: job.id,
      item: entry.item.id,
      request: scoring.id,
      attempts: end.attempts,
      failedAnswers,
      mostAttempts,
    });
    if (failedAnswers >= mostAttempts) return 'failed';
    await parts.environment.pause(PAUSE_MS);
  }
  return 'abandoned';
}
