import * as decisions from '@azureworks/decisions';

interface Ticket extends decisions.Ticket {
  readonly id: string;
}

function createTicket(id: string, priority: number, deadlineMs = 10_000): Ticket {
  return { id, priority, organisation: 'organisation', share: 1, deadlineMs };
}

describe('admission queue', () => {
  it('admits directly while slots are free and no request waits', () => {
    const queue = decisions.AdmissionQueue.create<Ticket>(10);
    expect(queue.offer(createTicket('a', 1), 1, 0)).toEqual({ kind: 'admit' });
    expect(queue.offer(createTicket('b', 1), 0, 0)).toEqual({ kind: 'wait' });
    expect(queue.offer(createTicket('c', 1), 1, 0)).toEqual({ kind: 'wait' });
  });

  it('evicts the last request of the lowest class from a full queue for one of a higher class', () => {
    const queue = decisions.AdmissionQueue.create<Ticket>(1);
    const low = createTicket('low', 2);
    queue.offer(low, 0, 0);
    expect(queue.offer(createTicket('high', 0), 0, 0)).toEqual({ kind: 'wait', evicted: low });
    expect(queue.offer(createTicket('other', 2), 0, 0)).toMatchObject({ kind: 'refuse' });
  });

  it('refuses and expires requests that would be answered after their deadlines', () => {
    const queue = decisions.AdmissionQueue.create<Ticket>(10);
    for (let count = 0; count < 200; count += 1) queue.recordServiceTime(500);
    expect(queue.offer(createTicket('late', 1, 400), 0, 0)).toMatchObject({ kind: 'refuse' });
    expect(queue.offer(createTicket('in-time', 1, 700), 0, 0)).toEqual({ kind: 'wait' });
    expect(queue.removeExpired(300).map((ticket) => ticket.id)).toEqual(['in-time']);
  });
});
