/**
 * Ends the responses to requests that are refused before their body is read. A client that still sends
 * would not see the response if its connection was closed at once, so that the rest is read and dropped:
 * of a few connections at a time, up to a number of bytes, and after that they stay open unread for the rest of
 * a bounded time: a reset would discard the response that their client has not read yet. Others are closed at
 * once, since what is read and dropped takes time and leaves garbage.
 */
import type * as http from 'node:http';

/** Connections of which the rest is read at the same time. */
const MAXIMUM_CONNECTIONS = 4;
/** How long the rest of a request is read, in milliseconds; a body within the limits takes less. */
const TIMEOUT_MS = 2000;
/** What each piece counts in addition to its bytes, as tiny ones take time as well, in bytes. */
const PIECE_OVERHEAD_BYTES = 1024;

/** The refused requests of which the rest is read. */
export class RequestDrain {
  private connectionCount = 0;

  static create(): RequestDrain {
    return new RequestDrain();
  }

  /**
   * Ends a response whose head and body are written already, and which closes its connection.
   * @param maximumBytes how much of the request is read at most; 0 closes the connection at once
   */
  end(request: http.IncomingMessage, response: http.ServerResponse, maximumBytes: number): void {
    if (request.complete) {
      response.end();
      return;
    }
    if (maximumBytes === 0 || this.connectionCount >= MAXIMUM_CONNECTIONS) {
      closeAtOnce(request, response);
      return;
    }
    this.connectionCount += 1;
    let receivedBytes = 0;
    let isEnded = false;
    const finish = (): void => {
      if (isEnded) return;
      isEnded = true;
      this.connectionCount -= 1;
      closeAtOnce(request, response);
    };
    const timer = setTimeout(finish, TIMEOUT_MS);
    request.on('data', (bytes: Buffer) => {
      receivedBytes += bytes.length + PIECE_OVERHEAD_BYTES;
      if (receivedBytes > maximumBytes) request.pause();
    });
    request.once('end', finish);
    response.once('close', () => {
      clearTimeout(timer);
      finish();
    });
    request.resume();
  }
}

/**
 * Hands the response to the kernel and closes the socket. Without the latter, the server would read on until
 * the response is sent, 2 MB at a time.
 */
function closeAtOnce(request: http.IncomingMessage, response: http.ServerResponse): void {
  response.end();
  if (!request.complete) request.socket.destroy();
}
