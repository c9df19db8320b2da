/**
 * A child process of an experiment. It runs a script that prints its ports as a JSON line once it
 * is ready.
 */
import * as childProcess from 'node:child_process';
import * as readline from 'node:readline';

/** The ports that a child printed. */
export interface ReportedPorts {
  readonly port?: number;
  readonly httpPort?: number;
  readonly controlPort?: number;
}

const START_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 40_000;

/** A child process with its ports and output. */
export class ChildProcess {
  /** The lines that the child printed, the latest last. */
  readonly lines: string[] = [];

  private exitCode: number | null | undefined;

  private constructor(
    readonly name: string,
    private readonly child: childProcess.ChildProcess,
    readonly ports: ReportedPorts,
  ) {
    child.on('exit', (code) => {
      this.exitCode = code;
    });
  }

  /** Starts a script and waits until it prints its ports. */
  static async create(
    name: string,
    script: string,
    commandLine: readonly string[],
    runtimeFlags: readonly string[] = [],
  ): Promise<ChildProcess> {
    const child = childProcess.spawn(process.execPath, [...runtimeFlags, script, ...commandLine], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const lineReader = readline.createInterface({ input: child.stdout });
    const linesBeforeStart: string[] = [];
    const ports = await new Promise<ReportedPorts>((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`${name} did not print its ports in time`)),
        START_TIMEOUT_MS,
      );
      child.once('exit', (code) =>
        reject(new Error(`${name} exited with code ${code} before it printed its ports`)),
      );
      lineReader.on('line', (line) => {
        linesBeforeStart.push(line);
        const parsed = parsePorts(line);
        if (!parsed) return;
        clearTimeout(timer);
        resolve(parsed);
      });
    });
    child.removeAllListeners('exit');
    const started = new ChildProcess(name, child, ports);
    started.lines.push(...linesBeforeStart);
    lineReader.on('line', (line) => started.lines.push(line));
    return started;
  }

  /** The URL of the child's HTTP port. */
  get url(): string {
    return `http://127.0.0.1:${this.ports.port ?? this.ports.httpPort}`;
  }

  get processId(): number {
    return this.child.pid ?? 0;
  }

  get hasEnded(): boolean {
    return this.exitCode !== undefined;
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Sends a signal, then SIGKILL after a timeout; resolves to the exit code. */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    if (this.exitCode !== undefined) return this.exitCode;
    const ended = new Promise<number | null>((resolve) => {
      this.child.once('exit', (code) => resolve(code));
    });
    this.child.kill(signal);
    const timer = setTimeout(() => this.child.kill('SIGKILL'), STOP_TIMEOUT_MS);
    const code = await ended;
    clearTimeout(timer);
    return code;
  }
}

function parsePorts(line: string): ReportedPorts | undefined {
  if (!line.startsWith('{')) return undefined;
  const parsed = JSON.parse(line) as ReportedPorts;
  return parsed.port !== undefined || parsed.httpPort !== undefined ? parsed : undefined;
}
