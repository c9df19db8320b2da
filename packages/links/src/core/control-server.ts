/**
 * The gRPC server on the control port of a daemon.
 */
import * as grpc from '@grpc/grpc-js';
import type * as credentials from '../types/credentials';
import type * as messages from '../types/messages';
import * as controlCodec from './control-codec';
import * as services from './services';

/** Handlers of the requests that an entry receives from other entries. */
export interface PeerHandlers {
  exchange(exchange: messages.Exchange): messages.Exchange;
  probe(probe: messages.Probe): Promise<messages.ProbeAnswer>;
  pull(request: messages.SnapshotRequest): messages.Snapshot;
  push(snapshot: messages.Snapshot): messages.Acknowledgement;
  run(order: messages.GroupOrder): Promise<messages.GroupResult>;
}

/** The target daemon's side of a link. */
export interface TargetLink {
  send(message: messages.TargetMessage): void;
}

/** Handlers of the events of links that entries open to a target daemon. */
export interface LinkHandlers {
  open(link: TargetLink): void;
  receive(link: TargetLink, message: messages.EntryMessage): void;
  close(link: TargetLink): void;
}

const codec = controlCodec.CONTROL_CODEC;

/** A gRPC server to which a daemon adds the services of its role. */
export class ControlServer {
  private constructor(
    private readonly server: grpc.Server,
    private readonly credentialSource: credentials.CredentialSource,
  ) {}

  static create(credentialSource: credentials.CredentialSource): ControlServer {
    return new ControlServer(new grpc.Server(services.CHANNEL_OPTIONS), credentialSource);
  }

  /** Adds the peer service of an entry. */
  addPeerService(handlers: PeerHandlers): void {
    this.server.addService(services.definePeerService(codec), {
      exchange: createUnaryHandler(handlers.exchange.bind(handlers)),
      probe: createUnaryHandler(handlers.probe.bind(handlers)),
      pull: createUnaryHandler(handlers.pull.bind(handlers)),
      push: createUnaryHandler(handlers.push.bind(handlers)),
      run: createUnaryHandler(handlers.run.bind(handlers)),
    });
  }

  /** Adds the link service of a target daemon. */
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

  /** Binds the port, or any free port for 0, and returns the bound port. */
  listen(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      const serverCredentials = this.credentialSource.createServerCredentials();
      this.server.bindAsync(`${address}:${port}`, serverCredentials, (error, boundPort) => {
        if (error) reject(error);
        else resolve(boundPort);
      });
    });
  }

  /** Closes the port and all connections immediately. */
  close(): void {
    this.server.forceShutdown();
  }
}

function createUnaryHandler<Request, Response>(
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
