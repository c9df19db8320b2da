/**
 * The entry's end of a link to a target daemon.
 */
import * as grpc from '@grpc/grpc-js';
import type * as credentials from '../types/credentials';
import type * as messages from '../types/messages';
import * as controlCodec from './control-codec';
import * as services from './services';

const service = services.defineLinkService(controlCodec.CONTROL_CODEC);

/** What the owner of a link is told. */
export interface LinkEvents {
  receive(message: messages.TargetMessage): void;
  /** Called once, when the link is gone for any reason. */
  close(): void;
}

/** An open link to one target daemon. */
export class LinkClient {
  private isClosed = false;

  private constructor(
    private readonly client: grpc.Client,
    private readonly call: grpc.ClientDuplexStream<messages.EntryMessage, messages.TargetMessage>,
    private readonly events: LinkEvents,
  ) {}

  /** Opens a link to the control address `IP:PORT` of a target daemon. */
  static create(
    target: string,
    source: credentials.CredentialSource,
    events: LinkEvents,
  ): LinkClient {
    const channelCredentials = source.createChannelCredentials();
    const client = new grpc.Client(target, channelCredentials, services.CHANNEL_OPTIONS);
    const { path, requestSerialize, responseDeserialize } = service.open;
    const call = client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize);
    const link = new LinkClient(client, call, events);
    call.on('data', (message: messages.TargetMessage) => events.receive(message));
    call.on('error', () => link.close());
    call.on('end', () => link.close());
    return link;
  }

  send(message: messages.EntryMessage): void {
    if (!this.isClosed) this.call.write(message);
  }

  /** Closes the link; the owner is told once. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.call.cancel();
    this.client.close();
    this.events.close();
  }
}
