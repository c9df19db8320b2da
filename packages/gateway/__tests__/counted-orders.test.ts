/**
 * An order takes effect only at the number of accepted orders that it names, so that one which arrives late has no
 * effect after a newer one. The number is known from the replica's report, which may be missing.
 */
import * as gateway from '@azureworks/gateway';
import * as time from './support/virtual-time';
import * as weightsSystems from './support/weights-system';

const { OrderStatus } = gateway;

describe('an order to a replica', () => {
  let system: weightsSystems.WeightsSystem;

  beforeEach(async () => {
    jest.useFakeTimers();
    system = await weightsSystems.WeightsSystem.start(['e1', 'e2', 'e3']);
  });

  afterEach(async () => {
    await system.task.stop();
    jest.useRealTimers();
  });

  function listOrders(replica: string): { version: number; acceptedOrders: number | undefined }[] {
    return system.replicas.orders
      .filter((order) => order.replica === replica)
      .map(({ version, acceptedOrders }) => ({ version, acceptedOrders }));
  }

  // An order without a number was given up behind a cut path, and took effect after a newer one.
  it('is not sent while the replica gives no report', async () => {
    const behaviour = system.replicas.getBehaviour('e1');
    behaviour.reportMs = Infinity;
    system.name(2);
    await time.advance(10_000);
    expect(listOrders('e1')).toEqual([]);

    behaviour.reportMs = 0;
    await time.advance(2500);
    expect(listOrders('e1')).toEqual([{ version: 2, acceptedOrders: 0 }]);
  });

  it('names the number after an order whose outcome is unknown, once a report tells it', async () => {
    const behaviour = system.replicas.getBehaviour('e1');
    behaviour.lostOrders = OrderStatus.Unknown;
    behaviour.reportMs = Infinity;
    system.name(2);
    await time.advance(1000);
    behaviour.reportMs = 0;
    await time.advance(2000);
    behaviour.lostOrders = undefined;
    system.replicas.acceptedOrders.set('e1', 4);
    await time.advance(5000);
    expect(listOrders('e1').at(-1)).toEqual({ version: 2, acceptedOrders: 4 });
  });

  it('is sent to a replica whose reports take longer than usual', async () => {
    system.replicas.getBehaviour('e1').reportMs = 1500;
    system.name(2);
    await time.advance(10_000);
    expect(listOrders('e1')).toEqual([{ version: 2, acceptedOrders: 0 }]);
  });

  // Two replicas load at a time; those that gave no report took the places of the others.
  it('is sent at once to replicas that report while others do not', async () => {
    ['e1', 'e2'].forEach((id) => {
      system.replicas.getBehaviour(id).reportMs = Infinity;
    });
    system.name(2);
    await time.advance(2000);
    expect(listOrders('e3')).toEqual([{ version: 2, acceptedOrders: 0 }]);
    system.name(3);
    await time.advance(2000);
    expect(listOrders('e3').at(-1)).toEqual({ version: 3, acceptedOrders: 1 });
  });
});
