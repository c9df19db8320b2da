/**
 * Clients outside of our control ended daemons: bodies in tiny pieces, bodies that never end, and
 * connections without end. Whatever they send to a port of a daemon, the process lives, stays within a
 * bound of memory and descriptors, and a booking is served beside them. A single request within the limits
 * is served.
 */
import * as stream from 'node:stream';
import * as untrustedClients from '../src/clients/untrusted-client';
import * as attackedFleets from './support/attacked-fleet';

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;
const MAXIMUM_MEMORY_MB = 256;
const MAXIMUM_DESCRIPTORS = 400;
const SETTINGS = [`maximum_descriptors = ${MAXIMUM_DESCRIPTORS}`];
/** How long the clients send before the booking, if they have not sent everything by then. */
const ATTACK_MS = 8000;
/** A daemon that hangs takes longer. */
const TEST_TIMEOUT_MS = 60_000;

const { MAXIMUM_BODY_BYTES, Attacked } = attackedFleets;
/** Largest bodies of trainers, operators and entries. */
const STEP_BYTES = 16 * MEBIBYTE;
const CHANGE_BYTES = 8 * MEBIBYTE;
const DISPATCH_BYTES = 64 * MEBIBYTE;

const SERVICE = '/v1/services/app/bookings';
const STEPS = '/v1/trainers/coach/steps';
const CHANGES = '/v1/configuration/changes';
const DISPATCH = '/dispatch/bookings';

const CHUNKED = 'Transfer-Encoding: chunked';
const CHUNK_BYTES = 64 * KIBIBYTE;
const PIECE = Buffer.alloc(CHUNK_BYTES, 'x');
const LARGE_CHUNK = untrustedClients.createChunk(CHUNK_BYTES);
const TINY_CHUNKS_PER_WRITE = 10_000;
const TINY_CHUNKS = Buffer.concat(
  Array.from({ length: TINY_CHUNKS_PER_WRITE }, () => untrustedClients.createChunk(1)),
);
/** What a client sends that never stops by itself, in bytes. */
const ENDLESS_BYTES = 256 * MEBIBYTE;
const RECONNECTS = 2;

type Crowd = readonly [string, attackedFleets.Attacked, number, attackedFleets.ChooseSending];

/** A step of a name of its own. */
function createWholeStep(index: number): untrustedClients.Sending {
  const body = createStep(`s${index}`, STEP_BYTES);
  const head = attackedFleets.createHead(STEPS, `Content-Length: ${body.length}`);
  return { head, piece: body, pieceCount: 1 };
}

/** A body without its last byte. */
function createUnfinished(path: string, bytes: number): untrustedClients.Sending {
  return {
    head: attackedFleets.createHead(path, `Content-Length: ${bytes}`),
    piece: PIECE,
    pieceCount: bytes / CHUNK_BYTES - 1,
    tail: PIECE.subarray(1),
  };
}

/** Chunks of one byte, without the last chunk. */
function createTinyChunks(path: string): untrustedClients.Sending {
  return {
    head: attackedFleets.createHead(path, CHUNKED),
    piece: TINY_CHUNKS,
    pieceCount: 100,
    reconnects: Number.POSITIVE_INFINITY,
  };
}

function createWhole(path: string, bytes: number): untrustedClients.Sending {
  return {
    head: attackedFleets.createHead(path, `Content-Length: ${bytes}`),
    piece: PIECE,
    pieceCount: bytes / CHUNK_BYTES,
  };
}

function createEndless(path: string): untrustedClients.Sending {
  return {
    head: attackedFleets.createHead(path, CHUNKED),
    piece: LARGE_CHUNK,
    pieceCount: ENDLESS_BYTES / CHUNK_BYTES,
    reconnects: RECONNECTS,
  };
}

const PIPELINED_REQUESTS = Buffer.from('GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'.repeat(5000));
const HALF_A_BODY = PIECE.subarray(0, 100);

