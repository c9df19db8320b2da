/**
 * The duty of reporting usage through failures of its holder, the store and the platform.
 */
import * as fleets from './support/metering-fleet';
import * as time from './support/virtual-time';

const START_MS = Date.UTC(2030, 0, 1);
const FIRST_WINDOW = START_MS / fleets.WINDOW_MS;

describe.each([true, false])(
  'the duty of reporting usage, where tokens are checked: %s',
  (checks) => {
    let fleet: fleets.MeteringFleet;
    let first: fleets.MeteredGateway;
    let second: fleets.MeteredGateway;
    let third: fleets.MeteredGateway;

    beforeEach(async () => {
      jest.useFakeTimers({ now: START_MS });
      fleet = fleets.MeteringFleet.create(checks);
      first = await fleet.start('vm-1');
      second = await fleet.start('vm-2');
      third = await fleet.start('vm-3');
    });

    afterEach(async () => {
      await fleet.stopAll();
      jest.useRealTimers();
      expect(fleet.api.violations).toEqual([]);
    });

    function listWindows(count: number): number[] {
      return Array.from({ length: count }, (_unused, index) => FIRST_WINDOW + index);
    }

    it('reports each window once, in time, with the counts of all gateways', async () => {
      await fleets.send(first, 'a', 3);
      await fleets.send(second, 'a', 2);
      await fleets.send(third, 'b', 1);
      await time.advance(5 * fleets.WINDOW_MS + 3000);
      expect(fleet.api.listWindows()).toEqual(listWindows(5));
      expect(fleet.api.calls).toHaveLength(5);
      expect(fleet.api.calls[0].counts).toEqual({ a: 5, b: 1 });
      expect(fleet.api.calls[1].counts).toEqual({});
    });
  },
);
