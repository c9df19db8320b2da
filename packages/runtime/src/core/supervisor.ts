/**
 * A supervision tree. A supervisor starts its tasks in order, restarts a failed task with exponential
 * backoff, and stops the tasks in reverse order. A supervisor is itself a task.
 */
import type * as logs from './log';
import * as machines from './machine';

/** A component of a daemon that owns its sockets, timers and state. */
export interface Task {
  readonly name: string;
  /** Resolves when the task is in service. A later failure is reported to `Supervisor.reportFailure`. */
  start(): Promise<void>;
  /** Completes the work in flight and releases all resources. */
  stop(): Promise<void>;
}

/** The states of a supervised task; in `waiting` it waits for its restart. */
const TASK_TRANSITIONS = {
  idle: { start: 'starting' },
  starting: { started: 'running', failed: 'waiting' },
  running: { failed: 'waiting', stop: 'stopping' },
  waiting: { start: 'starting', stop: 'stopping' },
  stopping: { stopped: 'stopped' },
  stopped: {},
} as const;
type TaskState = keyof typeof TASK_TRANSITIONS;
type TaskEvent = 'start' | 'started' | 'failed' | 'stop' | 'stopped';

const INITIAL_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 5000;

interface Child {
  readonly task: Task;
  readonly machine: machines.StateMachine<TaskState, TaskEvent>;
  backoffMs: number;
  timer?: NodeJS.Timeout;
}

/** Starts, restarts and stops tasks. */
export class Supervisor implements Task {
  private readonly children: Child[];

  private constructor(
    readonly name: string,
    tasks: readonly Task[],
    private readonly log: logs.Log,
  ) {
    this.children = tasks.map((task) => ({
      task,
      backoffMs: INITIAL_BACKOFF_MS,
      machine: machines.StateMachine.create<TaskState, TaskEvent>(
        'idle',
        TASK_TRANSITIONS,
        (state, previous) => log.info('task state changed', { task: task.name, state, previous }),
      ),
    }));
  }

  static create(name: string, tasks: readonly Task[], log: logs.Log): Supervisor {
    return new Supervisor(name, tasks, log);
  }

  /** Starts all tasks in order; rejects when a task can't be started. */
  async start(): Promise<void> {
    for (const child of this.children) {
      child.machine.send('start');
      await child.task.start();
      child.machine.send('started');
    }
  }

  /** Stops all tasks in reverse order. */
  async stop(): Promise<void> {
    for (const child of [...this.children].reverse()) {
      clearTimeout(child.timer);
      child.machine.send('stop');
      await child.task.stop();
      child.machine.send('stopped');
    }
  }

  /** Whether all tasks are running. */
  isRunning(): boolean {
    return this.children.every((child) => child.machine.isIn('running'));
  }

  /** Reports that a running task failed; it is stopped and restarted after a backoff. */
  reportFailure(task: Task, error: Error): void {
    const child = this.children.find((candidate) => candidate.task === task);
    if (!child?.machine.isIn('running')) return;
    child.machine.send('failed');
    this.log.warn('task failed', { task: task.name, error: error.message });
    this.scheduleRestart(child);
  }

  private scheduleRestart(child: Child): void {
    child.timer = setTimeout(() => {
      this.restart(child).catch(() => {
        child.machine.send('failed');
        this.scheduleRestart(child);
      });
    }, child.backoffMs);
    child.backoffMs = Math.min(MAXIMUM_BACKOFF_MS, child.backoffMs * 2);
  }

  private async restart(child: Child): Promise<void> {
    await child.task.stop();
    child.machine.send('start');
    await child.task.start();
    child.machine.send('started');
    child.backoffMs = INITIAL_BACKOFF_MS;
  }
}
