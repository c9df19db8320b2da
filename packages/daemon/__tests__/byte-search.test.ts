import * as fastCheck from 'fast-check';
import * as byteSearch from '../src/utils/byte-search';

describe('ByteSearch', () => {
  it('finds the pattern however the bytes are split into chunks, and nothing else', () => {
    const text = fastCheck
      .array(fastCheck.constantFrom('a', 'b', 'abb', 'ab'))
      .map((words) => words.join(''));
    const sizes = fastCheck.array(fastCheck.integer({ min: 1, max: 4 }), { minLength: 1 });
    fastCheck.assert(
      fastCheck.property(text, sizes, (content, lengths) => {
        const search = byteSearch.ByteSearch.create(Buffer.from('abba'));
        let rest = Buffer.from(content);
        let isFound = false;
        for (let round = 0; rest.length > 0; round += 1) {
          const size = lengths[round % lengths.length];
          isFound = search.push(rest.subarray(0, size)) || isFound;
          rest = rest.subarray(size);
        }
        expect(isFound).toBe(content.includes('abba'));
      }),
    );
  });
});
