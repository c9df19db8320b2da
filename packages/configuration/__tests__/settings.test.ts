import * as configuration from '@azureworks/configuration';

const ENTRY = [
  '[daemon]',
  'role = entry',
  'name = entry-1',
  'address = 127.0.0.1',
  'failure_domain = klang-a',
  '[platform]',
  'url = http://127.0.0.1:9000',
];

describe('settings', () => {
  it('reads the settings of an entry', () => {
    const parsed = configuration.parseSettings({ 'a.ini': ENTRY.join('\n') })._unsafeUnwrap();
    expect(parsed.daemon.role).toBe('entry');
    expect(parsed.platform.timeout_ms).toBe(1000);
  });

  it('requires a target section in the settings of a target daemon', () => {
    const text = ENTRY.join('\n').replace('role = entry', 'role = target');
    const errors = configuration.parseSettings({ 'a.ini': text })._unsafeUnwrapErr();
    expect(errors.map((error) => error.key)).toEqual(['[target]']);
  });

  it('rejects a platform URL without an IP address', () => {
    const text = ENTRY.join('\n').replace('127.0.0.1:9000', 'platform.example:9000');
    const errors = configuration.parseSettings({ 'a.ini': text })._unsafeUnwrapErr();
    expect(errors[0]).toMatchObject({ key: 'platform / url', expected: 'http://IP-ADDRESS:PORT' });
  });
});
