import * as fastCheck from 'fast-check';
import * as grpc from '@grpc/grpc-js';
import * as links from '@azureworks/links';
import * as runtime from '@azureworks/runtime';

const ADDRESS = '127.0.0.1';

const MEMBER: links.Member = {
  name: 'entry-1',
  address: ADDRESS,
  httpPort: 1,
  controlPort: 2,
  failureDomain: 'one',
  region: 'default',
  incarnation: 1,
  state: links.MemberState.Alive,
};

const EXCHANGE: links.Exchange = {
  from: MEMBER,
  members: [],
  revision: 1,
  confirmedAgoMs: null,
  positions: [],
  orders: [],
};

/** Sends raw bytes to a method of the peer service. */
function sendBytes(client: grpc.Client, path: string, bytes: Uint8Array): Promise<grpc.status> {
  return new Promise((resolve) => {
    client.makeUnaryRequest(
      path,
      () => Buffer.from(bytes),
      (answer) => answer,
      undefined,
      (error) => resolve(error?.code ?? grpc.status.OK),
    );
  });
}

describe('messages between daemons', () => {
  let server: links.ControlServer;
  let port: number;
  let handledCalls = 0;

  beforeAll(async () => {
    server = links.ControlServer.create(links.PlainCredentials.create(), {
      maximumConnections: 64,
      listener: 'control',
      log: runtime.SilentLog.create(),
      metrics: runtime.Metrics.create(),
    });
    const refuse = (): never => {
      handledCalls += 1;
      throw new Error('refused');
    };
    server.addPeerService({
      exchange: () => {
        handledCalls += 1;
        return EXCHANGE;
      },
      probe: refuse,
      pull: refuse,
      push: refuse,
      run: refuse,
    });
    port = await server.listen(ADDRESS, 0);
  });

  afterAll(() => server.close());

  it('are rejected when invalid, and the server keeps serving', async () => {
    const client = new grpc.Client(`${ADDRESS}:${port}`, grpc.credentials.createInsecure());
    const methodName = fastCheck.constantFrom('Exchange', 'Probe', 'Pull', 'Push', 'Run');
    const bytes = fastCheck.oneof(
      fastCheck.uint8Array({ maxLength: 200 }),
      fastCheck.jsonValue().map((value) => Buffer.from(JSON.stringify(value))),
      fastCheck
        .record({ from: fastCheck.jsonValue(), revision: fastCheck.jsonValue() })
        .map((value) => Buffer.from(JSON.stringify({ ...EXCHANGE, ...value }))),
    );
    await fastCheck.assert(
      fastCheck.asyncProperty(methodName, bytes, async (method, content) => {
        const before = handledCalls;
        const status = await sendBytes(client, `/azureworks.Peer/${method}`, content);
        if (handledCalls === before) expect(status).not.toBe(grpc.status.OK);
      }),
      { numRuns: 200, seed: 20_261_204 },
    );
    client.close();
    const peer = links.PeerClient.create(`${ADDRESS}:${port}`, links.PlainCredentials.create());
    const answer = await peer.exchange(EXCHANGE, 5000);
    expect(answer.isOk()).toBe(true);
    peer.close();
  });

  it('are unchanged after encoding and decoding', () => {
    const codec = links.JsonCodec.create();
    expect(links.exchangeSchema.parse(codec.decode(codec.encode(EXCHANGE)))).toEqual(EXCHANGE);
  });
});
