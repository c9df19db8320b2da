/**
 * The main job on stand-ins: a deployment of separate processes whose trainers run steps while
 * callers send requests. The report shows what the stand-ins recorded.
 */
import * as childProcess from 'node:child_process';
import type * as trainers from '../core/trainer';
import * as callers from '../core/caller';
import type * as deployments from './deployments';
import * as fleets from './fleet';
import * as http from './http';

/** Results recorded by the stand-ins. */
export interface DemoReport {
  readonly deployment: string;
  readonly requests: number;
  readonly answers: number;
  readonly answersDamaged: number;
  readonly answersUnlabelled: number;
  readonly samplesAskedFor: number;
  readonly samplesReceived: number;
  readonly samplesDoubled: number;
  readonly samplesUnlabelled: number;
  readonly samplesDamaged: number;
  readonly stalenessMaximum: number;
  readonly stalenessMean: number;
  readonly trainerIdleShare: number;
  readonly bookingsAnswered: number;
  readonly bookingsRunTwice: number;
  readonly refusalsThatRan: number;
  readonly daemonsNotStoppedCleanly: readonly string[];
}

/** Called with one line of progress text at a time. */
export type ProgressListener = (line: string) => void;

const CALL_INTERVAL_MS = 40;
const COMPLETION_TOKENS = 40;
const PROGRESS_INTERVAL_MS = 2000;
const DEADLINE_MS = 20_000;
const DISTINCT_PROMPTS = 12;

/** Runs the main job on a new fleet. */
export async function runDemo(
  plan: deployments.DeploymentPlan,
  steps: number,
  onProgress: ProgressListener,
): Promise<DemoReport> {
  onProgress(`starting ${plan.name}: ${describePlan(plan)}`);
  const fleet = await fleets.Fleet.create(plan.fleet);
  const interrupt = (): void => {
    fleet.killAll();
    process.exit(130);
  };
  process.on('SIGINT', interrupt);
  process.on('SIGTERM', interrupt);
  try {
    return await runMainJob(plan, steps, fleet, onProgress);
  } catch (error) {
    fleet.killAll();
    throw error;
  } finally {
    process.off('SIGINT', interrupt);
    process.off('SIGTERM', interrupt);
  }
}

/** Applies a configuration folder with the operator command line. */
export function applyConfiguration(fleet: fleets.Fleet, folder: string): { revision: number } {
  const entries = fleet.entryUrls.flatMap((url) => ['--entry', url]);
  const commandLine = [fleets.CLIENT_SCRIPT, '--json', ...entries, 'apply', folder];
  const result = childProcess.spawnSync(process.execPath, commandLine, { encoding: 'utf8' });
  if (result.status !== 0)
    throw new Error(`applying the configuration failed: ${result.stdout}${result.stderr}`);
  return JSON.parse(result.stdout) as { revision: number };
}

async function runMainJob(
  plan: deployments.DeploymentPlan,
  steps: number,
  fleet: fleets.Fleet,
  onProgress: ProgressListener,
): Promise<DemoReport> {
  const folder = fleet.writeConfiguration('configuration', plan.configurationFiles);
  const { revision } = applyConfiguration(fleet, folder);
  await fleet.waitUntilReady(revision);
  onProgress(`configuration revision ${revision} is in force everywhere`);
  const options = ['--steps', String(steps)];
  await Promise.all(plan.trainers.map((name) => fleet.addTrainer(name, options)));
  const caller = callers.CallerStandin.create({
    entries: fleet.entryUrls,
    engine: plan.engine,
    service: plan.service,
    organisation: plan.organisation,
    deadlineMs: DEADLINE_MS,
  });
  const reports = await runUntilDone(fleet, caller, onProgress);
  const ranBookingIds = await readRanBookingIds(fleet);
  await caller.close();
  const daemonsNotStopped = await fleet.stop();
  return createReport(plan, caller, reports, ranBookingIds, daemonsNotStopped);
}

