/**
 * A workload that attempts every step all the time: callers, a trainer, two operators who race each
 * other, a planned restart of a target daemon in every round, and an observer of all daemons.
 */
import * as undici from 'undici';
import * as callers from '../../src/core/caller';
import type * as trainers from '../../src/core/trainer';
import type * as deployments from '../../src/experiments/deployments';
import type * as fleets from '../../src/experiments/fleet';
import * as http from '../../src/experiments/http';
import type * as children from '../../src/experiments/process';

/** Counts of what was attempted. */
export interface Activity {
  requests: number;
  bookings: number;
  completions: number;
  engineRuns: number;
  takes: number;
  changes: number;
  samplings: number;
  restarts: number;
  announcements: number;
}

/** A change that an operator was told is accepted. */
export interface AcceptedChange {
  readonly revision: number;
  readonly atMs: number;
}

/** What the observer saw of one daemon at one time. */
export interface Sighting {
  readonly daemon: string;
  /** Tells one start of a daemon from the next. */
  readonly process: children.ChildProcess;
  readonly atMs: number;
  readonly revision: number;
  readonly isConfirmed: boolean;
}

/** A planned stop of the daemon beside a target. */
export interface PlannedStop {
  readonly target: string;
  readonly atMs: number;
  backMs: number;
}

const CALL_INTERVAL_MS = 30;
const CHANGE_INTERVAL_MS = 700;
const OBSERVE_INTERVAL_MS = 250;
const ANNOUNCE_INTERVAL_MS = 1500;
const OBSERVE_TIMEOUT_MS = 400;
const DEADLINE_MS = 8000;
const COMPLETION_TOKENS = 64;
const LONG_COMPLETION_TOKENS = 400;
const LONG_REQUESTS = 12;
const LONG_CALL_MS = 800;
const FILL_MS = 200;
const OK = 200;

/** Runs until it is stopped. */
export class Workload {
  readonly accepted: AcceptedChange[] = [];

  readonly sightings: Sighting[] = [];

  readonly plannedStops: PlannedStop[] = [];

  /** Races in which both operators were told that their conflicting change is accepted. */
  doubleAcceptances = 0;

  private readonly counts = {
    changes: 0,
    samplings: 0,
    restarts: 0,
    bookings: 0,
    completions: 0,
    announcements: 0,
  };

  private isStopped = false;

