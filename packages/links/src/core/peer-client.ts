/**
 * Calls from one entry to another.
 */
import * as grpc from '@grpc/grpc-js';
import * as neverthrow from 'neverthrow';
import type * as credentials from '../types/credentials';
import type * as messages from '../types/messages';
import * as controlCodec from './control-codec';
import * as services from './services';

const service = services.definePeerService(controlCodec.CONTROL_CODEC);

/** A failed call; control calls are idempotent, so only the reason matters. */
export interface CallFailure {
  readonly message: string;
}

/** A connection to one peer. */
export class PeerClient {
  private constructor(private readonly client: grpc.Client) {}

  /** @param target the peer's control address, `IP:PORT` */
  static create(target: string, source: credentials.CredentialSource): PeerClient {
    const channelCredentials = source.createChannelCredentials();
    return new PeerClient(new grpc.Client(target, channelCredentials, services.CHANNEL_OPTIONS));
  }

  exchange(
    message: messages.Exchange,
    timeoutMs: number,
  ): neverthrow.ResultAsync<messages.Exchange, CallFailure> {
    return this.call(service.exchange, message, timeoutMs);
  }

  probe(
    message: messages.Probe,
    timeoutMs: number,
  ): neverthrow.ResultAsync<messages.ProbeAnswer, CallFailure> {
    return this.call(service.probe, message, timeoutMs);
  }

  pull(
    message: messages.SnapshotRequest,
    timeoutMs: number,
  ): neverthrow.ResultAsync<messages.Snapshot, CallFailure> {
    return this.call(service.pull, message, timeoutMs);
  }

  push(
    message: messages.Snapshot,
    timeoutMs: number,
  ): neverthrow.ResultAsync<messages.Acknowledgement, CallFailure> {
    return this.call(service.push, message, timeoutMs);
  }

  run(
    message: messages.GroupOrder,
    timeoutMs: number,
  ): neverthrow.ResultAsync<messages.GroupResult, CallFailure> {
    return this.call(service.run, message, timeoutMs);
  }

  /** Closes the connection. */
  close(): void {
    this.client.close();
  }

  private call<Request, Response>(
    method: grpc.MethodDefinition<Request, Response>,
    message: Request,
    timeoutMs: number,
  ): neverthrow.ResultAsync<Response, CallFailure> {
    const promise = new Promise<Response>((resolve, reject) => {
      this.client.makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        message,
        { deadline: Date.now() + timeoutMs },
        (error, response) => {
          if (error || response === undefined) reject(error ?? new Error('no answer'));
          else resolve(response);
        },
      );
    });
    return neverthrow.ResultAsync.fromPromise(promise, (error) => ({
      message: (error as Error).message,
    }));
  }
}
