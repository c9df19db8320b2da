import 'reflect-metadata';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as links from '@azureworks/links';
import * as undici from 'undici';
import * as localSystem from './support/local-system';
import * as testKeys from './support/test-keys';

describe('TLS between daemons', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'azureworks-tls-'));
  let system: localSystem.LocalSystem;

  beforeAll(async () => {
    const files = await testKeys.writeKeys(folder, 'own');
    system = await localSystem.LocalSystem.create([
      '[tls]',
      `certificate_file = ${files.certificateFile}`,
      `key_file = ${files.keyFile}`,
      `authority_file = ${files.authorityFile}`,
    ]);
  });

  afterAll(async () => {
    await system.stop();
    fs.rmSync(folder, { recursive: true });
  });

  it('serves requests between daemons with TLS keys', async () => {
    const body = { prompt: 'p', max_tokens: 8 };
    const answer = await system.post('/v1/engines/lm/completions', body);
    expect(answer.status).toBe(200);
    const booking = await system.post('/v1/services/app/bookings', {}, { 'idempotency-key': 'b' });
    expect(booking.status).toBe(201);
  });

  it('refuses work from a client without a certificate', async () => {
    const { httpPort } = system.serviceDaemon.ports;
    const agent = new undici.Agent({ connect: { rejectUnauthorized: false } });
    const response = await undici.request(`https://127.0.0.1:${httpPort}/dispatch/bookings`, {
      method: 'POST',
      dispatcher: agent,
    });
    expect(response.statusCode).toBe(401);
    await response.body.dump();
    await agent.destroy();
  });

  it.each(['plain text', 'a key of another authority'])('refuses a link with %s', async (kind) => {
    const source =
      kind === 'plain text'
        ? links.PlainCredentials.create()
        : links.TlsCredentials.create(await testKeys.writeKeys(folder, 'foreign'));
    const target = `127.0.0.1:${system.engineDaemon.ports.controlPort}`;
    const received: links.TargetMessage[] = [];
    await new Promise<void>((resolve) => {
      links.LinkClient.create(target, source, {
        receive: (message) => received.push(message),
        close: resolve,
      });
    });
    expect(received).toEqual([]);
  });
});
