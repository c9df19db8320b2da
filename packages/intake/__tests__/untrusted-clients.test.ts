/**
 * Replays the loads of untrusted clients on the decisions: which bodies and connections end first. Many
 * bodies that stopped short kept the memory from others, and connections without end all descriptors.
 */
import * as bodyIntakes from '../src/core/body-intake';
import * as clientConnections from '../src/core/client-connections';
import * as inputTurns from '../src/core/input-turns';
import * as memoryBudgets from '../src/core/memory-budget';

const MEBIBYTE = 1024 * 1024;
const IDLE_TIMEOUT_MS = 15_000;
const IDLE_SWEEPS = 15;

describe('the bodies that are read', () => {
  let memory: memoryBudgets.MemoryBudget;
  let intake: bodyIntakes.BodyIntake;
  let ended: string[];

  beforeEach(() => {
    memory = memoryBudgets.MemoryBudget.create(96 * MEBIBYTE);
    intake = bodyIntakes.BodyIntake.create();
    ended = [];
  });

  function open(name: string): bodyIntakes.IncomingBody {
    const reservation = memory.open();
    return intake.open(reservation, (refusal) => {
      ended.push(`${name} ${refusal}`);
      reservation.release();
    });
  }

  function openMany(count: number, name: string, bytes: number): bodyIntakes.IncomingBody[] {
    return Array.from({ length: count }, (_unused, index) => {
      const body = open(`${name}-${index}`);
      if (!intake.tryGrow(body, bytes)) intake.close(body);
      return body;
    });
  }

  function receiveAll(bodies: readonly bodyIntakes.IncomingBody[]): void {
    bodies.forEach((body) => intake.receive(body, MEBIBYTE));
  }

  function sweep(times: number, progressing: readonly bodyIntakes.IncomingBody[] = []): void {
    for (let count = 0; count < times; count += 1) {
      receiveAll(progressing);
      intake.sweep(IDLE_TIMEOUT_MS);
    }
  }

  function sendTiny(body: bodyIntakes.IncomingBody): boolean {
    let isRead = true;
    for (let count = 0; isRead && count < 100_000; count += 1) isRead = intake.receive(body, 1);
    if (!isRead) intake.close(body);
    return isRead;
  }

  it('end for a new one when they stand still, the one that does so for longest first', () => {
    openMany(1, 'first', 30 * MEBIBYTE);
    sweep(1);
    const [, progressing] = openMany(2, 'second', 25 * MEBIBYTE);
    sweep(2, progressing ? [progressing] : []);
    expect(intake.tryGrow(open('arrival'), 32 * MEBIBYTE)).toBe(true);
    expect(ended).toEqual(['first-0 too-slow']);
    expect(intake.tryGrow(open('next'), 16 * MEBIBYTE)).toBe(true);
    expect(ended).toEqual(['first-0 too-slow', 'second-0 too-slow']);
  });

  it('are not ended for a large one while they make progress, but for a small one', () => {
    openMany(200, 'large', 32 * MEBIBYTE);
    openMany(200, 'small', 64 * 1024);
    expect(ended).toEqual([]);
    expect(intake.bodyCount).toBe(202);
    openMany(400, 'later', 64 * 1024);
    expect(ended).toEqual(['large-0 no-memory']);
  });

  it('end when no byte comes for the idle timeout, also small ones', () => {
    openMany(3, 'small', 100);
    sweep(IDLE_SWEEPS);
    expect(ended).toEqual([]);
    sweep(1);
    expect(ended).toHaveLength(3);
    expect(memory.heldBytes).toBe(0);
  });

  it('end below the least rate when they are large', () => {
    const [slow] = openMany(1, 'slow', MEBIBYTE);
    if (!slow) throw new Error('no body');
    for (let count = 0; count < 5; count += 1) {
      intake.receive(slow, 16 * 1024 - 1);
      intake.sweep(IDLE_TIMEOUT_MS);
    }
    expect(ended).toEqual(['slow-0 too-slow']);
  });

  it('are few in tiny pieces: others end, until one of them stands still', () => {
    expect(sendTiny(open('single'))).toBe(true);
    const readCount = Array.from({ length: 100 }, () => sendTiny(open('crowd'))).filter(Boolean);
    expect(readCount).toHaveLength(3);
    sweep(2);
    expect(sendTiny(open('later'))).toBe(true);
    expect(ended).toEqual(['single too-slow']);
  });
});

