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

  const postBooking = (id: string) =>
    system.post('/v1/services/app/bookings', {}, { 'idempotency-key': id });

  async function countRuns(id: string): Promise<number> {
    const { port } = system.service.server as unknown as { port: number };
    const response = await undici.request(`http://127.0.0.1:${port}/log`);
    const log = (await response.body.json()) as ServiceLog;
    return log.bookings.filter((booking) => booking.requestId === id).length;
  }

  it('returns the first answer when the same booking is repeated', async () => {
    const first = await postBooking('again');
    const second = await postBooking('again');
    expect(first.status).toBe(201);
    expect(second.text).toBe(first.text);
    expect(await countRuns('again')).toBe(1);
  });

  it('runs a booking once when it is sent several times concurrently', async () => {
    const answers = await Promise.all(Array.from({ length: 8 }, () => postBooking('crowd')));
    expect(await countRuns('crowd')).toBe(1);
    answers.forEach((answer) => {
      const isSame = answer.status === 201 && answer.text === answers[0].text;
      const isPending = answer.headers['x-azureworks-verdict'] === 'may-have-run';
      expect(isSame || isPending).toBe(true);
    });
  });

  it('reports may-have-run when the answer to the target daemon is lost, and runs the booking once', async () => {
    system.service.server.faults.loseAnswers = 1;
    const first = await postBooking('lost');
    expect(first.headers['x-azureworks-verdict']).toBe('may-have-run');
    const second = await postBooking('lost');
    expect(second.headers['x-azureworks-verdict']).toBe('may-have-run');
    expect(await countRuns('lost')).toBe(1);
  });

  it('acquires a claim although the answer to its write is lost', async () => {
    system.platform.server.faults.loseAnswers = 1;
    const answer = await postBooking('unsure');
    expect(answer.status).toBe(201);
    expect(await countRuns('unsure')).toBe(1);
  });

  it('refuses a booking as not-run while the store is down, and runs it afterwards', async () => {
    system.platform.server.faults.down = true;
    const refused = await postBooking('later');
    system.platform.server.faults.down = false;
    expect(refused.headers['x-azureworks-verdict']).toBe('not-run');
    expect(await countRuns('later')).toBe(0);
    expect((await postBooking('later')).status).toBe(201);
    expect(await countRuns('later')).toBe(1);
  });
});
