import * as stores from '../src/types/store';
import * as membershipTasks from '../src/membership/membership-task';
import * as validities from '../src/core/validity';
import * as time from './support/virtual-time';

describe('validity', () => {
  let nowMs: number;
  let suspendedMs: number;
  let validity: validities.Validity;

  beforeEach(() => {
    nowMs = 0;
    suspendedMs = 0;
    validity = validities.Validity.create({
      nowMs: () => nowMs,
      wallClockMs: () => nowMs + suspendedMs,
    });
  });

  function renew(tookMs = 10): boolean {
    const start = validity.startRenewal();
    nowMs += tookMs;
    return validity.completeRenewal(start, 1000);
  }

  it('is one term while renewals are in time', () => {
    expect(validity.currentTerm).toBeUndefined();
    expect(renew()).toBe(true);
    nowMs += 900;
    expect(renew()).toBe(false);
    nowMs += 900;
    expect(validity.currentTerm).toBe(1);
  });

  it('is another term after a gap', () => {
    renew();
    nowMs += 1000;
    expect(validity.currentTerm).toBeUndefined();
    expect(renew()).toBe(true);
    expect(validity.currentTerm).toBe(2);
  });

  it('counts from before a renewal was sent', () => {
    renew(600);
    nowMs += 399;
    expect(validity.currentTerm).toBe(1);
    nowMs += 1;
    expect(validity.currentTerm).toBeUndefined();
    expect(renew(1000)).toBe(false);
    expect(validity.currentTerm).toBeUndefined();
  });

  it('ends with a suspension that nobody notices before the next renewal is sent', () => {
    renew();
    suspendedMs = 5000;
    const start = validity.startRenewal();
    expect(validity.currentTerm).toBeUndefined();
    nowMs += 10;
    expect(validity.completeRenewal(start, 1000)).toBe(true);
    expect(validity.currentTerm).toBe(2);
  });

  it('does not begin with a renewal during which the process was suspended', () => {
    const start = validity.startRenewal();
    suspendedMs = 5000;
    expect(validity.currentTerm).toBeUndefined();
    expect(validity.completeRenewal(start, 1000)).toBe(false);
    expect(validity.currentTerm).toBeUndefined();
  });
});

describe('the membership of a gateway', () => {
  let suspendedMs: number;
  let isStoreSilent: boolean;
  let terms: number;
  let task: membershipTasks.MembershipTask;

  beforeEach(async () => {
    jest.useFakeTimers();
    suspendedMs = 0;
    isStoreSilent = false;
    terms = 0;
    const respond = <Outcome>(outcome: Outcome): Promise<Outcome> =>
      isStoreSilent ? new Promise(() => {}) : Promise.resolve(outcome);
    const { Done } = stores.StoreStatus;
    task = membershipTasks.MembershipTask.create({
      environment: {
        ...time.createEnvironment('vm-1'),
        wallClockMs: () => time.nowMs() + suspendedMs,
      },
      store: {
        nowMs: 0,
        transact: () => respond({ status: Done, revision: 1 }),
        read: () => respond({ status: Done, rows: [], revision: 1 }),
        listPartitions: () => respond({ status: Done, partitions: [] }),
        waitForChanges: () => respond({ status: Done, changes: [], revision: 1 }),
      },
      failureDomains: ['domain-a'],
      onChange: () => {},
      onTermBegan: () => {
        terms += 1;
      },
    });
    await task.start();
    await time.advance(100);
  });

  afterEach(async () => {
    await task.stop();
    jest.useRealTimers();
  });

  it('does not count after a suspension that its next renewal notices first', async () => {
    expect(task.isMembershipValid).toBe(true);
    suspendedMs = 5000;
    isStoreSilent = true;
    await time.advance(600);
    expect(task.isMembershipValid).toBe(false);
    isStoreSilent = false;
  });

  it('tells when it counts again after a gap', async () => {
    await time.advance(3000);
    expect(terms).toBe(1);
    suspendedMs = 5000;
    await time.advance(1000);
    expect(terms).toBe(2);
  });

  it('does not count once the gateway has stopped', async () => {
    await task.stop();
    expect(task.isMembershipValid).toBe(false);
  });
});
