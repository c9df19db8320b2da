/**
 * Names of the HTTP headers that callers, entries and target daemons exchange.
 */

/** Header names in lower case. */
export const Header = {
  Attempt: 'x-azureworks-attempt',
  DeadlineMs: 'x-azureworks-deadline-ms',
  Idempotent: 'x-azureworks-idempotent',
  /** The incarnation of the target daemon that an attempt is meant for. */
  Incarnation: 'x-azureworks-incarnation',
  Load: 'x-azureworks-load',
  Priority: 'x-azureworks-priority',
  /** The caller's own id of a request, as in the IETF draft on idempotency keys. */
  RequestId: 'idempotency-key',
  Organisation: 'x-azureworks-tenant',
  Verdict: 'x-azureworks-verdict',
  ErrorCode: 'x-azureworks-error',
  WeightVersions: 'x-azureworks-weight-versions',
  LastEventId: 'last-event-id',
} as const;
