/**
 * The interface of the credentials with which daemons authenticate to each other.
 */
import type * as grpc from '@grpc/grpc-js';

/** Creates the credentials of both sides of a connection. */
export interface CredentialSource {
  createServerCredentials(): grpc.ServerCredentials;
  createChannelCredentials(): grpc.ChannelCredentials;
}
