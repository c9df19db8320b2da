/**
 * Structured logs, one JSON object a line. Counters carry what happens often; a line is written
 * only when a state changes.
 */
import * as winston from 'winston';

/** Fields of a log line beside its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Where a task writes its changes of state. */
export interface Log {
  change(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
}

/** A log on standard output. */
export class JsonLog implements Log {
  private constructor(private readonly logger: winston.Logger) {}

  /**
   * @param level the least severe level that is written
   * @param daemon the name of the daemon, added to every line
   */
  static create(level: string, daemon: string): JsonLog {
    const logger = winston.createLogger({
      level,
      defaultMeta: { daemon },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [new winston.transports.Console()],
    });
    return new JsonLog(logger);
  }

  change(message: string, fields: LogFields = {}): void {
    this.logger.info(message, fields);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.logger.warn(message, fields);
  }
}
