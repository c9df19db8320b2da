/**
 * A workload that constantly attempts every step: callers, a trainer, two operators that race each
 * other, a planned restart of a target daemon in every round, and an observer of all daemons.
 */
import * as undici from 'undici';
import * as callers from '../../src/core/caller';
import type * as trainers from '../../src/core/trainer';
import type * as children from '../../src/experiments/child-process';
import type * as deployments from '../../src/experiments/deployments';
import type * as fleets from '../../src/experiments/fleet';
import * as http from '../../src/experiments/http';

/** Counts of attempted operations. */
export interface Activity {
  requests: number;
  bookings: number;
  completions: number;
  engineRuns: number;
  takes: number;
  changes: number;
  observationRounds: number;
  restarts: number;
  announcements: number;
}

/** A configuration change that was accepted. */
export interface AcceptedChange {
  readonly revision: number;
  readonly atMs: number;
}

/** One daemon's revision at one time. */
export interface Observation {
  readonly daemon: string;
  /** Distinguishes restarts of a daemon. */
  readonly process: children.ChildProcess;
  readonly atMs: number;
  readonly revision: number;
  readonly isConfirmed: boolean;
}

/** A planned stop of a target's daemon. */
export interface PlannedStop {
  readonly target: string;
  readonly stopRequestedMs: number;
  restartStartMs: number;
}

const CALL_INTERVAL_MS = 30;
const CHANGE_INTERVAL_MS = 700;
const OBSERVATION_INTERVAL_MS = 250;
const ANNOUNCEMENT_INTERVAL_MS = 1500;
const OBSERVATION_TIMEOUT_MS = 400;
const DEADLINE_MS = 8000;
const COMPLETION_TOKENS = 64;
const LONG_COMPLETION_TOKENS = 400;
const LONG_REQUESTS_PER_KIND = 12;
const LONG_CALL_DURATION_MS = 800;
const FILL_DURATION_MS = 200;
const OK = 200;

/** Runs callers, operators and the observer until it is stopped. */
export class Workload {
  readonly acceptedChanges: AcceptedChange[] = [];

  readonly observations: Observation[] = [];

  readonly plannedStops: PlannedStop[] = [];

  /** Number of races in which both of two conflicting changes were accepted. */
  doubleAcceptances = 0;

  private readonly counts = {
    changes: 0,
    observationRounds: 0,
    restarts: 0,
    bookings: 0,
    completions: 0,
    announcements: 0,
  };

  private isStopped = false;

  private callCount = 0;

  private loops: Promise<void>[] = [];

  private readonly pending = new Set<Promise<unknown>>();

  private constructor(
    readonly fleet: fleets.Fleet,
    readonly caller: callers.CallerStandin,
  ) {}

  static create(fleet: fleets.Fleet, plan: deployments.DeploymentPlan): Workload {
    const caller = callers.CallerStandin.create({
      entries: fleet.entryUrls,
      engine: plan.engine,
      service: plan.service,
      organisation: plan.organisation,
      deadlineMs: DEADLINE_MS,
    });
    return new Workload(fleet, caller);
  }

