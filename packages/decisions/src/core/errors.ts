/**
 * The table of all errors. Each has a machine-readable code, an HTTP status and a default verdict,
 * which the code that raises the error may override.
 */
import * as verdicts from './verdict';

interface ErrorDefinition {
  readonly status: number;
  readonly verdict: verdicts.VerdictKind;
  readonly message: string;
}

const { NotRun, MayHaveRun } = verdicts.VerdictKind;

/** Every error that the system reports, keyed by its code. */
export const ErrorTable = {
  'malformed-json': { status: 400, verdict: NotRun, message: 'the body is not valid JSON' },
  'invalid-request': { status: 400, verdict: NotRun, message: 'the request is not valid' },
  'bad-deadline': { status: 400, verdict: NotRun, message: 'the deadline is not valid' },
  unauthorized: { status: 401, verdict: NotRun, message: 'the token is missing or wrong' },
  'unknown-tenant': { status: 403, verdict: NotRun, message: 'the tenant is not configured' },
  'unknown-deployment': { status: 404, verdict: NotRun, message: 'the deployment is unknown' },
  'unknown-service': { status: 404, verdict: NotRun, message: 'the service is unknown' },
  'unknown-trainer': { status: 404, verdict: NotRun, message: 'the trainer is unknown' },
  'unknown-step': { status: 404, verdict: NotRun, message: 'the step has not been submitted' },
  'unknown-route': { status: 404, verdict: NotRun, message: 'no route matches the request' },
  'unknown-job': { status: 404, verdict: NotRun, message: 'there is no such batch job' },
  'unknown-item': { status: 404, verdict: NotRun, message: 'the batch job has no such item' },
  'not-found': { status: 404, verdict: NotRun, message: 'there is no such resource' },
  conflict: { status: 409, verdict: NotRun, message: 'another change was accepted first' },
  'stale-fence': { status: 409, verdict: NotRun, message: 'the fencing number is out of date' },
  'request-in-progress': {
    status: 409,
    verdict: MayHaveRun,
    message: 'the same request is still in progress',
  },
  'request-barred': { status: 409, verdict: NotRun, message: 'the attempt was given up before' },
  'target-replaced': { status: 409, verdict: NotRun, message: 'the target was replaced' },
  'body-too-slow': {
    status: 408,
    verdict: NotRun,
    message: 'the body arrives too slowly',
  },
  'body-too-large': { status: 413, verdict: NotRun, message: 'the body is too large' },
  'invalid-configuration': {
    status: 422,
    verdict: NotRun,
    message: 'the configuration is not valid',
  },
  overloaded: { status: 429, verdict: NotRun, message: 'the load is too high; try again later' },
  'target-failed': { status: 502, verdict: MayHaveRun, message: 'the target failed' },
  'outcome-unknown': { status: 502, verdict: MayHaveRun, message: 'the outcome is not known' },
  'memory-exhausted': {
    status: 503,
    verdict: NotRun,
    message: 'the memory for open work has no room for the request',
  },
  'inefficient-body': {
    status: 503,
    verdict: NotRun,
    message: 'the body arrives in very small pieces, as too many others do',
  },
  'too-many-connections': {
    status: 503,
    verdict: NotRun,
    message: 'there are too many connections of clients',
  },
  'no-target': { status: 503, verdict: NotRun, message: 'no target can take the request' },
  'rate-limited': {
    status: 503,
    verdict: NotRun,
    message: 'all targets are at the rate limits that they named',
  },
  'unknown-stream': {
    status: 503,
    verdict: NotRun,
    message: 'the stream cannot be resumed, as the software that began it is not known',
  },
  'request-quarantined': {
    status: 503,
    verdict: NotRun,
    message: 'targets ended when they ran this request before',
  },
  'store-unavailable': { status: 503, verdict: NotRun, message: 'the store cannot be reached' },
  'no-configuration': {
    status: 503,
    verdict: NotRun,
    message: 'no configuration has been read yet',
  },
  'revision-unconfirmed': {
    status: 503,
    verdict: NotRun,
    message: 'the configuration revision cannot be confirmed',
  },
  draining: { status: 503, verdict: NotRun, message: 'the daemon is stopping' },
  'deadline-exceeded': { status: 504, verdict: NotRun, message: 'the deadline has passed' },
} as const satisfies Record<string, ErrorDefinition>;

/** The code of an error. */
export type ErrorCode = keyof typeof ErrorTable;

/** A failed request or operation: what went wrong and whether it may have run. */
export interface Failure {
  readonly code: ErrorCode;
  readonly verdict: verdicts.VerdictKind;
  readonly message: string;
  /** Milliseconds to wait before a retry. */
  readonly retryAfterMs?: number;
}

/** Optional details of a failure, which override the defaults of its code. */
export interface FailureOptions {
  readonly detail?: string;
  readonly verdict?: verdicts.VerdictKind;
  readonly retryAfterMs?: number;
}

/** Creates a failure from its code; `options.detail` is appended to the message. */
export function createFailure(code: ErrorCode, options: FailureOptions = {}): Failure {
  const definition: ErrorDefinition = ErrorTable[code];
  return {
    code,
    verdict: options.verdict ?? definition.verdict,
    message: options.detail ? `${definition.message}: ${options.detail}` : definition.message,
    ...(options.retryAfterMs === undefined ? {} : { retryAfterMs: options.retryAfterMs }),
  };
}

/** Statuses that promise a caller that its request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether an HTTP status promises that the request has not run and never will. */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** The HTTP status of a failure. It promises nothing that the verdict does not hold. */
export function getHttpStatus({ code, verdict }: Failure): number {
  const { status } = ErrorTable[code];
  const isKept = verdict === NotRun || !promisesNotRun(status);
  return isKept ? status : ErrorTable['outcome-unknown'].status;
}

/** Whether `text` is an error code. */
export function isErrorCode(text: unknown): text is ErrorCode {
  return typeof text === 'string' && Object.hasOwn(ErrorTable, text);
}
