/**
 * The client of the peer service, for calls from one entry to another.
 */
import * as grpc from '@grpc/grpc-js';
import * as neverthrow from 'neverthrow';
import type * as credentials from '../types/credentials';
import type * as messages from '../types/messages';
import * as controlCodec from './control-codec';
import * as services from './services';

const service = services.definePeerService(controlCodec.CONTROL_CODEC);

/** A failed call. Control calls are idempotent, so it does not say whether the call ran. */
export interface CallFailure {
  readonly message: string;
}

/** A connection to one peer. */
export class PeerClient {
  private constructor(private readonly client: grpc.Client) {}

  /** @param controlAddress the control address of the peer, `IP:PORT` */
  static create(
    controlAddress: string,
    credentialSource: credentials.CredentialSource,
  ): PeerClient {
    const channelCredentials = credentialSource.createChannelCredentials();
    return new PeerClient(
      new grpc.Client(controlAddress, channelCredentials, services.CHANNEL_OPTIONS),
    );
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
          if (error || response === undefined)
            reject(error ?? new Error('the peer sent no response'));
          else resolve(response);
        },
      );
    });
    return neverthrow.ResultAsync.fromPromise(promise, (error) => ({
      message: (error as Error).message,
    }));
  }
}
