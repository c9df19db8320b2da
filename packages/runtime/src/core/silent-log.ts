/**
 * A log for tests.
 */
import type * as logs from './log';

/** A log that writes nothing, for tests. */
export class SilentLog implements logs.Log {
  static create(): SilentLog {
    return new SilentLog();
  }

  info(): void {}

  warn(): void {}
}
