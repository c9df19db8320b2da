import * as net from 'node:net';
import * as stream from 'node:stream';
import * as runtime from '@azureworks/runtime';
import * as fastCheck from 'fast-check';
import * as undici from 'undici';
import * as localSystem from './support/local-system';

const COMPLETIONS = '/v1/engines/lm/completions';

describe('bad input', () => {
  let system: localSystem.LocalSystem;

  beforeAll(async () => {
    system = await localSystem.LocalSystem.create();
  });

  afterAll(() => system.stop());

  const cases: [string, string, unknown, Record<string, string>, number, string][] = [
    ['malformed JSON', COMPLETIONS, '{"prompt":', {}, 400, 'malformed-json'],
    ['a missing prompt', COMPLETIONS, {}, {}, 400, 'invalid-request'],
    ['an oversized body', COMPLETIONS, 'x'.repeat(20_000), {}, 413, 'body-too-large'],
    ['an unknown engine', '/v1/engines/gone/completions', {}, {}, 404, 'unknown-service'],
    ['an unknown service', '/v1/services/gone/x', {}, {}, 404, 'unknown-service'],
    ['an unknown tenant', COMPLETIONS, {}, { 'x-azureworks-tenant': 'x' }, 403, 'unknown-tenant'],
    ['a missing token', COMPLETIONS, {}, { 'x-azureworks-tenant': 'closed' }, 401, 'unauthorized'],
    [
      'a bad deadline',
      COMPLETIONS,
      {},
      { 'x-azureworks-deadline-ms': 'soon' },
      400,
      'bad-deadline',
    ],
    ['an unknown trainer', '/v1/trainers/x/steps', createStep(), {}, 404, 'unknown-trainer'],
    ['an unknown step', '/v1/trainers/coach/steps/x/take', createTake(), {}, 404, 'unknown-step'],
    ['an unknown path', '/v2/nothing', {}, {}, 404, 'not-found'],
    ['a bad change', '/v1/configuration/changes', { id: '!' }, {}, 400, 'invalid-request'],
    [
      'an invalid configuration',
      '/v1/configuration/changes',
      { id: 'bad-change', baseRevision: 1, put: { 'x.ini': '[engine e]\n' }, remove: [] },
      {},
      422,
      'invalid-configuration',
    ],
  ];

  it.each(cases)(
    'is refused with the verdict not-run: %s',
    async (_name, path, body, headers, status, code) => {
      const answer = await system.post(path, body, headers);
      expect(answer.status).toBe(status);
      const { error } = JSON.parse(answer.text) as { error: { code: string; verdict: string } };
      expect(error.code).toBe(code);
      expect(error.verdict).toBe('not-run');
    },
  );

  it('is refused from its head, before its body has come', async () => {
    const { port, hostname } = new URL(system.url);
    const headCases: [string, string, string, string][] = [
      ['/v1/services/app/bookings', 'x', '403', 'unknown-tenant'],
      ['/v1/services/app/bookings', 'closed', '401', 'unauthorized'],
      ['/v1/services/gone/bookings', 'open', '404', 'unknown-service'],
      ['/v1/trainers/nobody/steps', 'open', '404', 'unknown-trainer'],
      ['/v2/nothing', 'open', '404', 'not-found'],
    ];
    for (const [path, organisation, status, code] of headCases) {
      const socket = net.connect(Number(port), hostname);
      const head = `POST ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: 100`;
      socket.write(`${head}\r\nx-azureworks-tenant: ${organisation}\r\n\r\n`);
      let text = '';
      await new Promise<void>((resolve) => {
        socket.on('data', (bytes) => {
          text += bytes.toString('latin1');
          if (text.includes('"verdict"')) resolve();
        });
        socket.on('close', () => resolve());
      });
      socket.destroy();
      expect(text).toContain(`HTTP/1.1 ${status} `);
      expect(text).toContain(`"code":"${code}","verdict":"not-run"`);
    }
  });

  it('gives a slow body its whole deadline once it has come', async () => {
    const body = stream.Readable.from(
      (async function* sendSlowly() {
        yield Buffer.from('{');
        await runtime.pause(600);
        yield Buffer.from('}');
      })(),
    );
    const response = await undici.request(`${system.url}/v1/services/app/bookings`, {
      method: 'POST',
      headers: { 'x-azureworks-tenant': 'open', 'x-azureworks-deadline-ms': '500' },
      body,
    });
    await response.body.dump();
    expect(response.statusCode).toBe(201);
  });

  it('accepts a request with the correct token', async () => {
    const headers = { 'x-azureworks-tenant': 'closed', authorization: 'Bearer secret' };
    const answer = await system.post(COMPLETIONS, { prompt: 'p', max_tokens: 8 }, headers);
    expect(answer.status).toBe(200);
    expect(answer.text.endsWith('data: [DONE]\n\n')).toBe(true);
  });

  it('never crashes the daemon, whatever callers, trainers and operators send', async () => {
    const path = fastCheck.constantFrom(
      COMPLETIONS,
      '/v1/services/app/slots/1',
      '/v1/trainers/coach/steps',
      '/v1/trainers/coach/steps/s/take',
      '/v1/trainers/coach/weights',
      '/v1/configuration/changes',
    );
    const body = fastCheck.oneof(
      fastCheck.string(),
      fastCheck.jsonValue().map((value) => JSON.stringify(value)),
      fastCheck
        .record({ prompt: fastCheck.jsonValue(), step: fastCheck.jsonValue() })
        .map((value) => JSON.stringify(value)),
    );
    const deadline = fastCheck.oneof(fastCheck.constant('500'), fastCheck.stringMatching(/^\w*$/));
    await fastCheck.assert(
      fastCheck.asyncProperty(path, body, deadline, async (url, text, deadlineMs) => {
        const answer = await system.post(url, text, { 'x-azureworks-deadline-ms': deadlineMs });
        expect([200, 202, 400, 404, 413, 422, 429, 503, 504]).toContain(answer.status);
      }),
      { numRuns: 150, seed: 20_261_204 },
    );
    const health = await undici.request(`${system.url}/healthz`);
    expect(health.statusCode).toBe(200);
    await health.body.dump();
  });
});

function createStep(): unknown {
  return { step: 's', groups: [{ group: 'g', prompt: 'p', members: 1, max_tokens: 1 }] };
}

function createTake(): unknown {
  return { held: [], version: 0, wait_ms: 0 };
}
