/**
 * Structured logs, one JSON object a line: a line for each decision that touches a request or
 * changes what the process believes.
 */
import * as perfHooks from 'node:perf_hooks';
import * as winston from 'winston';
import * as lineOutputs from './line-output';

/** Fields of a log line beside its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Where a task writes its changes of state. */
export interface Log {
  change(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
}

/** A log on standard output. */
export class JsonLog implements Log {
  private constructor(
    private readonly logger: winston.Logger,
    private readonly output: lineOutputs.LineOutput,
  ) {}

  /** Lines that could not be written so far. */
  get leftOutCount(): number {
    return this.output.leftOutCount;
  }

  /**
   * @param level the least severe level that is written
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

  change(message: string, fields: LogFields = {}): void {
    this.logger.info(message, fields);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.logger.warn(message, fields);
  }
}
