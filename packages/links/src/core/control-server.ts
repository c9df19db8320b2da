/**
 * The control port of a daemon: a gRPC server that owns its socket.
 */
import * as grpc from '@grpc/grpc-js';
import type * as credentials from '../types/credentials';
import type * as messages from '../types/messages';
import * as controlCodec from './control-codec';
import * as services from './services';

/** What an entry answers to its peers. */
export interface PeerHandlers {
  exchange(exchange: messages.Exchange): messages.Exchange;
  probe(probe: messages.Probe): Promise<messages.ProbeAnswer>;
  pull(request: messages.SnapshotRequest): messages.Snapshot;
  push(snapshot: messages.Snapshot): messages.Acknowledgement;
  run(order: messages.GroupOrder): Promise<messages.GroupResult>;
}

/** The target daemon's end of a link. */
export interface TargetLink {
  send(message: messages.TargetMessage): void;
}

/** What a target daemon does with the links that entries open. */
export interface LinkHandlers {
  open(link: TargetLink): void;
  receive(link: TargetLink, message: messages.EntryMessage): void;
  close(link: TargetLink): void;
}

const codec = controlCodec.CONTROL_CODEC;

/** A gRPC server with the services that a role offers. */
export class ControlServer {
  private constructor(
    private readonly server: grpc.Server,
    private readonly source: credentials.CredentialSource,
  ) {}

  static create(source: credentials.CredentialSource): ControlServer {
    return new ControlServer(new grpc.Server(services.CHANNEL_OPTIONS), source);
  }

  /** Offers the peer service of an entry. */
  addPeerService(handlers: PeerHandlers): void {
    this.server.addService(services.definePeerService(codec), {
      exchange: answer(handlers.exchange.bind(handlers)),
      probe: answer(handlers.probe.bind(handlers)),
      pull: answer(handlers.pull.bind(handlers)),
      push: answer(handlers.push.bind(handlers)),
      run: answer(handlers.run.bind(handlers)),
    });
  }

  /** Offers the link service of a target daemon. */
  addLinkService(handlers: LinkHandlers): void {
    const open = (
      call: grpc.ServerDuplexStream<messages.EntryMessage, messages.TargetMessage>,
    ): void => {
      const link: TargetLink = {
        send: (message) => {
          if (!call.destroyed && !call.writableEnded) call.write(message);
        },
      };
      handlers.open(link);
      call.on('data', (message: messages.EntryMessage) => handlers.receive(link, message));
      call.on('end', () => call.end());
      call.on('error', () => call.end());
      call.on('close', () => handlers.close(link));
    };
    this.server.addService(services.defineLinkService(codec), { open });
  }

  /** Binds the port, 0 for any free one, and returns the port taken. */
  listen(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      const serverCredentials = this.source.createServerCredentials();
      this.server.bindAsync(`${address}:${port}`, serverCredentials, (error, boundPort) => {
        if (error) reject(error);
        else resolve(boundPort);
      });
    });
  }

  /** Closes the port and every connection. */
  close(): void {
    this.server.forceShutdown();
  }
}

function answer<Request, Response>(
  handle: (request: Request) => Response | Promise<Response>,
): grpc.handleUnaryCall<Request, Response> {
  return (call, callback) => {
    Promise.resolve(call.request)
      .then(handle)
      .then(
        (response) => callback(null, response),
        (error: Error) => callback({ code: grpc.status.INTERNAL, details: error.message }),
      );
  };
}
