import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const NEVER_ABORTED = new AbortController().signal;

// All replicas were avoided as silent, and all texts discarded, as the gateway itself had stood still.
describe('the texts of a gateway that stood still', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('go on after the events that it has', async () => {
    const system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id));
    system.addReplica('p1', { isPlain: true });
    const connectivity = { isDirectCut: false, isCutFromReplicas: false };
    const owner = await system.start('vm-1', 'vm-1-first', connectivity);
    const job = systems.createJob('job', 1, 6);
    job.items.forEach(({ id }) => system.replicas.eventCounts.set(id, 100));
    await time.settle(owner.jobs.submit(job));
    await time.advance(1000);
    connectivity.isCutFromReplicas = true;
    await time.advance(100);
    connectivity.isCutFromReplicas = false;
    await time.advance(8000);
    const repeated = system.replicas.runs.slice(job.items.length);
    expect(repeated.length).toBeGreaterThanOrEqual(job.items.length);
    expect(repeated.filter(({ afterEvent }) => afterEvent === undefined)).toEqual([]);
    const answer = await time.settle(owner.jobs.results.read('job', 0, 0, NEVER_ABORTED));
    expect(answer.isOk && answer.value.results.length).toBe(job.items.length);
    await system.stopAll();
  });
});
