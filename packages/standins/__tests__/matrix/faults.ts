/**
 * The faults of the fault matrix, and how each is injected and healed.
 */
import type * as fleets from '../../src/experiments/fleet';
import * as http from '../../src/experiments/http';

/** A fault that can be injected into a fleet. */
export interface Fault {
  readonly name: string;
  /** Injects the fault; resolves after it has lasted long enough. */
  inject(fleet: fleets.Fleet): Promise<void>;
  /** Ends the fault if it has not ended by itself. */
  heal(fleet: fleets.Fleet): Promise<void>;
}

const FAULT_DURATION_MS = 2500;
const FREEZE_DURATION_MS = 6000;
const SLOW_ANSWER_DELAY_MS = 700;
const REPETITIONS_PER_FAULT = 5;
const UNUSED_PORT = 9; // the discard port, which normally has no listener

const noHealing = async (): Promise<void> => {};

function listTargets(fleet: fleets.Fleet, kind: 'engine' | 'service'): fleets.FleetTarget[] {
  return fleet.targets.filter((target) => target.kind === kind);
}

function setFaults(url: string, faults: object): Promise<unknown> {
  return http.postJson(`${url}/faults`, faults);
}

function setFaultsOnAll(
  fleet: fleets.Fleet,
  kind: 'engine' | 'service',
  faults: object,
): Promise<unknown[]> {
  return Promise.all(
    listTargets(fleet, kind).map((target) => setFaults(target.standin.url, faults)),
  );
}

/** Repeats an action during a fault, as each one affects only a few requests or a short time. */
async function repeatDuringFault(action: () => Promise<unknown>): Promise<void> {
  for (let repetition = 0; repetition < REPETITIONS_PER_FAULT; repetition += 1) {
    await action();
    await http.sleep(FAULT_DURATION_MS / REPETITIONS_PER_FAULT);
  }
}

/** Faults of the platform's store; each is also combined with every other fault. */
export const STORE_FAULTS: readonly Fault[] = [
  {
    name: 'store down',
    inject: async (fleet) => {
      await setFaults(fleet.platform.url, { down: true });
      await http.sleep(FAULT_DURATION_MS);
    },
    heal: async (fleet) => {
      await setFaults(fleet.platform.url, { down: false });
    },
  },
  {
    name: 'store slow',
    inject: async (fleet) => {
      await setFaults(fleet.platform.url, { slowMs: SLOW_ANSWER_DELAY_MS });
      await http.sleep(FAULT_DURATION_MS);
    },
    heal: async (fleet) => {
      await setFaults(fleet.platform.url, { slowMs: 0 });
    },
  },
  {
    name: 'store answers lost after the write',
    inject: (fleet) => repeatDuringFault(() => setFaults(fleet.platform.url, { loseAnswers: 15 })),
    heal: async (fleet) => {
      await setFaults(fleet.platform.url, { loseAnswers: 0 });
    },
  },
];

