import * as decisions from '@azureworks/decisions';

interface Ticket extends decisions.Ticket {
  readonly id: string;
}

function createTicket(id: string, priority: number, deadlineMs = 10_000): Ticket {
  return { id, priority, tenant: 'tenant', share: 1, deadlineMs };
}

describe('admission queue', () => {
  it('admits at once while there is room and nobody waits', () => {
    const queue = decisions.AdmissionQueue.create<Ticket>(10);
    expect(queue.offer(createTicket('a', 1), 1, 0)).toEqual({ kind: 'admit' });
    expect(queue.offer(createTicket('b', 1), 0, 0)).toEqual({ kind: 'wait' });
    expect(queue.offer(createTicket('c', 1), 1, 0)).toEqual({ kind: 'wait' });
  });

  it('gives the place of the last low request to a high one when the queue is full', () => {
    const queue = decisions.AdmissionQueue.create<Ticket>(1);
    const low = createTicket('low', 2);
    queue.offer(low, 0, 0);
    expect(queue.offer(createTicket('high', 0), 0, 0)).toEqual({ kind: 'wait', evicted: low });
    expect(queue.offer(createTicket('other', 2), 0, 0)).toMatchObject({ kind: 'refuse' });
  });

  it('refuses in time what would be answered too late', () => {
    const queue = decisions.AdmissionQueue.create<Ticket>(10);
    for (let turn = 0; turn < 200; turn += 1) queue.noteService(500);
    expect(queue.offer(createTicket('late', 1, 400), 0, 0)).toMatchObject({ kind: 'refuse' });
    expect(queue.offer(createTicket('soon', 1, 700), 0, 0)).toEqual({ kind: 'wait' });
    expect(queue.expire(300).map((ticket) => ticket.id)).toEqual(['soon']);
  });
});