  private turn = 0;

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
      tenant: plan.tenant,
      deadlineMs: DEADLINE_MS,
    });
    return new Workload(fleet, caller);
  }

  start(): void {
    this.loops = [
      this.loop(CALL_INTERVAL_MS, () => this.call()),
      this.loop(CHANGE_INTERVAL_MS, () => this.track(this.race())),
      this.loop(OBSERVE_INTERVAL_MS, () => this.observe()),
      this.loop(ANNOUNCE_INTERVAL_MS, () => this.track(this.announce())),
    ];
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.loops);
    await Promise.all(this.pending);
    await this.caller.close();
  }

  /** Waits for the callers' requests under way. */
  async settle(): Promise<void> {
    await Promise.all([...this.pending]);
  }

  /** Stops the daemon beside a target as planned and starts it again. */
  async restart(target: fleets.FleetTarget): Promise<void> {
    const stop: PlannedStop = { target: target.name, atMs: Date.now(), backMs: Infinity };
    this.plannedStops.push(stop);
    await target.daemon.stop();
    stop.backMs = Date.now();
    await this.fleet.restartTargetDaemon(target);
    this.counts.restarts += 1;
  }

  /** Puts requests that last a while in flight at every entry and at every plain service. */
  async fillInFlight(): Promise<void> {
    const services = this.fleet.targets.filter((target) => target.kind === 'service');
    await Promise.all(services.map(({ standin }) => setSlowness(standin.url, LONG_CALL_MS)));
    for (let index = 0; index < LONG_REQUESTS; index += 1) {
      this.turn += 1;
      const name = `long-${this.turn}`;
      this.track(this.caller.complete(name, index, LONG_COMPLETION_TOKENS));
      this.track(this.caller.book(name));
    }
    await http.sleep(FILL_MS);
    await Promise.all(services.map(({ standin }) => setSlowness(standin.url, 0)));
  }

  /** Stops an entry as planned and starts it again. */
  async restartEntry(entry: fleets.FleetEntry): Promise<void> {
    await entry.daemon.stop();
    await this.fleet.restartEntry(entry);
  }

  async readTrainer(): Promise<trainers.TrainerReport> {
    return http.getJson<trainers.TrainerReport>(`${this.fleet.trainers[0].url}/log`);
  }

  /** What was attempted so far. */
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

  private async loop(intervalMs: number, act: () => Promise<void> | void): Promise<void> {
    while (!this.isStopped) {
      await act();
      await http.sleep(intervalMs);
    }
  }

  private call(): void {
    this.turn += 1;
    const { turn } = this;
    if (turn % 3 === 0) this.track(this.book(`booking-${turn}`));
    else if (turn % 3 === 1) this.track(this.caller.lookUp(`slot-${turn}`));
    else {
      this.counts.completions += 1;
      this.track(this.caller.complete(`household ${turn % 10}`, turn, COMPLETION_TOKENS));
    }
  }

  /** Books, and sends the same booking again, as an impatient app does. */
  private async book(id: string): Promise<void> {
    this.counts.bookings += 1;
    const first = this.caller.book(id);
    await http.sleep(this.turn % 2 === 0 ? 5 : 200);
    await Promise.all([first, this.caller.book(id)]);
  }

  private track(promise: Promise<unknown>): void {
    this.pending.add(promise);
    promise.finally(() => this.pending.delete(promise)).catch(() => {});
  }

  /** Two operators change the same file at the same time through different entries. */
  private async race(): Promise<void> {
    this.counts.changes += 1;
    const round = this.counts.changes;
    const { entryUrls } = this.fleet;
    const base = await readRevision(entryUrls, round);
    if (base === undefined) return;
    const share = (round % 9) + 1;
    const outcomes = await Promise.all(
      ['first', 'second'].map((operator, index) =>
        this.change(
          entryUrls[index % entryUrls.length],
          `${operator}-${round}`,
          base,
          share + index,
        ),
      ),
    );
    if (outcomes.filter(Boolean).length > 1) this.doubleAcceptances += 1;
  }

  private async change(
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
    this.accepted.push({ revision, atMs: Date.now() });
    return true;
  }

  /** Announces weights of an adapter that shares the engines. */
  private async announce(): Promise<void> {
    this.counts.announcements += 1;
    const version = this.counts.announcements;
    const { entryUrls } = this.fleet;
    const url = entryUrls[version % entryUrls.length];
    await tryRequest(`${url}/v1/trainers/crew-pairings/weights`, 'POST', { version });
  }

  private async observe(): Promise<void> {
    this.counts.samplings += 1;
    const daemons = [...this.fleet.entries, ...this.fleet.targets].map(({ daemon }) => daemon);
    await Promise.all(daemons.map((daemon) => this.observeDaemon(daemon)));
  }

  private async observeDaemon(daemon: children.ChildProcess): Promise<void> {
    const text = await tryText(`${daemon.url}/metrics`);
    if (text === undefined) return;
    const read = (name: string): number =>
      Number(new RegExp(`^azureworks_${name} (.+)$`, 'm').exec(text)?.[1] ?? 0);
    this.sightings.push({
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

async function tryText(url: string): Promise<string | undefined> {
  try {
    const response = await undici.request(url, { signal: AbortSignal.timeout(OBSERVE_TIMEOUT_MS) });
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

function setSlowness(url: string, slowMs: number): Promise<unknown> {
  return http.postJson(`${url}/faults`, { slowMs });
}