async function runUntilDone(
  fleet: fleets.Fleet,
  caller: callers.CallerStandin,
  onProgress: ProgressListener,
): Promise<trainers.TrainerReport[]> {
  const pending: Promise<unknown>[] = [];
  let reports = await readReports(fleet);
  let lastProgressMs = performance.now();
  for (let callIndex = 0; !reports.every((report) => report.isDone); callIndex += 1) {
    pending.push(sendCall(caller, callIndex));
    await http.sleep(CALL_INTERVAL_MS);
    if (performance.now() - lastProgressMs >= PROGRESS_INTERVAL_MS) {
      lastProgressMs = performance.now();
      reports = await readReports(fleet);
      onProgress(describeProgress(reports, caller));
    }
  }
  await Promise.all(pending);
  return reports;
}

function sendCall(caller: callers.CallerStandin, callIndex: number): Promise<unknown> {
  if (callIndex % 3 === 0) return caller.book(`booking-${callIndex}`);
  if (callIndex % 3 === 1) return caller.lookUp(`slot-${callIndex}`);
  return caller.complete(`household ${callIndex % DISTINCT_PROMPTS}`, callIndex, COMPLETION_TOKENS);
}

function readReports(fleet: fleets.Fleet): Promise<trainers.TrainerReport[]> {
  return Promise.all(
    fleet.trainers.map((trainer) => http.getJson<trainers.TrainerReport>(`${trainer.url}/log`)),
  );
}

/** Returns the request ids of all bookings that ran; an id is repeated if its booking ran again. */
export async function readRanBookingIds(fleet: fleets.Fleet): Promise<string[]> {
  const services = fleet.targets.filter((target) => target.kind === 'service');
  const logs = await Promise.all(
    services.map((target) =>
      http.getJson<{ bookings: { requestId: string }[] }>(`${target.standin.url}/log`),
    ),
  );
  return logs.flatMap((log) => log.bookings.map((booking) => booking.requestId));
}

function createReport(
  plan: deployments.DeploymentPlan,
  caller: callers.CallerStandin,
  reports: readonly trainers.TrainerReport[],
  ranBookingIds: readonly string[],
  daemonsNotStopped: readonly string[],
): DemoReport {
  const sum = (read: (report: trainers.TrainerReport) => number): number =>
    reports.reduce((total, report) => total + read(report), 0);
  const received = sum((report) => report.received);
  const ranIds = new Set(ranBookingIds);
  return {
    deployment: plan.name,
    requests: caller.report.requests,
    answers: caller.report.answers,
    answersDamaged: caller.report.damaged,
    answersUnlabelled: caller.report.unlabelled,
    samplesAskedFor: sum((report) => report.asked),
    samplesReceived: received,
    samplesDoubled: sum((report) => report.doubled),
    samplesUnlabelled: sum((report) => report.unlabelled),
    samplesDamaged: sum((report) => report.damaged),
    stalenessMaximum: Math.max(...reports.map((report) => report.stalenessMaximum)),
    stalenessMean: sum((report) => report.stalenessMean * report.received) / received,
    trainerIdleShare: sum((report) => report.idleMs) / sum((report) => report.totalMs),
    bookingsAnswered: caller.answeredIds.length,
    bookingsRunTwice: ranBookingIds.length - ranIds.size,
    refusalsThatRan: caller.refusedIds.filter((id) => ranIds.has(id)).length,
    daemonsNotStoppedCleanly: daemonsNotStopped,
  };
}

function describePlan(plan: deployments.DeploymentPlan): string {
  const services = plan.fleet.services.map((service) => `${service.count} x ${service.service}`);
  const domains = plan.fleet.failureDomains.length;
  return `${plan.fleet.entries} entries, ${services.join(', ')} in ${domains} failure domains`;
}

function describeProgress(
  reports: readonly trainers.TrainerReport[],
  caller: callers.CallerStandin,
): string {
  const trainersText = reports
    .map((report) => `${report.name} ${report.received}/${report.asked} samples`)
    .join(', ');
  return `${trainersText}; ${caller.report.answers}/${caller.report.requests} calls answered`;
}
