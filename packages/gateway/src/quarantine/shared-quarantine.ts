/**
 * Wires the quarantine of one gateway: the evidence, its reports to the other gateways and what is
 * learned from them.
 */
import * as decisions from '@azureworks/decisions';
import type * as directories from '../replicas/directory';
import type * as environments from '../types/environment';
import type * as replicas from '../types/replica';
import * as rowReporters from '../store/row-reporter';
import type * as stores from '../types/store';
import * as evidenceTasks from './evidence-task';
import * as fleetTrials from './fleet-trials';
import * as requestQuarantines from './request-quarantine';
import * as requestTrials from './request-trials';

export interface SharedQuarantineOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  readonly directory: directories.ReplicaDirectory;
  readonly replicaClient: replicas.ReplicaClient;
  /** Lower-case names of the headers that identify a caller. */
  readonly callerHeaders: readonly string[];
  /** The gateways of which one removes expired rows. */
  readonly listWorkers: () => readonly { readonly vm: string }[];
}

/** How long evidence is held back: most requests that a crash breaks off are answered meanwhile. */
const EVIDENCE_HOLD_BACK_MS = 150;

/** The parts of a quarantine that other parts of the gateway use. */
export interface SharedQuarantine {
  readonly requests: requestQuarantines.RequestQuarantine;
  readonly evidenceTask: evidenceTasks.EvidenceTask;
  readonly trialTask: fleetTrials.FleetTrials;
}

export function createSharedQuarantine(options: SharedQuarantineOptions): SharedQuarantine {
  const { environment, store } = options;
  const quarantine = decisions.Quarantine.create({ nowMs: environment.nowMs });
  const reporter = rowReporters.RowReporter.create({
    environment,
    store,
    subject: 'evidence',
    metric: 'quarantine_reports',
    holdBackMs: EVIDENCE_HOLD_BACK_MS,
  });
  const trialTask = fleetTrials.FleetTrials.create({ ...options, quarantine });
  const trials = requestTrials.RequestTrials.create({ ...options, quarantine, fleet: trialTask });
  const requests = requestQuarantines.RequestQuarantine.create({
    ...options,
    quarantine,
    trials,
    reporter,
    storeNowMs: () => store.nowMs,
  });
  const evidenceTask = evidenceTasks.EvidenceTask.create({ ...options, quarantine, reporter });
  return { requests, evidenceTask, trialTask };
}
