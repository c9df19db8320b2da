import * as fastCheck from 'fast-check';
import * as decisions from '@azureworks/decisions';

type MutableFileRecords = Map<string, decisions.FileRecord | decisions.FileTombstone>;

function createChange(
  id: string,
  baseRevision: number,
  put: Record<string, string>,
  remove: string[] = [],
): decisions.Change {
  return { id, baseRevision, put, remove };
}

describe('conflict detection for configuration changes', () => {
  const records: MutableFileRecords = new Map([
    ['a.ini', { text: 'a', revision: 1, changeId: 'one' }],
    ['b.ini', { text: null, revision: 3, changeId: 'three' }],
  ]);

  it('reports a conflict with a later change to the same file and names that change', () => {
    const change = createChange('mine', 0, { 'a.ini': 'new' });
    const expected = { file: 'a.ini', winner: 'one', revision: 1 };
    expect(decisions.findConflict(change, records)).toEqual(expected);
  });

  it('reports a conflict with a later removal of the file', () => {
    const change = createChange('mine', 2, { 'b.ini': 'new' });
    expect(decisions.findConflict(change, records)?.winner).toBe('three');
  });

  it('reports no conflict with changes to other files', () => {
    const change = createChange('mine', 0, { 'c.ini': 'new' });
    expect(decisions.findConflict(change, records)).toBeUndefined();
  });

  it('accepts one of two changes with a file in common and both of two without', () => {
    const fileNames = fastCheck.uniqueArray(fastCheck.constantFrom('a', 'b', 'c', 'd'), {
      minLength: 1,
    });
    fastCheck.assert(
      fastCheck.property(fileNames, fileNames, (first, second) => {
        const stored: MutableFileRecords = new Map();
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
