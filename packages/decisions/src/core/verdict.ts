/**
 * The verdict says whether a request may have run. It is carried on every path, from the process
 * beside a target to the caller, and it alone decides whether a request may be attempted again.
 */

/** Whether a request ran. */
export const VerdictKind = {
  /** No target received the request, and none will. */
  NotRun: 'not-run',
  /** A target ran the request and its answer is known. */
  Ran: 'ran',
  /** A target may have received the request; its outcome is unknown. */
  MayHaveRun: 'may-have-run',
} as const;
export type VerdictKind = (typeof VerdictKind)[keyof typeof VerdictKind];

const VERDICT_KINDS: ReadonlySet<string> = new Set(Object.values(VerdictKind));

/** Whether `text` names a verdict. */
export function isVerdictKind(text: unknown): text is VerdictKind {
  return typeof text === 'string' && VERDICT_KINDS.has(text);
}

/** Whether a request with this verdict may be attempted again. */
export function isRetryable(verdict: VerdictKind, isIdempotent: boolean): boolean {
  if (verdict === VerdictKind.NotRun) return true;
  return isIdempotent && verdict === VerdictKind.MayHaveRun;
}

/** The verdict over several attempts at the same request: the least certain failure wins. */
export function combineVerdicts(verdicts: readonly VerdictKind[]): VerdictKind {
  if (verdicts.includes(VerdictKind.Ran)) return VerdictKind.Ran;
  if (verdicts.includes(VerdictKind.MayHaveRun)) return VerdictKind.MayHaveRun;
  return VerdictKind.NotRun;
}