/** Faults of all other components. */
export const OTHER_FAULTS: readonly Fault[] = [
  {
    name: 'entry killed',
    inject: async (fleet) => {
      await fleet.entries[1].daemon.stop('SIGKILL');
      await http.sleep(FAULT_DURATION_MS);
    },
    heal: (fleet) => fleet.restartEntry(fleet.entries[1]),
  },
  {
    name: 'target daemons killed',
    inject: async (fleet) => {
      const targets = [listTargets(fleet, 'engine')[0], listTargets(fleet, 'service')[0]];
      await Promise.all(targets.map((target) => target.daemon.stop('SIGKILL')));
      await http.sleep(FAULT_DURATION_MS);
      await Promise.all(targets.map((target) => fleet.restartTargetDaemon(target)));
    },
    heal: noHealing,
  },
  {
    name: 'entry frozen past its lease, then resumed',
    inject: async (fleet) => {
      fleet.entries[0].daemon.signal('SIGSTOP');
      await http.sleep(FREEZE_DURATION_MS);
      fleet.entries[0].daemon.signal('SIGCONT');
    },
    heal: noHealing,
  },
  {
    name: 'target daemon frozen, then resumed',
    inject: async (fleet) => {
      const targets = [listTargets(fleet, 'engine')[1], listTargets(fleet, 'service')[0]];
      targets.forEach((target) => target.daemon.signal('SIGSTOP'));
      await http.sleep(FREEZE_DURATION_MS);
      targets.forEach((target) => target.daemon.signal('SIGCONT'));
    },
    heal: noHealing,
  },
  {
    name: 'connection refused',
    inject: async (fleet) => {
      const targets = [listTargets(fleet, 'engine')[0], listTargets(fleet, 'service')[0]];
      await Promise.all(
        targets.map((target) => setFaults(target.standin.url, { refuseMs: FAULT_DURATION_MS })),
      );
      await http.sleep(FAULT_DURATION_MS);
    },
    heal: noHealing,
  },
  {
    name: 'cut before the hand-over',
    inject: (fleet) =>
      repeatDuringFault(async () => {
        await setFaultsOnAll(fleet, 'engine', { cutBefore: 3 });
        await setFaultsOnAll(fleet, 'service', { cutBefore: 3 });
      }),
    heal: async (fleet) => {
      await setFaultsOnAll(fleet, 'engine', { cutBefore: 0 });
      await setFaultsOnAll(fleet, 'service', { cutBefore: 0 });
    },
  },
  {
    name: 'cut after the hand-over, before the answer',
    inject: (fleet) =>
      repeatDuringFault(() => setFaultsOnAll(fleet, 'service', { loseAnswers: 3 })),
    heal: async (fleet) => {
      await setFaultsOnAll(fleet, 'service', { loseAnswers: 0 });
    },
  },
  {
    name: 'cut in the middle of the answer',
    inject: (fleet) => repeatDuringFault(() => setFaultsOnAll(fleet, 'engine', { cutAnswers: 3 })),
    heal: async (fleet) => {
      await setFaultsOnAll(fleet, 'engine', { cutAnswers: 0 });
    },
  },
  {
    name: 'answers late',
    inject: async (fleet) => {
      await setFaultsOnAll(fleet, 'engine', { slowMs: SLOW_ANSWER_DELAY_MS });
      await setFaultsOnAll(fleet, 'service', { slowMs: SLOW_ANSWER_DELAY_MS });
      await http.sleep(FAULT_DURATION_MS);
    },
    heal: async (fleet) => {
      await setFaultsOnAll(fleet, 'engine', { slowMs: 0 });
      await setFaultsOnAll(fleet, 'service', { slowMs: 0 });
    },
  },
  {
    name: "peer's messages held up",
    inject: (fleet) =>
      repeatDuringFault(async () => {
        fleet.entries[1].daemon.signal('SIGSTOP');
        await http.sleep(FAULT_DURATION_MS / REPETITIONS_PER_FAULT);
        fleet.entries[1].daemon.signal('SIGCONT');
      }),
    heal: noHealing,
  },
  {
    name: 'VM list stale',
    inject: async (fleet) => {
      const vms = fleet.listVms();
      const missingVm = { ...vms[vms.length - 1], name: 'ghost', controlPort: UNUSED_PORT };
      await fleet.publishVms([...vms.slice(0, -1), missingVm]);
      await http.sleep(FAULT_DURATION_MS);
    },
    heal: (fleet) => fleet.publishVms(),
  },
  {
    name: 'engine crashed',
    inject: async (fleet) => {
      const [engine] = listTargets(fleet, 'engine');
      await setFaults(engine.standin.url, { crashMs: FAULT_DURATION_MS });
      await http.sleep(FAULT_DURATION_MS);
    },
    heal: noHealing,
  },
  {
    name: 'weight swap failed partway',
    inject: async (fleet) => {
      await setFaultsOnAll(fleet, 'engine', { failSwaps: 2 });
      await http.sleep(FAULT_DURATION_MS);
    },
    heal: async (fleet) => {
      await setFaultsOnAll(fleet, 'engine', { failSwaps: 0 });
    },
  },
];
