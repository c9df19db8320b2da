import * as standins from '@azureworks/standins';
import * as links from '@azureworks/links';
import * as undici from 'undici';
import * as runtime from '@azureworks/runtime';
import * as entry from '../src/entry/entry';
import * as localSystem from './support/local-system';

describe('entry without a confirmed revision', () => {
  it('refuses work with the verdict not-run, even for unknown services', async () => {
    const platform = standins.PlatformStandin.create({ weightBytesPerSecond: 1, vmLagMs: 0 });
    platform.server.faults.down = true;
    const port = await platform.server.listen('127.0.0.1', 0);
    const settings = localSystem.createSettings('late', 'entry', `http://127.0.0.1:${port}`, []);
    const credentials = links.PlainCredentials.create();
    const log = runtime.SilentLog.create();
    const daemon = entry.EntryDaemon.create(settings, credentials, 1, log);
    const { httpPort } = await daemon.start();
    const response = await undici.request(`http://127.0.0.1:${httpPort}/v1/services/app/slots/1`);
    const { error } = (await response.body.json()) as { error: { code: string; verdict: string } };
    expect(error).toMatchObject({ code: 'revision-unconfirmed', verdict: 'not-run' });
    await daemon.stop();
    platform.server.close();
  });
});
