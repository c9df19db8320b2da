/**
 * The definitions of the gRPC services between daemons, without generated code: every message is
 * encoded by the codec and validated against its schema on arrival.
 */
import * as grpc from '@grpc/grpc-js';
import type * as zod from 'zod';
import type * as codecs from '../types/codec';
import * as messages from '../types/messages';

function defineMethod<Request, Response>(
  path: string,
  codec: codecs.Codec,
  isStream: boolean,
  requestSchema: zod.ZodType<Request>,
  responseSchema: zod.ZodType<Response>,
): grpc.MethodDefinition<Request, Response> {
  return {
    path,
    requestStream: isStream,
    responseStream: isStream,
    requestSerialize: (message) => codec.encode(message),
    requestDeserialize: (bytes) => requestSchema.parse(codec.decode(bytes)),
    responseSerialize: (message) => codec.encode(message),
    responseDeserialize: (bytes) => responseSchema.parse(codec.decode(bytes)),
  };
}

/** Defines the service that entries provide to each other. */
export function definePeerService(codec: codecs.Codec) {
  const { exchangeSchema, probeSchema, probeAnswerSchema } = messages;
  const { snapshotRequestSchema, snapshotSchema, acknowledgementSchema } = messages;
  const { groupOrderSchema, groupResultSchema } = messages;
  const prefix = '/azureworks.Peer';
  return {
    exchange: defineMethod(`${prefix}/Exchange`, codec, false, exchangeSchema, exchangeSchema),
    probe: defineMethod(`${prefix}/Probe`, codec, false, probeSchema, probeAnswerSchema),
    pull: defineMethod(`${prefix}/Pull`, codec, false, snapshotRequestSchema, snapshotSchema),
    push: defineMethod(`${prefix}/Push`, codec, false, snapshotSchema, acknowledgementSchema),
    run: defineMethod(`${prefix}/Run`, codec, false, groupOrderSchema, groupResultSchema),
  };
}

/** Defines the service that target daemons provide to entries. */
export function defineLinkService(codec: codecs.Codec) {
  const { entryMessageSchema, targetMessageSchema } = messages;
  return {
    open: defineMethod(
      '/azureworks.Link/Open',
      codec,
      true,
      entryMessageSchema,
      targetMessageSchema,
    ),
  };
}

/** The methods of the peer service with their paths and message types. */
export type PeerService = ReturnType<typeof definePeerService>;
/** The methods of the link service with their paths and message types. */
export type LinkService = ReturnType<typeof defineLinkService>;

/** Options of all channels and servers: a message size limit and prompt detection of dead peers. */
export const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': 16 * 1024 * 1024,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
};
