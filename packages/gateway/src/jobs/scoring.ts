/**
 * Scores the complete text of an item, by the scoring call that was submitted with the item.
 */
import type * as environments from '../types/environment';
import type * as organisations from '../types/organisation';
import * as answerPolicies from '../requests/answer-policy';
import type * as forwarders from '../requests/forwarder';
import type * as progress from './item-progress';
import type * as ownedJobs from './owned-job';
import type * as scoringQueues from './scoring-queue';

export interface ScoringOptions {
  readonly environment: environments.Environment;
  readonly forwarder: forwarders.Forwarder;
  readonly queue: scoringQueues.ScoringQueue;
  readonly identifyOrganisation: (name: string | undefined) => organisations.RequestOrganisation;
}

/** How scoring ended; `abandoned` when the job was closed first. */
export interface ScoringEnd {
  readonly kind: 'scored' | 'failed' | 'abandoned';
  readonly failedAnswers: number;
  readonly mostAttempts: number;
}

/** Timeout of one scoring call; a call usually takes tens of milliseconds. */
const SCORING_TIMEOUT_MS = 1500;
/** Backoff after a call that got no score. */
const RETRY_BACKOFF_MS = 60;

/**
 * Repeats the scoring call until it returns a score, as many answers were failures as the routes of
 * the call and of the job allow attempts, or the job is closed.
 */
export async function scoreItem(
  options: ScoringOptions,
  job: ownedJobs.OwnedJob,
  itemProgress: progress.ItemProgress,
): Promise<ScoringEnd> {
  const { scoring } = itemProgress.item;
  let failedAnswers = 0;
  let mostAttempts = job.giveUpLimits.maximumAttempts;
  const createEnd = (kind: ScoringEnd['kind']): ScoringEnd => ({
    kind,
    failedAnswers,
    mostAttempts,
  });
  if (!scoring || itemProgress.score !== undefined) return createEnd('scored');
  const path = scoring.path.split('?')[0] ?? scoring.path;
  const rank = { submittedMs: job.head.submittedMs, position: itemProgress.index };
  const { queue, forwarder } = options;
  const findRoute = (): string => forwarder.findRouteName(scoring.host, path) ?? '';
  if (!queue.isEmpty(findRoute())) await queue.wait(findRoute(), rank);
  while (job.isOpen) {
    const resumeNext = (): void => queue.resumeNext(findRoute());
    const end = await forwarder.send({
      request: {
        id: scoring.id,
        method: 'POST',
        target: scoring.path,
        host: scoring.host,
        headers: [],
        body: scoring.body,
        organisation: options.identifyOrganisation(undefined),
      },
      path,
      deadlineMs: SCORING_TIMEOUT_MS,
      signal: new AbortController().signal,
      onPlaced: resumeNext,
    });
    if (end.attempts > 0) resumeNext();
    const answer = end.reply.kind === 'answer' ? end.reply.answer : undefined;
    if (answer && answerPolicies.isSignedSuccess(answer)) {
      itemProgress.score = answer.signature;
      return createEnd('scored');
    }
    failedAnswers += end.failedAnswers;
    mostAttempts = Math.max(
      forwarder.getMaximumAttempts(scoring.host, path),
      job.giveUpLimits.maximumAttempts,
    );
    options.environment.log.info('scoring failed', {
      job: job.id,
      item: itemProgress.item.id,
      request: scoring.id,
      attempts: end.attempts,
      failedAnswers,
      mostAttempts,
    });
    if (failedAnswers >= mostAttempts) return createEnd('failed');
    if (end.attempts > 0) await options.environment.pause(RETRY_BACKOFF_MS);
    else await queue.wait(findRoute(), rank);
  }
  queue.resumeNext(findRoute());
  return createEnd('abandoned');
}
