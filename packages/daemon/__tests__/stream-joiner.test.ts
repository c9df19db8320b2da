import * as fastCheck from 'fast-check';
import * as joiners from '../src/entry/stream-joiner';

/** The events of an answer from token `from` to token `to`, two tokens in each. */
function createEvents(from: number, to: number, version: number): string[] {
  const events: string[] = [];
  for (let position = from; position < to; position += 2) {
    const data = JSON.stringify({
      text: `t${position} t${position + 1} `,
      weight_version: version,
    });
    events.push(`id: ${position + 2}\ndata: ${data}\n\n`);
  }
  return events;
}

function createEnd(versions: number[], total: number): string {
  const summary = JSON.stringify({ weight_versions: versions, total_tokens: total });
  return `event: summary\ndata: ${summary}\n\ndata: [DONE]\n\n`;
}

/** Cuts bytes at arbitrary places. */
function pushInPieces(joiner: joiners.StreamJoiner, text: string, sizes: number[]): string {
  let rest = Buffer.from(text);
  let passed = '';
  for (let turn = 0; rest.length > 0; turn += 1) {
    const size = sizes[turn % sizes.length];
    passed += joiner.push(rest.subarray(0, size))?.toString() ?? '';
    rest = rest.subarray(size);
  }
  return passed;
}

const SIZES = fastCheck.array(fastCheck.integer({ min: 1, max: 60 }), { minLength: 1 });

describe('stream joiner', () => {
  it('passes an answer on unchanged, however it is cut into pieces', () => {
    fastCheck.assert(
      fastCheck.property(SIZES, (sizes) => {
        const joiner = joiners.StreamJoiner.create();
        const answer = createEvents(0, 20, 3).join('') + createEnd([3], 20);
        expect(pushInPieces(joiner, answer, sizes)).toBe(answer);
        expect(joiner.isComplete()).toBe(true);
      }),
    );
  });

  it('joins a broken answer with its continuation, without a seam, a gap or a doubled part', () => {
    fastCheck.assert(
      fastCheck.property(SIZES, fastCheck.integer({ min: 0, max: 700 }), (sizes, cut) => {
        const joiner = joiners.StreamJoiner.create();
        const first = createEvents(0, 20, 3).join('').slice(0, cut);
        pushInPieces(joiner, first, sizes);
        expect(joiner.isComplete()).toBe(false);
        const resume = joiner.breakOff();
        const from = Number(resume?.lastEventId ?? 0);
        const rest = createEvents(from, 20, 4).join('') + createEnd(from < 20 ? [4] : [], 20);
        pushInPieces(joiner, rest, sizes);
        expect(joiner.isComplete()).toBe(true);
        expect(joiner.readText()).toBe(createText(20));
        const versions = [...(from > 0 ? [3] : []), ...(from < 20 ? [4] : [])];
        expect([...joiner.summarize().weightVersions].sort()).toEqual(versions);
      }),
    );
  });
});

function createText(tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => `t${index} `).join('');
}