  start(): void {
    this.loops = [
      this.runPeriodically(CALL_INTERVAL_MS, () => this.sendNextCall()),
      this.runPeriodically(CHANGE_INTERVAL_MS, () => this.track(this.raceOperators())),
      this.runPeriodically(OBSERVATION_INTERVAL_MS, () => this.observeDaemons()),
      this.runPeriodically(ANNOUNCEMENT_INTERVAL_MS, () =>
        this.track(this.announceAdapterWeights()),
      ),
    ];
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.loops);
    await Promise.all(this.pending);
    await this.caller.close();
  }

  /** Waits for the requests that are in flight now. */
  async waitForPending(): Promise<void> {
    await Promise.all([...this.pending]);
  }

  /** Performs a planned restart of a target's daemon. */
  async restartTargetDaemon(target: fleets.FleetTarget): Promise<void> {
    const stop: PlannedStop = {
      target: target.name,
      stopRequestedMs: Date.now(),
      restartStartMs: Infinity,
    };
    this.plannedStops.push(stop);
    await target.daemon.stop();
    stop.restartStartMs = Date.now();
    await this.fleet.restartTargetDaemon(target);
    this.counts.restarts += 1;
  }

  /** Starts long requests, so that every entry and every plain service has some in flight. */
  async fillInFlight(): Promise<void> {
    const services = this.fleet.targets.filter((target) => target.kind === 'service');
    await Promise.all(services.map(({ standin }) => setDelay(standin.url, LONG_CALL_DURATION_MS)));
    for (let index = 0; index < LONG_REQUESTS_PER_KIND; index += 1) {
      this.callCount += 1;
      const name = `long-${this.callCount}`;
      this.track(this.caller.complete(name, index, LONG_COMPLETION_TOKENS));
      this.track(this.caller.book(name));
    }
    await http.sleep(FILL_DURATION_MS);
    await Promise.all(services.map(({ standin }) => setDelay(standin.url, 0)));
  }

  /** Performs a planned restart of an entry. */
  async restartEntry(entry: fleets.FleetEntry): Promise<void> {
    await entry.daemon.stop();
    await this.fleet.restartEntry(entry);
  }

  async readTrainer(): Promise<trainers.TrainerReport> {
    return http.getJson<trainers.TrainerReport>(`${this.fleet.trainers[0].url}/log`);
  }

  /** Counts the operations attempted since the workload started. */
  async readActivity(): Promise<Activity> {
    const engines = this.fleet.targets.filter((target) => target.kind === 'engine');
    const runs = await Promise.all(engines.map((engine) => readRunCount(engine)));
    const trainer = await this.readTrainer();
    return {
      ...this.counts,
      requests: this.caller.report.requests,
      engineRuns: runs.reduce((sum, count) => sum + count, 0),
      takes: trainer.takes,
    };
  }

  private async runPeriodically(
    intervalMs: number,
    action: () => Promise<void> | void,
  ): Promise<void> {
    while (!this.isStopped) {
      await action();
      await http.sleep(intervalMs);
    }
  }

  private sendNextCall(): void {
    this.callCount += 1;
    const { callCount: callNumber } = this;
    if (callNumber % 3 === 0) this.track(this.bookTwice(`booking-${callNumber}`));
    else if (callNumber % 3 === 1) this.track(this.caller.lookUp(`slot-${callNumber}`));
    else {
      this.counts.completions += 1;
      this.track(
        this.caller.complete(`household ${callNumber % 10}`, callNumber, COMPLETION_TOKENS),
      );
    }
  }

  /** Sends a booking twice with the same id, like a client that retries before the answer. */
  private async bookTwice(id: string): Promise<void> {
    this.counts.bookings += 1;
    const first = this.caller.book(id);
    await http.sleep(this.callCount % 2 === 0 ? 5 : 200);
    await Promise.all([first, this.caller.book(id)]);
  }

  private track(promise: Promise<unknown>): void {
    this.pending.add(promise);
    promise.finally(() => this.pending.delete(promise)).catch(() => {});
  }

  /** Two operators submit conflicting changes of one file concurrently through two entries. */
  private async raceOperators(): Promise<void> {
    this.counts.changes += 1;
    const round = this.counts.changes;
    const { entryUrls } = this.fleet;
    const baseRevision = await readRevision(entryUrls, round);
    if (baseRevision === undefined) return;
    const share = (round % 9) + 1;
    const outcomes = await Promise.all(
      ['first', 'second'].map((operator, index) =>
        this.submitChange(
          entryUrls[index % entryUrls.length],
          `${operator}-${round}`,
          baseRevision,
          share + index,
        ),
      ),
    );
    if (outcomes.filter(Boolean).length > 1) this.doubleAcceptances += 1;
  }

  private async submitChange(
    url: string,
    operator: string,
    baseRevision: number,
    share: number,
  ): Promise<boolean> {
    const answer = await tryRequest(`${url}/v1/configuration/changes`, 'POST', {
      id: `change-${operator}`,
      baseRevision,
      put: { '90-race.ini': `[tenant ${operator}]\nshare = ${share}\n` },
      remove: [],
    });
    if (answer?.status !== OK) return false;
    const { revision } = answer.body as { revision: number };
    this.acceptedChanges.push({ revision, atMs: Date.now() });
    return true;
  }

  /** Announces new weights of an adapter that runs on the same engines. */
  private async announceAdapterWeights(): Promise<void> {
    this.counts.announcements += 1;
    const version = this.counts.announcements;
    const { entryUrls } = this.fleet;
    const url = entryUrls[version % entryUrls.length];
    await tryRequest(`${url}/v1/trainers/crew-pairings/weights`, 'POST', { version });
  }

  private async observeDaemons(): Promise<void> {
    this.counts.observationRounds += 1;
    const daemons = [...this.fleet.entries, ...this.fleet.targets].map(({ daemon }) => daemon);
    await Promise.all(daemons.map((daemon) => this.observeDaemon(daemon)));
  }

  private async observeDaemon(daemon: children.ChildProcess): Promise<void> {
    const text = await tryGetText(`${daemon.url}/metrics`);
    if (text === undefined) return;
    const read = (name: string): number =>
      Number(new RegExp(`^azureworks_${name} (.+)$`, 'm').exec(text)?.[1] ?? 0);
    this.observations.push({
      daemon: daemon.name,
      process: daemon,
      atMs: Date.now(),
      revision: read('revision'),
      isConfirmed: read('revision_confirmed') === 1,
    });
  }
}

async function readRunCount(engine: fleets.FleetTarget): Promise<number> {
  const log = await http.getJson<{ runs: unknown[] }>(`${engine.standin.url}/log`);
  return log.runs.length;
}

async function tryRequest(
  url: string,
  method: 'GET' | 'POST',
  body: unknown,
): Promise<{ status: number; body: unknown } | undefined> {
  try {
    const response = await undici.request(url, {
      method,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(DEADLINE_MS),
    });
    return { status: response.statusCode, body: await response.body.json() };
  } catch {
    return undefined;
  }
}

async function tryGetText(url: string): Promise<string | undefined> {
  try {
    const response = await undici.request(url, {
      signal: AbortSignal.timeout(OBSERVATION_TIMEOUT_MS),
    });
    return await response.body.text();
  } catch {
    return undefined;
  }
}

async function readRevision(urls: readonly string[], round: number): Promise<number | undefined> {
  const url = urls[round % urls.length];
  const answer = await tryRequest(`${url}/v1/configuration`, 'GET', undefined);
  return answer?.status === OK ? (answer.body as { revision: number }).revision : undefined;
}

function setDelay(url: string, slowMs: number): Promise<unknown> {
  return http.postJson(`${url}/faults`, { slowMs });
}
