import * as fastCheck from 'fast-check';
import * as decisions from '@azureworks/decisions';

type Records = Map<string, decisions.FileRecord | decisions.RemovedRecord>;

function createChange(
  id: string,
  baseRevision: number,
  put: Record<string, string>,
  remove: string[] = [],
): decisions.Change {
  return { id, baseRevision, put, remove };
}

describe('change', () => {
  const records: Records = new Map([
    ['a.ini', { text: 'a', revision: 1, changeId: 'one' }],
    ['b.ini', { text: null, revision: 3, changeId: 'three' }],
  ]);

  it('conflicts with a later change to the same file and names the winner', () => {
    const change = createChange('mine', 0, { 'a.ini': 'new' });
    const expected = { file: 'a.ini', winner: 'one', revision: 1 };
    expect(decisions.findConflict(change, records)).toEqual(expected);
  });

  it('conflicts with a later removal of the file', () => {
    const change = createChange('mine', 2, { 'b.ini': 'new' });
    expect(decisions.findConflict(change, records)?.winner).toBe('three');
  });

  it('goes together with changes to other files', () => {
    const change = createChange('mine', 0, { 'c.ini': 'new' });
    expect(decisions.findConflict(change, records)).toBeUndefined();
  });

  it('accepts exactly one of two conflicting changes in any order', () => {
    const names = fastCheck.uniqueArray(fastCheck.constantFrom('a', 'b', 'c', 'd'), {
      minLength: 1,
    });
    fastCheck.assert(
      fastCheck.property(names, names, (first, second) => {
        const stored: Records = new Map();
        const accepted = [first, second].filter((files, index) => {
          const put = Object.fromEntries(files.map((file) => [file, String(index)]));
          const change = createChange(`change-${index}`, 0, put);
          if (decisions.findConflict(change, stored)) return false;
          files.forEach((file) => {
            stored.set(file, { text: String(index), revision: index + 1, changeId: change.id });
          });
          return true;
        });
        const doOverlap = first.some((file) => second.includes(file));
        expect(accepted.length).toBe(doOverlap ? 1 : 2);
      }),
    );
  });
});
