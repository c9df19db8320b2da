import * as fastCheck from 'fast-check';
import * as byteSearch from '../src/utils/byte-search';

describe('byte search', () => {
  it('finds the mark however the bytes are cut into pieces, and nothing else', () => {
    const text = fastCheck
      .array(fastCheck.constantFrom('a', 'b', 'abb', 'ab'))
      .map((parts) => parts.join(''));
    const sizes = fastCheck.array(fastCheck.integer({ min: 1, max: 4 }), { minLength: 1 });
    fastCheck.assert(
      fastCheck.property(text, sizes, (content, lengths) => {
        const search = byteSearch.ByteSearch.create(Buffer.from('abba'));
        let rest = Buffer.from(content);
        let isFound = false;
        for (let turn = 0; rest.length > 0; turn += 1) {
          const size = lengths[turn % lengths.length];
          isFound = search.push(rest.subarray(0, size)) || isFound;
          rest = rest.subarray(size);
        }
        expect(isFound).toBe(content.includes('abba'));
      }),
    );
  });
});