describe('the connections of clients', () => {
  const LIMIT = 150;
  let connections: clientConnections.ClientConnections;
  let closed: string[];
  let readBytes: Map<string, number>;
  let unreadBytes: Map<string, number>;

  beforeEach(() => {
    connections = clientConnections.ClientConnections.create(LIMIT);
    closed = [];
    readBytes = new Map();
    unreadBytes = new Map();
  });

  function open(name: string): clientConnections.ClientConnection | undefined {
    return connections.open({
      readBytes: () => readBytes.get(name) ?? 0,
      writtenBytes: () => 0,
      unreadBytes: () => unreadBytes.get(name) ?? 0,
      close: (cause) => closed.push(`${name} ${cause}`),
    });
  }

  function openWhole(name: string): clientConnections.ClientConnection | undefined {
    const connection = open(name);
    if (!connection) return undefined;
    connections.beginRequest(connection);
    connections.completeRequest(connection);
    return connection;
  }

  it('stay within the limit, and whole requests among them are answered', () => {
    const whole = openWhole('ordinary');
    for (let count = 0; count < 500; count += 1) open(`half-${count}`);
    expect(connections.count).toBe(LIMIT);
    expect(closed).toHaveLength(500 - (LIMIT - 1));
    expect(closed[0]).toBe('half-0 incomplete-request');
    if (whole) connections.endRequest(whole, true);
    openWhole('next');
    expect(closed).not.toContain('ordinary idle');
  });

  it('are closed last when they make progress', () => {
    for (let count = 0; count < LIMIT; count += 1) open(`half-${count}`);
    readBytes.set('half-0', 1000);
    open('next');
    expect(closed).toEqual(['half-1 incomplete-request']);
  });

  it('are closed when idle, and refused when all carry a whole request', () => {
    const all = Array.from({ length: LIMIT }, (_unused, index) => openWhole(`whole-${index}`));
    expect(open('told')).toMatchObject({ isOverLimit: true });
    for (let count = 0; count < 20; count += 1) openWhole(`more-${count}`);
    expect(closed.filter((line) => line.endsWith('refused'))).not.toHaveLength(0);
    expect(connections.count).toBeLessThan(LIMIT * 1.1);
    all.forEach((connection) => connection && connections.endRequest(connection, true));
    open('later');
    expect(closed[closed.length - 1]).toBe('whole-0 idle');
  });

  it('are closed first when their client does not read, and at once when the memory is short', () => {
    const names = Array.from({ length: LIMIT }, (_unused, index) => `whole-${index}`);
    names.forEach((name) => openWhole(name));
    unreadBytes.set('whole-7', 1000);
    for (let count = 0; count < 3; count += 1) connections.sweep(IDLE_TIMEOUT_MS, false);
    expect(closed).toEqual([]);
    expect(open('next')).toMatchObject({ isOverLimit: false });
    expect(closed).toEqual(['whole-7 unread-response']);
    unreadBytes.set('whole-8', 1000);
    for (let count = 0; count < 3; count += 1) connections.sweep(IDLE_TIMEOUT_MS, true);
    expect(closed).toEqual(['whole-7 unread-response', 'whole-8 unread-response']);
  });

  it('are closed when their client reads nothing for a time, also beside no others', () => {
    openWhole('slow');
    unreadBytes.set('slow', 1000);
    for (let count = 0; count < 29; count += 1) connections.sweep(IDLE_TIMEOUT_MS, false);
    expect(closed).toEqual([]);
    connections.sweep(IDLE_TIMEOUT_MS, false);
    expect(closed).toEqual(['slow unread-response']);
  });

  it('have a few requests open at the same time', () => {
    const pipelining = open('pipelining');
    if (!pipelining) throw new Error('no connection');
    for (let count = 0; count < 15; count += 1) connections.beginRequest(pipelining);
    expect(connections.isPipeliningTooMuch(pipelining)).toBe(false);
    connections.beginRequest(pipelining);
    expect(connections.isPipeliningTooMuch(pipelining)).toBe(true);
    connections.endRequest(pipelining, false);
    expect(connections.isPipeliningTooMuch(pipelining)).toBe(false);
  });

  it('leave descriptors for files and for replicas', () => {
    expect(clientConnections.computeConnectionLimit(4096)).toBe(2922);
    expect(clientConnections.computeConnectionLimit(100)).toBe(16);
  });
});

