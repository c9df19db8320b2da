import * as http from 'node:http';
import type * as net from 'node:net';
import * as server from '../src/core/standin-server';
import * as trainers from '../src/core/trainer';
import * as generation from '../src/utils/generation';

const OPTIONS = {
  name: 'slot-times',
  steps: 2,
  groups: 1,
  members: 1,
  meanTokens: 5,
  maximumTokens: 10,
  trainMs: 1,
  stepsAhead: 0,
  promptSeed: 'seed',
};

const SAMPLES_DELAY_MS = 50;
/** The trainer announces one version before the first step and one after each step. */
const LAST_VERSION = OPTIONS.steps + 1;

/**
 * An entry that answers the second step's request for samples late. The samples are of version 1,
 * which the request stated, and arrive after the announcement of version 2 was accepted.
 */
class SlowSamplesEntry {
  readonly server = http.createServer((request, response) => {
    this.handle(request, response);
  });

  private acceptVersion2: (() => void) | undefined;

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8')) as { version?: number };
    const path = request.url ?? '';
    const accept = (): void => {
      response.writeHead(202).end('{}');
    };
    if (path.endsWith('/steps')) accept();
    else if (path.endsWith('/weights') && body.version === 2) this.acceptVersion2 = accept;
    else if (path.endsWith('/weights')) accept();
    else {
      const step = Number(/step-(\d+)/.exec(path)?.[1]);
      const answer = createAnswer(step, body.version ?? 0);
      this.acceptVersion2?.();
      // The delay lets the trainer receive the answer to its announcement first.
      setTimeout(
        () => {
          response.writeHead(200, { 'content-type': 'application/json' }).end(answer);
        },
        step === 0 ? 0 : SAMPLES_DELAY_MS,
      );
    }
  }
}

function createAnswer(step: number, version: number): string {
  const prompt = `${OPTIONS.promptSeed} ${OPTIONS.name} step-${step} group-0`;
  const { meanTokens, maximumTokens } = OPTIONS;
  const tokens = generation.sampleLength(prompt, 0, meanTokens, maximumTokens);
  const text = generation.generateText(prompt, 0, 0, tokens);
  const sample = { id: `${step}`, text, tokens, weight_versions: [version] };
  return JSON.stringify({ remaining: 1, groups: [{ group: 'group-0', samples: [sample] }] });
}

describe('the trainer stand-in', () => {
  it('measures staleness against the version stated in its request for samples', async () => {
    const entry = new SlowSamplesEntry();
    await new Promise<void>((resolve) => {
      entry.server.listen(0, '127.0.0.1', resolve);
    });
    const trainer = trainers.TrainerStandin.create({ ...OPTIONS, entries: [entry.url] });
    const readReport = (): trainers.TrainerReport =>
      (trainer as unknown as { createReport(): trainers.TrainerReport }).createReport();
    await trainer.run();
    // The last announcement may still be in flight after run(); it is retried without limit.
    while (readReport().version < LAST_VERSION) await server.sleep(5);
    const report = readReport();
    expect(report.labels.map((label) => label.weightVersions)).toEqual([[1], [1]]);
    expect(report.labels.map((label) => label.staleness)).toEqual([0, 0]);
    expect(report.damaged).toBe(0);
    entry.server.closeAllConnections();
    entry.server.close();
  });
});
