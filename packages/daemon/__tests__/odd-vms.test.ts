import * as links from '@azureworks/links';
import type * as runtime from '@azureworks/runtime';
import * as standins from '@azureworks/standins';
import * as undici from 'undici';
import * as entry from '../src/entry/entry';
import * as localSystem from './support/local-system';

const VM = {
  vm: 'vm-2',
  name: 'entry-2',
  role: 'entry',
  address: '127.0.0.1',
  httpPort: 9,
  controlPort: 9,
  failureDomain: 'one',
  region: 'here',
  state: 'live',
};
/** Shorter than the recursion that a stringified value takes. */
const DEPTH = 500;
const ODD_VMS: readonly (readonly [string, unknown])[] = [
  ['null', null],
  ['a text', 'vm'],
  ['without fields', {}],
  ['with a port out of range', { ...VM, name: 'odd', controlPort: 99_999 }],
  ['with a port that is none', { ...VM, name: 'odd', httpPort: '80' }],
  ['with an address that is none', { ...VM, name: 'odd', address: '999.1.1.1' }],
  ['with a name that is none', { ...VM, name: { toString: 7 } }],
  ['nested deeply', JSON.parse('['.repeat(DEPTH) + ']'.repeat(DEPTH))],
];

describe('an entry whose list of VMs has one', () => {
  // An odd entry in the list kept the daemon from its start and from following the list.
  it.each(ODD_VMS)('%s starts, follows the others and logs it once', async (_what, odd) => {
    const platform = standins.PlatformStandin.create({ weightBytesPerSecond: 1, vmLagMs: 0 });
    const port = await platform.server.listen('127.0.0.1', 0);
    const url = `http://127.0.0.1:${port}`;
    await undici.request(`${url}/vms`, {
      method: 'POST',
      body: JSON.stringify({ vms: [odd, VM] }),
    });
    const lines: string[] = [];
    const log: runtime.Log = {
      info: () => {},
      warn: (message) => {
        lines.push(message);
      },
    };
    const settings = localSystem.createSettings('entry-1', 'entry', url, []);
    const daemon = entry.EntryDaemon.create(settings, links.PlainCredentials.create(), 1, log);
    const { httpPort } = await daemon.start();
    await new Promise((resolve) => {
      setTimeout(resolve, 1500);
    });
    const response = await undici.request(`http://127.0.0.1:${httpPort}/metrics`);
    expect(await response.body.text()).toMatch(/peers 1\b/);
    expect(lines.filter((line) => line === 'VMs ignored')).toHaveLength(1);
    await daemon.stop();
    platform.server.close();
  });
});
