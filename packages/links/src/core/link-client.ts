/**
 * The entry's side of a link to a target daemon.
 */
import * as grpc from '@grpc/grpc-js';
import type * as credentials from '../types/credentials';
import type * as messages from '../types/messages';
import * as controlCodec from './control-codec';
import * as services from './services';

const service = services.defineLinkService(controlCodec.CONTROL_CODEC);

/** Callbacks for the owner of a link. */
export interface LinkEvents {
  receive(message: messages.TargetMessage): void;
  /** Called once when the link is closed, for whatever reason. */
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

  /** Opens a link to a target daemon at its control address, `IP:PORT`. */
  static create(
    controlAddress: string,
    credentialSource: credentials.CredentialSource,
    events: LinkEvents,
  ): LinkClient {
    const channelCredentials = credentialSource.createChannelCredentials();
    const client = new grpc.Client(controlAddress, channelCredentials, services.CHANNEL_OPTIONS);
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

  /** Closes the link and notifies its owner, once. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.call.cancel();
    this.client.close();
    this.events.close();
  }
}
