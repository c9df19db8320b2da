/**
 * The codec of all control messages of this process.
 */
import * as countingCodec from './counting-codec';
import * as jsonCodec from './json-codec';
import * as traffic from './traffic';

/** JSON, counted. */
export const CONTROL_CODEC = countingCodec.CountingCodec.create(
  jsonCodec.JsonCodec.create(),
  traffic.CONTROL_TRAFFIC,
);
