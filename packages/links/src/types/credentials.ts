/**
 * How daemons prove to each other who they are.
 */
import type * as grpc from '@grpc/grpc-js';

/** Makes the credentials of both ends of a connection. */
export interface CredentialSource {
  createServerCredentials(): grpc.ServerCredentials;
  createChannelCredentials(): grpc.ChannelCredentials;
}
