import * as fastCheck from 'fast-check';
import * as joiners from '../src/entry/stream-joiner';

/** The events of an answer from token `from` to token `to`, two tokens in each. */
function createTokenEvents(from: number, to: number, version: number): string[] {
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

function createFinalEvents(versions: number[], total: number): string {
  const summary = JSON.stringify({ weight_versions: versions, total_tokens: total });
  return `event: summary\ndata: ${summary}\n\ndata: [DONE]\n\n`;
}

/** Pushes text in chunks of the given sizes; returns what was forwarded. */
function pushInChunks(joiner: joiners.StreamJoiner, text: string, sizes: number[]): string {
  let remaining = Buffer.from(text);
  let forwarded = '';
  for (let index = 0; remaining.length > 0; index += 1) {
    const size = sizes[index % sizes.length];
    forwarded += joiner.push(remaining.subarray(0, size))?.toString() ?? '';
    remaining = remaining.subarray(size);
  }
  return forwarded;
}

const chunkSizes = fastCheck.array(fastCheck.integer({ min: 1, max: 60 }), { minLength: 1 });

describe('stream joiner', () => {
  it('forwards an answer unchanged, however it is split into chunks', () => {
    fastCheck.assert(
      fastCheck.property(chunkSizes, (sizes) => {
        const joiner = joiners.StreamJoiner.create();
        const answer = createTokenEvents(0, 20, 3).join('') + createFinalEvents([3], 20);
        expect(pushInChunks(joiner, answer, sizes)).toBe(answer);
        expect(joiner.isComplete()).toBe(true);
      }),
    );
  });

  it('joins a broken answer with its continuation without missing or repeated parts', () => {
    fastCheck.assert(
      fastCheck.property(chunkSizes, fastCheck.integer({ min: 0, max: 700 }), (sizes, cut) => {
        const joiner = joiners.StreamJoiner.create();
        const first = createTokenEvents(0, 20, 3).join('').slice(0, cut);
        pushInChunks(joiner, first, sizes);
        expect(joiner.isComplete()).toBe(false);
        const resume = joiner.prepareResume();
        const from = Number(resume?.lastEventId ?? 0);
        const remaining =
          createTokenEvents(from, 20, 4).join('') + createFinalEvents(from < 20 ? [4] : [], 20);
        pushInChunks(joiner, remaining, sizes);
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
