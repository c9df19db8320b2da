import * as fastCheck from 'fast-check';
import * as configuration from '@azureworks/configuration';

const VALID = {
  '10.ini': '[deployment d]\nstaleness_bound = 3\n',
  '20.ini': '[engine e]\ndeployment = d\nmodel = m\ncapacity = 4\n',
};

function listErrors(files: Record<string, string>): string[] {
  const parsed = configuration.parseConfiguration(files);
  return parsed.isErr() ? parsed.error.map(configuration.formatSettingError) : [];
}

describe('configuration', () => {
  it('reads sections and applies defaults', () => {
    const parsed = configuration.parseConfiguration(VALID)._unsafeUnwrap();
    expect(parsed.deployments.get('d')?.staleness_bound).toBe(3);
    expect(parsed.engines.get('e')?.fencing).toBe('ignored');
    expect(parsed.limits.maximum_body_bytes).toBe(1024 * 1024);
  });

  it('merges files in the order of their names, whatever order they are given in', () => {
    const value = fastCheck.integer({ min: 1, max: 1000 });
    const files = fastCheck.dictionary(fastCheck.stringMatching(/^[a-z]{1,3}\.ini$/), value, {
      minKeys: 1,
    });
    fastCheck.assert(
      fastCheck.property(files, fastCheck.boolean(), (values, isReversed) => {
        const entries = Object.entries(values).map(
          ([name, bound]) => [name, `[deployment d]\nstaleness_bound = ${bound}\n`] as const,
        );
        const given = Object.fromEntries(isReversed ? [...entries].reverse() : entries);
        const last = Object.keys(values).sort().at(-1) as string;
        const parsed = configuration.parseConfiguration(given)._unsafeUnwrap();
        expect(parsed.deployments.get('d')?.staleness_bound).toBe(values[last]);
      }),
    );
  });

  it('reports all errors with file, key, value found and value expected', () => {
    const errors = listErrors({
      ...VALID,
      '30.ini': '[engine f]\ndeployment = d\nmodel = m\ncapacity = many\ncapasity = 3\n',
      '40.ini': '[tennant t]\n',
    });
    expect(errors).toEqual([
      '30.ini: engine f / capasity: found "3", expected a known key; the nearest is "capacity"',
      '30.ini: engine f / capacity: found "many", expected a whole number from 1 to 100000',
      '40.ini: [tennant t]: found "tennant t", expected a section; the nearest known one is "tenant"',
    ]);
  });

  it('reports a reference to a section that does not exist', () => {
    const errors = listErrors({ 'a.ini': '[engine e]\ndeployment = gone\nmodel = m\n' });
    expect(errors).toEqual([
      'a.ini: engine e / deployment: found "gone", expected the name of a [deployment NAME] section',
    ]);
  });

  it('never throws, whatever the text of the file', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.string(), (text) => {
        configuration.parseConfiguration({ 'a.ini': text });
        configuration.parseSettings({ 'a.ini': text });
      }),
    );
  });
});
