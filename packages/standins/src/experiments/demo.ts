/**
 * The main job on stand-ins: a deployment as separate processes, trainers that run steps and
 * callers beside them. The report says what the stand-ins saw.
 */
import * as childProcess from 'node:child_process';
import type * as trainers from '../core/trainer';
import * as callers from '../core/caller';
import type * as deployments from './deployments';
import * as fleets from './fleet';
import * as http from './http';

/** What the stand-ins saw. */
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

/** Called with lines that tell how far the job is. */
export type Progress = (line: string) => void;

const CALL_INTERVAL_MS = 40;
const COMPLETION_TOKENS = 40;
const PROGRESS_INTERVAL_MS = 2000;
const DEADLINE_MS = 20_000;
const PROMPTS = 12;

/** Runs the main job. */
export async function runDemo(
  plan: deployments.DeploymentPlan,
  steps: number,
  progress: Progress,
): Promise<DemoReport> {
  progress(`starting ${plan.name}: ${describePlan(plan)}`);
  const fleet = await fleets.Fleet.create(plan.fleet);
  const interrupt = (): void => {
    fleet.killAll();
    process.exit(130);
  };
  process.on('SIGINT', interrupt);
  process.on('SIGTERM', interrupt);
  try {
    return await runOnFleet(plan, steps, fleet, progress);
  } catch (error) {
    fleet.killAll();
    throw error;
  } finally {
    process.off('SIGINT', interrupt);
    process.off('SIGTERM', interrupt);
  }
}

/** Applies a configuration folder with the operators' command line. */
export function applyFolder(fleet: fleets.Fleet, folder: string): { revision: number } {
  const entries = fleet.entryUrls.flatMap((url) => ['--entry', url]);
  const commandLine = [fleets.CLIENT_SCRIPT, '--json', ...entries, 'apply', folder];
  const result = childProcess.spawnSync(process.execPath, commandLine, { encoding: 'utf8' });
  if (result.status !== 0) throw new Error(`apply failed: ${result.stdout}${result.stderr}`);
  return JSON.parse(result.stdout) as { revision: number };
}

async function runOnFleet(
  plan: deployments.DeploymentPlan,
  steps: number,
  fleet: fleets.Fleet,
  progress: Progress,
): Promise<DemoReport> {
  const folder = fleet.writeFolder('configuration', plan.files);
  const { revision } = applyFolder(fleet, folder);
  await fleet.waitUntilReady(revision);
  progress(`configuration revision ${revision} is in force everywhere`);
  const options = ['--steps', String(steps)];
  await Promise.all(plan.trainers.map((name) => fleet.addTrainer(name, options)));
  const caller = callers.CallerStandin.create({
    entries: fleet.entryUrls,
    engine: plan.engine,
    service: plan.service,
    tenant: plan.tenant,
    deadlineMs: DEADLINE_MS,
  });
  const reports = await runUntilDone(fleet, caller, progress);
  const bookings = await readBookings(fleet);
  await caller.close();
  const unclean = await fleet.stop();
  return createReport(plan, caller, reports, bookings, unclean);
}

async function runUntilDone(
  fleet: fleets.Fleet,
  caller: callers.CallerStandin,
  progress: Progress,
): Promise<trainers.TrainerReport[]> {
  const pending: Promise<unknown>[] = [];
  let reports = await readReports(fleet);
  let shownMs = performance.now();
  for (let turn = 0; !reports.every((report) => report.isDone); turn += 1) {
    pending.push(makeCall(caller, turn));
    await http.sleep(CALL_INTERVAL_MS);
    if (performance.now() - shownMs >= PROGRESS_INTERVAL_MS) {
      shownMs = performance.now();
      reports = await readReports(fleet);
      progress(describeProgress(reports, caller));
    }
  }
  await Promise.all(pending);
  return reports;
}

function makeCall(caller: callers.CallerStandin, turn: number): Promise<unknown> {
  if (turn % 3 === 0) return caller.book(`booking-${turn}`);
  if (turn % 3 === 1) return caller.lookUp(`slot-${turn}`);
  return caller.complete(`household ${turn % PROMPTS}`, turn, COMPLETION_TOKENS);
}

function readReports(fleet: fleets.Fleet): Promise<trainers.TrainerReport[]> {
  return Promise.all(
    fleet.trainers.map((trainer) => http.getJson<trainers.TrainerReport>(`${trainer.url}/log`)),
  );
}

/** The request ids of every booking that really ran, over all targets. */
export async function readBookings(fleet: fleets.Fleet): Promise<string[]> {
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
  bookings: readonly string[],
  unclean: readonly string[],
): DemoReport {
  const sum = (read: (report: trainers.TrainerReport) => number): number =>
    reports.reduce((total, report) => total + read(report), 0);
  const received = sum((report) => report.received);
  const ran = new Set(bookings);
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
    bookingsRunTwice: bookings.length - ran.size,
    refusalsThatRan: caller.refusedIds.filter((id) => ran.has(id)).length,
    daemonsNotStoppedCleanly: unclean,
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
