/**
 * The codec for all control messages of this process.
 */
import * as countingCodec from './counting-codec';
import * as jsonCodec from './json-codec';
import * as traffic from './traffic';

/** Encodes messages as JSON and counts them as control traffic. */
export const CONTROL_CODEC = countingCodec.CountingCodec.create(
  jsonCodec.JsonCodec.create(),
  traffic.CONTROL_TRAFFIC,
);
