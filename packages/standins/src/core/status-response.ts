/**
 * A handler's result that is sent with a status other than 200.
 */

/** A response body with its HTTP status. */
export class StatusResponse {
  private constructor(
    readonly status: number,
    readonly body: unknown,
  ) {}

  static create(status: number, body: unknown = {}): StatusResponse {
    return new StatusResponse(status, body);
  }
}