const CROWDS: readonly Crowd[] = [
  ['an entry: a service, tiny chunks', Attacked.Entry, 60, createTinyChunks(SERVICE)],
  ['an entry: steps, tiny chunks', Attacked.Entry, 60, createTinyChunks(STEPS)],
  ['an entry: changes, tiny chunks', Attacked.Entry, 60, createTinyChunks(CHANGES)],
  [
    'an entry: a service, all but the end',
    Attacked.Entry,
    300,
    createUnfinished(SERVICE, MAXIMUM_BODY_BYTES),
  ],
  ['an entry: steps, all but the end', Attacked.Entry, 100, createUnfinished(STEPS, STEP_BYTES)],
  [
    'an entry: changes, all but the end',
    Attacked.Entry,
    100,
    createUnfinished(CHANGES, CHANGE_BYTES),
  ],
  ['an entry: a service, whole', Attacked.Entry, 200, createWhole(SERVICE, MAXIMUM_BODY_BYTES)],
  ['an entry: steps, whole', Attacked.Entry, 40, createWholeStep],
  [
    'an entry: pipelined requests whose answers nobody reads',
    Attacked.Entry,
    100,
    { head: '', piece: PIPELINED_REQUESTS, pieceCount: 100, isNotReading: true },
  ],
  ['an entry: a service, without end', Attacked.Entry, 40, createEndless(SERVICE)],
  ['an entry: steps, without end', Attacked.Entry, 40, createEndless(STEPS)],
  ['an entry: an unknown path, without end', Attacked.Entry, 40, createEndless('/v2/nothing')],
  [
    'an entry: steps, announced far over the limit',
    Attacked.Entry,
    40,
    {
      ...createEndless(STEPS),
      head: attackedFleets.createHead(STEPS, `Content-Length: ${16 * STEP_BYTES}`),
      piece: PIECE,
    },
  ],
  [
    'an entry: half a head on more connections than there are descriptors',
    Attacked.Entry,
    500,
    { head: `POST ${SERVICE} HTTP/1.1\r\nHost: x\r\n`, piece: PIECE, pieceCount: 0 },
  ],
  [
    'an entry: half a body on more connections than there are descriptors',
    Attacked.Entry,
    500,
    {
      head: attackedFleets.createHead(SERVICE, 'Content-Length: 200'),
      piece: HALF_A_BODY,
      pieceCount: 1,
    },
  ],
  [
    'a target: dispatches, all but the end',
    Attacked.Target,
    40,
    createUnfinished(DISPATCH, DISPATCH_BYTES),
  ],
  ['a target: dispatches, tiny chunks', Attacked.Target, 60, createTinyChunks(DISPATCH)],
  [
    'a target: half a body on more connections than there are descriptors',
    Attacked.Target,
    500,
    {
      head: attackedFleets.createHead(DISPATCH, 'Content-Length: 200'),
      piece: HALF_A_BODY,
      pieceCount: 1,
    },
  ],
  [
    'the control port of an entry: more connections than there are descriptors',
    Attacked.EntryControl,
    500,
    { head: 'PRI * HTTP/2.0\r\n\r\n', piece: PIECE, pieceCount: 0 },
  ],
  [
    'the control port of a target: more connections than there are descriptors',
    Attacked.TargetControl,
    500,
    { head: 'PRI * HTTP/2.0\r\n\r\n', piece: PIECE, pieceCount: 0 },
  ],
];

describe('daemons under untrusted clients', () => {
  let fleet: attackedFleets.AttackedFleet | undefined;

  afterEach(async () => {
    await fleet?.stop();
    fleet = undefined;
  });

  /** Checks a response, and what the process has taken until then. */
  function expectServed(received: attackedFleets.Received, status: number): void {
    const { isAlive, peaks } = fleet as attackedFleets.AttackedFleet;
    const memoryMb = Math.ceil(peaks.memoryKb / KIBIBYTE);
    // Shown together, so that a failure tells everything that was measured.
    expect({ isAlive, status: received.status, memoryMb, fds: peaks.fds }).toEqual({
      isAlive: true,
      status,
      memoryMb: Math.min(memoryMb, MAXIMUM_MEMORY_MB),
      fds: Math.min(peaks.fds, MAXIMUM_DESCRIPTORS),
    });
  }

  it.each(CROWDS)(
    'survive at %s',
    async (_what, attacked, count, sending) => {
      fleet = await attackedFleets.AttackedFleet.create(attacked, SETTINGS);
      await fleet.attack(count, sending, ATTACK_MS);
      expectServed(await fleet.bookOnce(), 201);
    },
    TEST_TIMEOUT_MS,
  );

  // What a stop waits for must not be in the hands of clients that never finish.
  it(
    'stop as planned beside bodies without end and in tiny pieces',
    async () => {
      const settings = [...SETTINGS, 'drain_timeout_ms = 3000'];
      fleet = await attackedFleets.AttackedFleet.create(Attacked.Entry, settings);
      await fleet.attack(30, createEndless(SERVICE), 1000);
      await fleet.attack(30, createTinyChunks(STEPS), 1000);
      expect(await fleet.stopDaemon()).toBe(0);
    },
    TEST_TIMEOUT_MS,
  );

  // Limits against many clients of a kind must not refuse a single one of them.
  it.each([
    ['body of the largest size', SERVICE, 201, Buffer.alloc(MAXIMUM_BODY_BYTES)],
    ['body in chunks of one byte', SERVICE, 201, createTinyBody(100 * KIBIBYTE)],
    ['step of the largest size', STEPS, 202, createStep('s', STEP_BYTES)],
    ['step above the largest size', STEPS, 413, createStep('s', 4 * STEP_BYTES)],
  ])(
    'answer a single %s',
    async (_what, path, status, body) => {
      fleet = await attackedFleets.AttackedFleet.create(Attacked.Entry);
      expectServed(await fleet.send(path, body), status);
    },
    TEST_TIMEOUT_MS,
  );
});

function createTinyBody(bytes: number): stream.Readable {
  return stream.Readable.from(Array.from({ length: bytes }, () => HALF_A_BODY.subarray(0, 1)));
}

/** A step of so many bytes, in groups with long prompts. */
function createStep(name: string, bytes: number): Buffer {
  const groupCount = 64;
  const step = (prompt: string): string =>
    JSON.stringify({
      step: name,
      groups: Array.from({ length: groupCount }, (_unused, index) => ({
        group: `g${index}`,
        prompt,
        members: 1,
        max_tokens: 1,
      })),
    });
  const promptBytes = Math.floor((bytes - step('').length) / groupCount);
  return Buffer.from(step('x'.repeat(promptBytes)));
}
