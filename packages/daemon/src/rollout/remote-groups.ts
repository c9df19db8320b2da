/**
 * Has another entry generate a group, and gives up when that entry is no longer considered alive.
 */
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as neverthrow from 'neverthrow';

const TIMEOUT_MARGIN_MS = 1000;
const LOST_CHECK_INTERVAL_MS = 500;

/**
 * Runs a group at another entry.
 * @param isLost whether the other entry is no longer considered alive
 */
export async function runAtPeer(
  client: links.PeerClient,
  order: links.GroupOrder,
  isLost: () => boolean,
): Promise<neverthrow.Result<links.GroupResult, decisions.Failure>> {
  let timer: NodeJS.Timeout | undefined;
  const lost = new Promise<undefined>((resolve) => {
    timer = setInterval(() => {
      if (isLost()) resolve(undefined);
    }, LOST_CHECK_INTERVAL_MS);
  });
  const call = client.run(order, order.remainingMs + TIMEOUT_MARGIN_MS);
  const result = await Promise.race([call, lost]);
  clearInterval(timer);
  if (!result) return neverthrow.err(decisions.createFailure('target-failed'));
  return result.mapErr(({ message }) =>
    decisions.createFailure('target-failed', { detail: message }),
  );
}
