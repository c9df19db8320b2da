/**
 * Compares two transports for answers between daemons: a gRPC server stream and a plain HTTP
 * stream. Server and client run in this process, so the processor time covers both ends.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as grpc from '@grpc/grpc-js';
import * as undici from 'undici';

/** The cost of one answer on one transport. */
export interface TransportCost {
  readonly transport: string;
  readonly round: number;
  readonly answers: number;
  readonly microsecondsPerAnswer: number;
  readonly medianMs: number;
}

type SendAnswer = () => Promise<void>;

const ADDRESS = '127.0.0.1';
const EVENTS_PER_ANSWER = 12;
const EVENT_BYTES = Buffer.from(`id: 21\ndata: ${JSON.stringify({ text: 'x'.repeat(105) })}\n\n`);
const CONCURRENCY = 64;
const ANSWERS_PER_ROUND = 5000;
const ROUNDS = 3;

const METHOD: grpc.MethodDefinition<Buffer, Buffer> = {
  path: '/azureworks.Answer/Stream',
  requestStream: false,
  responseStream: true,
  requestSerialize: (bytes) => bytes,
  requestDeserialize: (bytes) => bytes,
  responseSerialize: (bytes) => bytes,
  responseDeserialize: (bytes) => bytes,
};

/** Measures both transports alternately, several rounds each. */
export async function compareTransports(): Promise<TransportCost[]> {
  const httpTransport = await startHttp();
  const grpcTransport = await startGrpc();
  const costs: TransportCost[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    costs.push(await measure('http', round, httpTransport.send));
    costs.push(await measure('grpc', round, grpcTransport.send));
  }
  await httpTransport.close();
  await grpcTransport.close();
  return costs;
}

async function measure(transport: string, round: number, send: SendAnswer): Promise<TransportCost> {
  const durations: number[] = [];
  let started = 0;
  const usageBefore = process.cpuUsage();
  const worker = async (): Promise<void> => {
    while (started < ANSWERS_PER_ROUND) {
      started += 1;
      const startMs = performance.now();
      await send();
      durations.push(performance.now() - startMs);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
  const processorUsage = process.cpuUsage(usageBefore);
  durations.sort((first, second) => first - second);
  return {
    transport,
    round,
    answers: durations.length,
    microsecondsPerAnswer: (processorUsage.user + processorUsage.system) / durations.length,
    medianMs: durations[Math.floor(durations.length / 2)],
  };
}

async function startHttp(): Promise<{ send: SendAnswer; close: () => Promise<void> }> {
  const server = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      for (let event = 0; event < EVENTS_PER_ANSWER; event += 1) response.write(EVENT_BYTES);
      response.end();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, ADDRESS, resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const pool = new undici.Pool(`http://${ADDRESS}:${port}`, { connections: CONCURRENCY });
  return {
    send: async () => {
      const response = await pool.request({ method: 'POST', path: '/', body: EVENT_BYTES });
      await response.body.dump();
    },
    close: async () => {
      await pool.destroy();
      server.close();
    },
  };
}

async function startGrpc(): Promise<{ send: SendAnswer; close: () => Promise<void> }> {
  const server = new grpc.Server();
  server.addService(
    { stream: METHOD },
    {
      stream: (call: grpc.ServerWritableStream<Buffer, Buffer>) => {
        for (let event = 0; event < EVENTS_PER_ANSWER; event += 1) call.write(EVENT_BYTES);
        call.end();
      },
    },
  );
  const port = await new Promise<number>((resolve, reject) => {
    const credentials = grpc.ServerCredentials.createInsecure();
    server.bindAsync(`${ADDRESS}:0`, credentials, (error, bound) => {
      if (error) reject(error);
      else resolve(bound);
    });
  });
  const client = new grpc.Client(`${ADDRESS}:${port}`, grpc.credentials.createInsecure());
  return {
    send: () =>
      new Promise((resolve, reject) => {
        const { path, requestSerialize, responseDeserialize } = METHOD;
        const call = client.makeServerStreamRequest(
          path,
          requestSerialize,
          responseDeserialize,
          EVENT_BYTES,
        );
        call.on('data', () => {});
        call.on('end', resolve);
        call.on('error', reject);
      }),
    close: async () => {
      client.close();
      server.forceShutdown();
    },
  };
}
