/**
 * The steps of the fault matrix, each with the evidence that it was attempted while a fault was in
 * force. Evidence comes from the workload and the stand-ins, and from counters of the daemons only
 * where nothing outside can see a step begin.
 */
import type * as workloads from './workload';

/** What was attempted between two observations. */
export type Evidence = (delta: workloads.Activity) => number;

/** All steps, in the order of the fault matrix. */
export const STEPS: Readonly<Record<string, Evidence>> = {
  admit: (delta) => delta.requests,
  claim: (delta) => delta.bookings,
  'choose a target': (delta) => delta.requests,
  'hand over': (delta) => delta.requests,
  run: (delta) => delta.engineRuns,
  stream: (delta) => delta.completions,
  label: (delta) => delta.engineRuns,
  'commit a group': (delta) => delta.takes,
  'hand to the trainer': (delta) => delta.takes,
  'read a change': (delta) => delta.samplings,
  'accept a change': (delta) => delta.changes,
  'spread a change': (delta) => delta.changes,
  'apply a change': (delta) => delta.samplings,
  join: (delta) => delta.restarts,
  serve: (delta) => delta.requests,
  drain: (delta) => delta.restarts,
  stop: (delta) => delta.restarts,
  'take a lease': (delta) => delta.samplings,
  'renew a lease': (delta) => delta.samplings,
  'act under a lease': (delta) => delta.announcements,
  'order weights': (delta) => delta.announcements,
  'fetch weights': (delta) => delta.announcements,
  swap: (delta) => delta.announcements,
  'confirm weights': (delta) => delta.announcements,
};
