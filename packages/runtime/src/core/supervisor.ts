/**
 * The supervisor tree. A supervisor starts its tasks in order, restarts one that fails after a
 * growing pause, and stops them in the reverse order. A supervisor is itself a task.
 */
import type * as logs from './log';
import * as machines from './machine';

/** A part of a daemon that owns its sockets, its timers and its state. */
export interface Task {
  readonly name: string;
  /** Resolves when the task serves. A task that fails later calls the supervisor's `fail`. */
  start(): Promise<void>;
  /** Finishes what is in flight and releases everything. */
  stop(): Promise<void>;
}

/** The life of a supervised task. */
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

const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 5000;

interface Child {
  readonly task: Task;
  readonly machine: machines.Machine<TaskState, TaskEvent>;
  pauseMs: number;
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
      pauseMs: FIRST_PAUSE_MS,
      machine: machines.Machine.create<TaskState, TaskEvent>(
        'idle',
        TASK_TRANSITIONS,
        (state, previous) => log.change('task', { task: task.name, state, previous }),
      ),
    }));
  }

  static create(name: string, tasks: readonly Task[], log: logs.Log): Supervisor {
    return new Supervisor(name, tasks, log);
  }

  /** Starts all tasks in order; rejects when one cannot be started. */
  async start(): Promise<void> {
    for (const child of this.children) {
      child.machine.send('start');
      await child.task.start();
      child.machine.send('started');
    }
  }

  /** Stops all tasks in the reverse order. */
  async stop(): Promise<void> {
    for (const child of [...this.children].reverse()) {
      clearTimeout(child.timer);
      child.machine.send('stop');
      await child.task.stop();
      child.machine.send('stopped');
    }
  }

  /** Whether every task runs. */
  isRunning(): boolean {
    return this.children.every((child) => child.machine.isIn('running'));
  }

  /** Reports that a running task failed; it is stopped and started again after a pause. */
  fail(task: Task, error: Error): void {
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
    }, child.pauseMs);
    child.pauseMs = Math.min(LONGEST_PAUSE_MS, child.pauseMs * 2);
  }

  private async restart(child: Child): Promise<void> {
    await child.task.stop();
    child.machine.send('start');
    await child.task.start();
    child.machine.send('started');
    child.pauseMs = FIRST_PAUSE_MS;
  }
}
