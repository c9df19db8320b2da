import * as fastCheck from 'fast-check';
import * as decisions from '@azureworks/decisions';

function createTicket(priority: number, organisation: string, share = 1): decisions.Ticket {
  return { priority, organisation, share, deadlineMs: Infinity };
}

describe('fair queue', () => {
  it('serves a higher class first', () => {
    const queue = decisions.FairQueue.create<decisions.Ticket>();
    queue.add(createTicket(2, 'listings'));
    queue.add(createTicket(0, 'advisers'));
    expect(queue.next()?.organisation).toBe('advisers');
  });

  it('serves the organisations of a class according to their shares while all have tickets', () => {
    const queue = decisions.FairQueue.create<decisions.Ticket>();
    for (let index = 0; index < 100; index += 1) {
      queue.add(createTicket(1, 'small', 1));
      queue.add(createTicket(1, 'large', 3));
    }
    const served = Array.from({ length: 80 }, () => queue.next()?.organisation);
    const small = served.filter((organisation) => organisation === 'small').length;
    expect(small).toBeGreaterThanOrEqual(19);
    expect(small).toBeLessThanOrEqual(21);
  });

  it('serves every ticket exactly once', () => {
    const ticket = fastCheck.record({
      priority: fastCheck.integer({ min: 0, max: 3 }),
      organisation: fastCheck.constantFrom('a', 'b', 'c'),
      share: fastCheck.integer({ min: 1, max: 5 }),
      deadlineMs: fastCheck.constant(0),
    });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(ticket), (tickets) => {
        const queue = decisions.FairQueue.create<decisions.Ticket>();
        tickets.forEach((added) => queue.add(added));
        const served: (decisions.Ticket | undefined)[] = tickets.map(() => queue.next());
        expect(new Set(served).size).toBe(tickets.length);
        expect(queue.next()).toBeUndefined();
        expect(queue.size).toBe(0);
      }),
    );
  });
});
