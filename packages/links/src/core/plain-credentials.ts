/**
 * Credentials for plain-text connections, for networks that only the daemons can reach.
 */
import * as grpc from '@grpc/grpc-js';
import type * as credentials from '../types/credentials';

/** Creates credentials without TLS. */
export class PlainCredentials implements credentials.CredentialSource {
  static create(): PlainCredentials {
    return new PlainCredentials();
  }

  createServerCredentials(): grpc.ServerCredentials {
    return grpc.ServerCredentials.createInsecure();
  }

  createChannelCredentials(): grpc.ChannelCredentials {
    return grpc.credentials.createInsecure();
  }
}
