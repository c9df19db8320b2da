/**
 * What all cases share: the record, the limits of a run, and its end.
 */
/* eslint-disable n/no-process-exit -- it runs as it stands, without a compiler */
import fs from 'node:fs/promises';
import path from 'node:path';

const LONGEST_RUN_MS = 110_000;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

// The gateways end with this process.
['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => process.exit(2)));

export class Case {
  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
    this.lines = [];
    this.startMs = performance.now();
    this.closings = [];
  }

  /** Adds a line to the record. */
  note(text) {
    const seconds = ((performance.now() - this.startMs) / 1000).toFixed(3);
    this.lines.push(`${seconds.padStart(8)} ${text}`);
  }

  /** Registers something that has to end with the run. */
  closeLater(close) {
    this.closings.push(close);
  }

  /**
   * Runs the case.
   * @param run returns the lines that tell how the rule was broken
   */
  async run(run) {
    let status = 2;
    const timer = setTimeout(() => this.end(2, 'the run took too long'), LONGEST_RUN_MS);
    try {
      const breaks = await run();
      status = breaks.length === 0 ? 0 : 1;
      breaks.forEach((line) => this.note(`BROKEN ${line}`));
    } catch (error) {
      this.note(`could not run: ${error.stack}`);
    }
    clearTimeout(timer);
    await this.end(
      status,
      ['the rule held', 'the rule was broken', 'the case could not run'][status],
    );
  }

  async end(status, text) {
    this.note(text);
    await Promise.all(this.closings.map((close) => close()));
    const head = `trouble ${hasTrouble ? 1 : 0}, exit ${status}\n`;
    await fs.writeFile(this.file, `${head}${this.lines.join('\n')}\n`);
    process.stdout.write(`${text}\n`);
    process.exit(status);
  }
}
