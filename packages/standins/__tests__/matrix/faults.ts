/**
 * The faults of the fault matrix, each with how it is brought about and healed.
 */
import type * as fleets from '../../src/experiments/fleet';
import * as http from '../../src/experiments/http';

/** A fault. */
export interface Fault {
  readonly name: string;
  /** Brings the fault about; resolves when it has lasted long enough. */
  inject(fleet: fleets.Fleet): Promise<void>;
  /** Ends the fault. */
  heal(fleet: fleets.Fleet): Promise<void>;
}

const WINDOW_MS = 2500;
const FREEZE_MS = 6000;
const SLOW_MS = 700;
const PULSES = 5;
const GHOST_PORT = 9;

const nothing = async (): Promise<void> => {};

function pick(fleet: fleets.Fleet, kind: 'engine' | 'service'): fleets.FleetTarget[] {
  return fleet.targets.filter((target) => target.kind === kind);
}

function setFaults(url: string, faults: object): Promise<unknown> {
  return http.postJson(`${url}/faults`, faults);
}

function setAll(
  fleet: fleets.Fleet,
  kind: 'engine' | 'service',
  faults: object,
): Promise<unknown[]> {
  return Promise.all(pick(fleet, kind).map((target) => setFaults(target.standin.url, faults)));
}

/** Sets the same switches again and again for the length of the window. */
async function pulse(act: () => Promise<unknown>): Promise<void> {
  for (let turn = 0; turn < PULSES; turn += 1) {
    await act();
    await http.sleep(WINDOW_MS / PULSES);
  }
}

/** The faults of the platform's store, also used in pairs with every other fault. */
export const STORE_FAULTS: readonly Fault[] = [
  {
    name: 'store down',
    inject: async (fleet) => {
      await setFaults(fleet.platform.url, { down: true });
      await http.sleep(WINDOW_MS);
    },
    heal: async (fleet) => {
      await setFaults(fleet.platform.url, { down: false });
    },
  },
  {
    name: 'store slow',
    inject: async (fleet) => {
      await setFaults(fleet.platform.url, { slowMs: SLOW_MS });
      await http.sleep(WINDOW_MS);
    },
    heal: async (fleet) => {
      await setFaults(fleet.platform.url, { slowMs: 0 });
    },
  },
  {
    name: 'store answers lost after the write',
    inject: (fleet) => pulse(() => setFaults(fleet.platform.url, { loseAnswers: 15 })),
    heal: async (fleet) => {
      await setFaults(fleet.platform.url, { loseAnswers: 0 });
    },
  },
];

/** The faults of everything else. */
export const OTHER_FAULTS: readonly Fault[] = [
  {
    name: 'entry killed',
    inject: async (fleet) => {
      await fleet.entries[1].daemon.stop('SIGKILL');
      await http.sleep(WINDOW_MS);
    },
    heal: (fleet) => fleet.restartEntry(fleet.entries[1]),
  },
  {
    name: 'target daemons killed',
    inject: async (fleet) => {
      const targets = [pick(fleet, 'engine')[0], pick(fleet, 'service')[0]];
      await Promise.all(targets.map((target) => target.daemon.stop('SIGKILL')));
      await http.sleep(WINDOW_MS);
      await Promise.all(targets.map((target) => fleet.restartTargetDaemon(target)));
    },
    heal: nothing,
  },
  {
    name: 'entry frozen past its lease, then resumed',
    inject: async (fleet) => {
      fleet.entries[0].daemon.signal('SIGSTOP');
      await http.sleep(FREEZE_MS);
      fleet.entries[0].daemon.signal('SIGCONT');
    },
    heal: nothing,
  },
  {
    name: 'target daemon frozen, then resumed',
    inject: async (fleet) => {
      const targets = [pick(fleet, 'engine')[1], pick(fleet, 'service')[0]];
      targets.forEach((target) => target.daemon.signal('SIGSTOP'));
      await http.sleep(FREEZE_MS);
      targets.forEach((target) => target.daemon.signal('SIGCONT'));
    },
    heal: nothing,
  },
  {
    name: 'connection refused',
    inject: async (fleet) => {
      const targets = [pick(fleet, 'engine')[0], pick(fleet, 'service')[0]];
      await Promise.all(
        targets.map((target) => setFaults(target.standin.url, { refuseMs: WINDOW_MS })),
      );
      await http.sleep(WINDOW_MS);
    },
    heal: nothing,
  },
  {
    name: 'cut before the hand-over',
    inject: (fleet) =>
      pulse(async () => {
        await setAll(fleet, 'engine', { cutBefore: 3 });
        await setAll(fleet, 'service', { cutBefore: 3 });
      }),
    heal: async (fleet) => {
      await setAll(fleet, 'engine', { cutBefore: 0 });
      await setAll(fleet, 'service', { cutBefore: 0 });
    },
  },
  {
    name: 'cut after the hand-over, before the answer',
    inject: (fleet) => pulse(() => setAll(fleet, 'service', { loseAnswers: 3 })),
    heal: async (fleet) => {
      await setAll(fleet, 'service', { loseAnswers: 0 });
    },
  },
  {
    name: 'cut in the middle of the answer',
    inject: (fleet) => pulse(() => setAll(fleet, 'engine', { cutAnswers: 3 })),
    heal: async (fleet) => {
      await setAll(fleet, 'engine', { cutAnswers: 0 });
    },
  },
  {
    name: 'answers late',
    inject: async (fleet) => {
      await setAll(fleet, 'engine', { slowMs: SLOW_MS });
      await setAll(fleet, 'service', { slowMs: SLOW_MS });
      await http.sleep(WINDOW_MS);
    },
    heal: async (fleet) => {
      await setAll(fleet, 'engine', { slowMs: 0 });
      await setAll(fleet, 'service', { slowMs: 0 });
    },
  },
  {
    name: "peer's messages held up",
    inject: (fleet) =>
      pulse(async () => {
        fleet.entries[1].daemon.signal('SIGSTOP');
        await http.sleep(WINDOW_MS / PULSES);
        fleet.entries[1].daemon.signal('SIGCONT');
      }),
    heal: nothing,
  },
  {
    name: 'VM list stale',
    inject: async (fleet) => {
      const vms = fleet.listVms();
      const ghost = { ...vms[vms.length - 1], name: 'ghost', controlPort: GHOST_PORT };
      await fleet.publishVms([...vms.slice(0, -1), ghost]);
      await http.sleep(WINDOW_MS);
    },
    heal: (fleet) => fleet.publishVms(),
  },
  {
    name: 'engine crashed',
    inject: async (fleet) => {
      const [engine] = pick(fleet, 'engine');
      await setFaults(engine.standin.url, { crashMs: WINDOW_MS });
      await http.sleep(WINDOW_MS);
    },
    heal: nothing,
  },
  {
    name: 'weight swap failed partway',
    inject: async (fleet) => {
      await setAll(fleet, 'engine', { failSwaps: 2 });
      await http.sleep(WINDOW_MS);
    },
    heal: async (fleet) => {
      await setAll(fleet, 'engine', { failSwaps: 0 });
    },
  },
];
