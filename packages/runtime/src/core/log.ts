/**
 * Structured logs with one JSON object per line. A line is written for each decision that affects a
 * request or changes the state of the process.
 */
import * as perfHooks from 'node:perf_hooks';
import * as winston from 'winston';
import * as lineOutputs from './line-output';

/** Fields of a log line in addition to its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** The log that tasks write to. */
export interface Log {
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
}

/** A log that writes JSON lines to standard output. */
export class JsonLog implements Log {
  private constructor(
    private readonly logger: winston.Logger,
    private readonly output: lineOutputs.LineOutput,
  ) {}

  /** The number of lines dropped so far. */
  get droppedLineCount(): number {
    return this.output.droppedLineCount;
  }

  /**
   * @param level the least severe level to write
   * @param daemon the name of the daemon, added to every line
   */
  static create(level: string, daemon: string): JsonLog {
    const output = lineOutputs.LineOutput.create(process.stdout, () => perfHooks.performance.now());
    const logger = winston.createLogger({
      level,
      defaultMeta: { daemon },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [new winston.transports.Stream({ stream: output.writable, eol: '\n' })],
    });
    return new JsonLog(logger, output);
  }

  info(message: string, fields: LogFields = {}): void {
    this.logger.info(message, fields);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.logger.warn(message, fields);
  }
}
