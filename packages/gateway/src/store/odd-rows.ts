/**
 * Reports rows that cannot be used. Such a row may have been written by another program; it is passed
 * over, and the other rows hold.
 */
import * as crypto from 'node:crypto';
import type * as environments from '../types/environment';
import * as boundedMaps from '../jobs/bounded-map';
import type * as stores from '../types/store';

/** Rows that are remembered, so that each is reported once until it changes. */
const MAXIMUM_REMEMBERED_ROWS = 256;
/** How much of a row's value the log shows, in bytes. */
const LOGGED_BYTES = 200;

/** The odd rows that one task has met. */
export class OddRows {
  /** The digests of the values, by row. */
  private readonly reported = boundedMaps.BoundedMap.create<string>(MAXIMUM_REMEMBERED_ROWS);

  private constructor(
    private readonly environment: Pick<environments.Environment, 'log' | 'metrics'>,
  ) {}

  static create(environment: Pick<environments.Environment, 'log' | 'metrics'>): OddRows {
    return new OddRows(environment);
  }

  /**
   * Reports a row, unless it was reported with the same value before.
   * @param consequence what it means that the row cannot be used
   */
  report(row: stores.Row, consequence: string): void {
    const { table, partition, key, value, revision } = row;
    const id = `${table}\0${partition}\0${key}`;
    const digest = crypto.createHash('sha256').update(value).digest('base64');
    if (this.reported.get(id) === digest) return;
    this.reported.set(id, digest);
    this.environment.metrics.count('rows_ignored', { table });
    this.environment.log.warn('row ignored', {
      table,
      partition,
      key,
      revision,
      consequence,
      bytes: value.length,
      value: value.toString('utf8', 0, LOGGED_BYTES),
    });
  }
}
