import * as fastCheck from 'fast-check';
import * as arrayReaders from '../src/store/array-reader';
import * as scanner from '../src/store/json-scanner';

const SEED = 20261205;
const RUNS = 500;
const ARRAY_NAME = 'items';

function list(text: string): scanner.Member[] {
  return [...scanner.listMembers(Buffer.from(text), ARRAY_NAME)];
}

describe('the members of an object', () => {
  it('are those that a parser finds, with the elements of the array one by one', () => {
    const members = fastCheck.dictionary(fastCheck.string(), fastCheck.jsonValue());
    const elements = fastCheck.array(fastCheck.jsonValue());
    const indent = fastCheck.constantFrom(0, 1, 3);
    fastCheck.assert(
      fastCheck.property(members, elements, indent, (others, items, spaces) => {
        const value = { ...others, [ARRAY_NAME]: items };
        const found = list(JSON.stringify(value, undefined, spaces));
        const parsed = JSON.parse(JSON.stringify(value)) as Record<string, unknown>;
        expect(
          found.flatMap((member) => (member.kind === 'element' ? [member.value] : [])),
        ).toEqual(parsed[ARRAY_NAME]);
        const named = found.flatMap((member) =>
          member.kind === 'value' ? [[member.name, member.value] as const] : [],
        );
        delete parsed[ARRAY_NAME];
        expect(Object.fromEntries(named)).toEqual(parsed);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it.each([
    '',
    '[]',
    '{',
    '{"items"',
    '{"items":[',
    '{"items":[1',
    '{"items":[1,',
    '{"items":[1,]}',
    '{"items":[1 2]}',
    '{"items":[{]}',
    '{"items":[]}x',
    '{"a":1,}',
    '{a:1}',
    '{"a":tru}',
    '{"a":"\\"}',
  ])('are none in %p', (text) => {
    expect(() => list(text)).toThrow();
  });

  it('are none when one of them is too large to be parsed', () => {
    expect(() => list(`{"items":["${'x'.repeat(5_000_000)}"]}`)).toThrow(RangeError);
  });
});

describe('an array that arrives in pieces', () => {
  it('has the elements that a parser finds, wherever it is cut', () => {
    const elements = fastCheck.array(fastCheck.jsonValue());
    const cuts = fastCheck.array(fastCheck.nat(20), { minLength: 1 });
    fastCheck.assert(
      fastCheck.property(elements, cuts, (items, lengths) => {
        const text = Buffer.from(JSON.stringify(items));
        const reader = arrayReaders.ArrayReader.create();
        const found: unknown[] = [];
        let position = 0;
        for (let piece = 0; position < text.length; piece += 1) {
          const end = position + 1 + (lengths[piece % lengths.length] ?? 0);
          found.push(...reader.read(text.subarray(position, end)));
          position = end;
        }
        expect(reader.isComplete).toBe(true);
        expect(found).toEqual(JSON.parse(text.toString()));
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it.each(['{}', '[1 2]', '[]]', '[1,]', '[}', 'x'])('is none when it is %p', (text) => {
    const reader = arrayReaders.ArrayReader.create();
    expect(() => reader.read(Buffer.from(text))).toThrow();
  });
});
