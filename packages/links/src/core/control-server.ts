/**
 * The gRPC server on the control port of a daemon.
 */
import * as net from 'node:net';
import * as intake from '@azureworks/intake';
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
  private readonly server = new grpc.Server(services.CHANNEL_OPTIONS);

  /** Accepts the connections, as the gRPC server does not limit their number. */
  private readonly listener = net.createServer({ noDelay: true });

  private readonly sockets = new Set<net.Socket>();

  private constructor(private readonly credentialSource: credentials.CredentialSource) {}

  /** @param limit of its connections */
  static create(
    credentialSource: credentials.CredentialSource,
    limit: intake.SocketLimitOptions,
  ): ControlServer {
    const server = new ControlServer(credentialSource);
    intake.SocketLimit.apply(server.listener, limit);
    return server;
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
    const { listener, server } = this;
    const injector = server.createConnectionInjector(
      this.credentialSource.createServerCredentials(),
    );
    listener.on('connection', (socket) => {
      if (socket.destroyed) return;
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      injector.injectConnection(socket);
    });
    return new Promise((resolve, reject) => {
      listener.once('error', reject);
      listener.listen(port, address, () => resolve((listener.address() as net.AddressInfo).port));
    });
  }

  /** Closes the port and all connections immediately. */
  close(): void {
    this.listener.close();
    this.server.forceShutdown();
    this.sockets.forEach((socket) => socket.destroy());
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
