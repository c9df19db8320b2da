import * as decisions from '@azureworks/decisions';

function createNodes(prefix: string, count: number, domainCount: number): decisions.LocatedNode[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${prefix}-${index}`,
    failureDomain: `domain-${index % domainCount}`,
  }));
}

describe('subset', () => {
  it('connects every entry to all targets of a small service', () => {
    const entries = createNodes('entry', 10, 4);
    const targets = createNodes('target', 20, 4);
    expect(decisions.chooseSubset(entries[0], entries, targets)).toEqual(targets);
  });

  it('connects three entries to each target of a large service, one from another failure domain', () => {
    const entries = createNodes('entry', 40, 8);
    const targets = createNodes('target', 400, 8);
    targets.forEach((target) => {
      const chosenEntries = decisions.chooseEntriesForTarget(target, entries);
      const domains = chosenEntries.map(
        (name) => entries.find((entry) => entry.name === name)?.failureDomain,
      );
      expect(chosenEntries.length).toBe(3);
      expect(domains.filter((domain) => domain === target.failureDomain).length).toBe(2);
    });
  });

  it('distributes connections evenly for 49 entries and 1200 targets, a tenth of the size planned in two years', () => {
    const entries = createNodes('entry', 49, 8);
    const targets = createNodes('target', 1200, 8);
    const connections = new Map<string, number>();
    targets.forEach((target) => {
      decisions.chooseEntriesForTarget(target, entries).forEach((name) => {
        connections.set(name, (connections.get(name) ?? 0) + 1);
      });
    });
    expect(Math.max(...connections.values())).toBeLessThanOrEqual((3 * 1200 * 2) / 49);
  });
});
