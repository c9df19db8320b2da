/**
 * A verdict says whether a request may have run. Every path from the daemon of a target to the
 * caller carries it, and it alone decides whether a request may be retried.
 */

/** Whether a request ran. */
export const VerdictKind = {
  /** No target has received the request, and none will. */
  NotRun: 'not-run',
  /** A target ran the request and its answer is known. */
  Ran: 'ran',
  /** A target may have received the request; its outcome is unknown. */
  MayHaveRun: 'may-have-run',
} as const;
export type VerdictKind = (typeof VerdictKind)[keyof typeof VerdictKind];

const VERDICT_KINDS: ReadonlySet<string> = new Set(Object.values(VerdictKind));

/** Whether `text` is a verdict. */
export function isVerdictKind(text: unknown): text is VerdictKind {
  return typeof text === 'string' && VERDICT_KINDS.has(text);
}

/** Whether a request with this verdict may be retried. */
export function isRetryable(verdict: VerdictKind, isIdempotent: boolean): boolean {
  if (verdict === VerdictKind.NotRun) return true;
  return isIdempotent && verdict === VerdictKind.MayHaveRun;
}

/**
 * Combines the verdicts of several attempts at the same request: `Ran` outranks `MayHaveRun`, which
 * outranks `NotRun`.
 */
export function combineVerdicts(verdicts: readonly VerdictKind[]): VerdictKind {
  if (verdicts.includes(VerdictKind.Ran)) return VerdictKind.Ran;
  if (verdicts.includes(VerdictKind.MayHaveRun)) return VerdictKind.MayHaveRun;
  return VerdictKind.NotRun;
}
