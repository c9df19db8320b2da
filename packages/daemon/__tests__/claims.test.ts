import * as undici from 'undici';
import * as localSystem from './support/local-system';

interface ServiceLog {
  readonly bookings: { readonly requestId: string }[];
}

describe('claims', () => {
  let system: localSystem.LocalSystem;

  beforeAll(async () => {
    system = await localSystem.LocalSystem.create();
  });

  afterAll(() => system.stop());

  const book = (id: string) =>
    system.post('/v1/services/app/bookings', {}, { 'idempotency-key': id });

  async function countRuns(id: string): Promise<number> {
    const { port } = system.service.server as unknown as { port: number };
    const response = await undici.request(`http://127.0.0.1:${port}/log`);
    const log = (await response.body.json()) as ServiceLog;
    return log.bookings.filter((booking) => booking.requestId === id).length;
  }

  it('gives the first answer again when the same booking is sent again', async () => {
    const first = await book('again');
    const second = await book('again');
    expect(first.status).toBe(201);
    expect(second.text).toBe(first.text);
    expect(await countRuns('again')).toBe(1);
  });

  it('runs a booking once that is sent many times at once', async () => {
    const answers = await Promise.all(Array.from({ length: 8 }, () => book('crowd')));
    expect(await countRuns('crowd')).toBe(1);
    answers.forEach((answer) => {
      const isSame = answer.status === 201 && answer.text === answers[0].text;
      const isPending = answer.headers['x-azureworks-verdict'] === 'may-have-run';
      expect(isSame || isPending).toBe(true);
    });
  });

  it('gives the answer that was lost on the way to the target daemon as unknown, once', async () => {
    system.service.server.faults.loseAnswers = 1;
    const first = await book('lost');
    expect(first.headers['x-azureworks-verdict']).toBe('may-have-run');
    const second = await book('lost');
    expect(second.headers['x-azureworks-verdict']).toBe('may-have-run');
    expect(await countRuns('lost')).toBe(1);
  });

  it('settles a claim whose write was answered too late or not at all', async () => {
    system.platform.server.faults.loseAnswers = 1;
    const answer = await book('unsure');
    expect(answer.status).toBe(201);
    expect(await countRuns('unsure')).toBe(1);
  });

  it('refuses a booking as not run while the store is down, and runs it later', async () => {
    system.platform.server.faults.down = true;
    const refused = await book('later');
    system.platform.server.faults.down = false;
    expect(refused.headers['x-azureworks-verdict']).toBe('not-run');
    expect(await countRuns('later')).toBe(0);
    expect((await book('later')).status).toBe(201);
    expect(await countRuns('later')).toBe(1);
  });
});