describe('the turns of inputs', () => {
  const READ_BYTES = 65_536;
  /** What a byte of a body in chunks of one byte takes to parse, and one of an ordinary request. */
  const TINY_MS_PER_BYTE = 0.0005;
  const ORDINARY_MS = 0.2;
  let turns: inputTurns.InputTurns<NamedInput>;
  let parsed: { readonly name: string; readonly bytes: number }[];

  interface NamedInput extends inputTurns.Input {
    readonly name: string;
  }

  beforeEach(() => {
    turns = inputTurns.InputTurns.create();
    parsed = [];
  });

  function receive(name: string, bytes: number): NamedInput {
    const input = { ...inputTurns.InputTurns.createInput(), name };
    expect(turns.receive(input, bytes)).toBe(true);
    turns.wait(input);
    return input;
  }

  function parseNext(): NamedInput | undefined {
    const input = turns.next();
    if (!input) return undefined;
    const bytes = turns.beginSlice(input);
    const tookMs = input.name === 'ordinary' ? ORDINARY_MS : bytes * TINY_MS_PER_BYTE;
    inputTurns.adaptSlice(input, bytes, tookMs);
    parsed.push({ name: input.name, bytes });
    if (input.heldBytes > 0) turns.wait(input);
    return input;
  }

  it('let an ordinary request wait for one slice of each of a crowd at most', () => {
    const crowd = 100;
    const begunCount = 50;
    for (let index = 0; index < crowd; index += 1) receive(`tiny-${index}`, READ_BYTES);
    // Some of the crowd have begun when the request arrives, and others come after it.
    for (let count = 0; count < begunCount; count += 1) parseNext();
    receive('ordinary', 300);
    for (let index = 0; index < crowd; index += 1) receive(`later-${index}`, READ_BYTES);
    while (parseNext()?.name !== 'ordinary');
    const sliceCount = parsed.length - begunCount;
    expect(sliceCount).toBeLessThanOrEqual(crowd * 1.5);
    expect(Math.max(...parsed.map(({ bytes }) => bytes))).toBeLessThanOrEqual(2048);
    expect(parsed.some(({ name }) => name.startsWith('later'))).toBe(false);
  });

  it('let bytes that were begun have turns beside those that go on to arrive', () => {
    const begun = receive('begun', READ_BYTES);
    for (let count = 0; begun.heldBytes > 0 && count < 1000; count += 1) {
      receive(`new-${count}`, 300);
      parseNext();
    }
    expect(begun.heldBytes).toBe(0);
  });

  it('are longer for bytes that take no time', () => {
    const input = { ...inputTurns.InputTurns.createInput(), name: 'large' };
    for (let count = 0; count < 10; count += 1) {
      inputTurns.adaptSlice(input, input.sliceBytes, 0.01);
    }
    expect(input.sliceBytes).toBe(READ_BYTES);
  });

  it('hold a bounded number of bytes, and always those of an ordinary request', () => {
    const inputs: NamedInput[] = [];
    for (let index = 0; index < 3000; index += 1) {
      const input = { ...inputTurns.InputTurns.createInput(), name: `crowd-${index}` };
      if (turns.receive(input, READ_BYTES)) inputs.push(input);
    }
    expect(turns.isFull).toBe(true);
    expect(turns.heldBytes).toBeLessThanOrEqual(16 * MEBIBYTE);
    receive('ordinary', 300);
    inputs.forEach((input) => turns.remove(input));
    expect(turns.isFull).toBe(false);
    expect(turns.heldBytes).toBe(300);
  });
});
