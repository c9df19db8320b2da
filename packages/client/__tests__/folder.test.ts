import * as client from '@azureworks/client';

describe('folder', () => {
  const inForce = { 'a.ini': 'one', 'b.ini': 'two' };

  it('sends files that were added or edited', () => {
    const local = { 'a.ini': 'changed', 'b.ini': 'two', 'c.ini': 'new' };
    expect(client.compareFolder(local, inForce, undefined)).toEqual({
      put: { 'a.ini': 'changed', 'c.ini': 'new' },
      remove: [],
    });
  });

  it('removes only files that were in the folder at its last apply', () => {
    const digests = { 'a.ini': 'x' };
    const change = client.compareFolder({}, inForce, { revision: 1, digests });
    expect(change).toEqual({ put: {}, remove: ['a.ini'] });
  });

  it("keeps another operator's edit of a file that was not edited locally", () => {
    const local = { 'a.ini': 'old' };
    const digests = { 'a.ini': 'cba06b5736faf67e54b07b561eae94395e774c517a7d910a54369e1263ccfbd4' };
    const change = client.compareFolder(local, inForce, { revision: 1, digests });
    expect(change).toEqual({ put: {}, remove: [] });
  });
});
