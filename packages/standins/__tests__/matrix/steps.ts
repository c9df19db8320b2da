/**
 * The steps of the fault matrix, each with a count that shows that it was attempted during a fault.
 * The counts come from the workload and the stand-ins, or from the daemons' counters only where a
 * step's start is not visible from outside.
 */
import type * as workloads from './workload';

/** Counts attempts of a step, given the activity during a fault. */
export type CountEvidence = (activity: workloads.Activity) => number;

/** All steps, in the order of the fault matrix. */
export const STEPS: Readonly<Record<string, CountEvidence>> = {
  admit: (activity) => activity.requests,
  claim: (activity) => activity.bookings,
  'choose a target': (activity) => activity.requests,
  'hand over': (activity) => activity.requests,
  run: (activity) => activity.engineRuns,
  stream: (activity) => activity.completions,
  label: (activity) => activity.engineRuns,
  'commit a group': (activity) => activity.takes,
  'hand to the trainer': (activity) => activity.takes,
  'read a change': (activity) => activity.observationRounds,
  'accept a change': (activity) => activity.changes,
  'spread a change': (activity) => activity.changes,
  'apply a change': (activity) => activity.observationRounds,
  join: (activity) => activity.restarts,
  serve: (activity) => activity.requests,
  drain: (activity) => activity.restarts,
  stop: (activity) => activity.restarts,
  'take a lease': (activity) => activity.observationRounds,
  'renew a lease': (activity) => activity.observationRounds,
  'act under a lease': (activity) => activity.announcements,
  'order weights': (activity) => activity.announcements,
  'fetch weights': (activity) => activity.announcements,
  swap: (activity) => activity.announcements,
  'confirm weights': (activity) => activity.announcements,
};
