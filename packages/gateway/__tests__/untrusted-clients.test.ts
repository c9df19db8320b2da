/**
 * Replays the loads of untrusted clients on the decisions: which bodies and connections end first. Many
 * bodies that stopped short kept the memory from others, and connections without end all descriptors.
 */
import * as bodyIntakes from '../src/core/body-intake';
import * as clientConnections from '../src/core/client-connections';
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

  beforeEach(() => {
    connections = clientConnections.ClientConnections.create(LIMIT);
    closed = [];
    readBytes = new Map();
  });

  function open(name: string): clientConnections.ClientConnection | undefined {
    return connections.open({
      readBytes: () => readBytes.get(name) ?? 0,
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
    if (whole) connections.endRequest(whole);
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
    all.forEach((connection) => connection && connections.endRequest(connection));
    open('later');
    expect(closed[closed.length - 1]).toBe('whole-0 idle');
  });

  it('leave descriptors for files and for replicas', () => {
    expect(clientConnections.computeConnectionLimit(4096)).toBe(2922);
    expect(clientConnections.computeConnectionLimit(100)).toBe(16);
  });
});
