/**
 * What replicas have accepted is known without a report while one gateway alone sends orders. A number that
 * is kept for too long would have orders refused, or let one of a former holder count.
 */
import * as orderCounts from '../src/weights/order-counts';
import * as replicas from '../src/types/replica';

const { OrderStatus } = replicas;

describe('the number of orders that a replica has accepted', () => {
  let counts: orderCounts.OrderCounts;

  beforeEach(() => {
    counts = orderCounts.OrderCounts.create();
    counts.recordReport('r', 7, 3);
  });

  it('grows with each order that it accepts', () => {
    counts.recordOrder('r', 7, { acceptedOrders: 3, status: OrderStatus.Accepted });
    counts.recordOrder('r', 7, { acceptedOrders: 4, status: OrderStatus.Accepted });
    expect(counts.find('r', 7)).toBe(5);
  });

  it('stays as it is when the order holds already', () => {
    counts.recordOrder('r', 7, { acceptedOrders: 3, status: OrderStatus.AlreadyHolds });
    expect(counts.find('r', 7)).toBe(3);
  });

  it.each([
    OrderStatus.Busy,
    OrderStatus.Fenced,
    OrderStatus.Unknown,
    OrderStatus.WrongReplica,
    OrderStatus.Invalid,
  ])('is not known after an order that ends as %s', (status) => {
    counts.recordOrder('r', 7, { acceptedOrders: 3, status });
    expect(counts.find('r', 7)).toBeUndefined();
  });

  it('is not known in another tenure', () => {
    expect(counts.find('r', 8)).toBeUndefined();
  });

  it('is forgotten first for the replica without an order for longest', () => {
    for (let index = 0; index < 20_000; index += 1) counts.recordReport(`r${index}`, 7, 0);
    expect(counts.find('r', 7)).toBeUndefined();
    expect(counts.find('r0', 7)).toBe(0);
  });
});
