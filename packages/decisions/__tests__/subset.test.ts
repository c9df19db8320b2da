import * as decisions from '@azureworks/decisions';

function createPlaced(prefix: string, count: number, domains: number): decisions.Placed[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${prefix}-${index}`,
    failureDomain: `domain-${index % domains}`,
  }));
}

describe('subset', () => {
  it('links every entry to all targets of a small service', () => {
    const entries = createPlaced('entry', 10, 4);
    const targets = createPlaced('target', 20, 4);
    expect(decisions.chooseSubset(entries[0], entries, targets)).toEqual(targets);
  });

  it('covers every target of a large service by three entries, one of them elsewhere', () => {
    const entries = createPlaced('entry', 40, 8);
    const targets = createPlaced('target', 400, 8);
    targets.forEach((target) => {
      const covering = decisions.chooseCoveringEntries(target, entries);
      const domains = covering.map(
        (name) => entries.find((entry) => entry.name === name)?.failureDomain,
      );
      expect(covering.length).toBe(3);
      expect(domains.filter((domain) => domain === target.failureDomain).length).toBe(2);
    });
  });

  it('shares the links evenly at a tenth of the two-year size', () => {
    const entries = createPlaced('entry', 49, 8);
    const targets = createPlaced('target', 1200, 8);
    const links = new Map<string, number>();
    targets.forEach((target) => {
      decisions.chooseCoveringEntries(target, entries).forEach((name) => {
        links.set(name, (links.get(name) ?? 0) + 1);
      });
    });
    expect(Math.max(...links.values())).toBeLessThanOrEqual((3 * 1200 * 2) / 49);
  });
});
