/**
 * An answer of a stand-in that is not a plain 200.
 */

/** An answer with a status of its own. */
export class StatusAnswer {
  private constructor(
    readonly status: number,
    readonly body: unknown,
  ) {}

  static create(status: number, body: unknown = {}): StatusAnswer {
    return new StatusAnswer(status, body);
  }
}
