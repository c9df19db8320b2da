/**
 * What the kernel tells of a process under test: its memory, with the bytes that wait in its sockets, and
 * its descriptors.
 */
import * as fs from 'node:fs';

/** The highest values that were seen. */
export interface Peaks {
  memoryKb: number;
  fds: number;
}

const SAMPLE_INTERVAL_MS = 50;
const KIBIBYTE = 1024;
/** State of a listening socket in /proc/net/tcp; its queue is a number of connections. */
const LISTENING = '0A';

/** Samples one process until it is stopped. */
export class ProcessSampler {
  readonly peaks: Peaks = { memoryKb: 0, fds: 0 };

  private readonly timer: NodeJS.Timeout;

  private constructor(
    private readonly processId: number,
    private readonly ports: readonly number[],
  ) {
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** @param ports on which the process listens */
  static create(processId: number, ports: readonly number[]): ProcessSampler {
    return new ProcessSampler(processId, ports);
  }

  /** Whether the process still runs. */
  get isAlive(): boolean {
    return fs.existsSync(`/proc/${this.processId}/fd`);
  }

  sample(): void {
    if (!this.isAlive) return;
    const status = fs.readFileSync(`/proc/${this.processId}/status`, 'utf8');
    const peakKb = Math.max(readKilobytes(status, 'VmHWM'), readKilobytes(status, 'VmRSS'));
    const memoryKb = peakKb + sumReceiveQueues(this.ports) / KIBIBYTE;
    this.peaks.memoryKb = Math.max(this.peaks.memoryKb, Math.round(memoryKb));
    const fds = fs.readdirSync(`/proc/${this.processId}/fd`).length;
    this.peaks.fds = Math.max(this.peaks.fds, fds);
  }

  stop(): void {
    clearInterval(this.timer);
  }
}

function readKilobytes(status: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(status)?.[1] ?? 0);
}

/** Bytes that the kernel holds for the sockets of local ports, which are not read yet. */
function sumReceiveQueues(ports: readonly number[]): number {
  const suffixes = ports.map((port) => `:${port.toString(16).toUpperCase().padStart(4, '0')}`);
  return fs
    .readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .map((line) => line.trim().split(/\s+/))
    .filter(
      ([, local = '', , state]) =>
        state !== LISTENING && suffixes.some((suffix) => local.endsWith(suffix)),
    )
    .reduce((total, columns) => total + Number.parseInt(columns[4]?.split(':')[1] ?? '0', 16), 0);
}
