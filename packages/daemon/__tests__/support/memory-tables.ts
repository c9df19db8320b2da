/**
 * A table service in memory that fails as a seeded generator says: before the effect, after it, or
 * not at all.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as storage from '@azureworks/storage';

type Outcome = 'answered' | 'lost-after' | 'refused';

function fail(verdict: decisions.VerdictKind): storage.StoreFailure {
  return { kind: storage.StoreFailureKind.Unavailable, verdict, message: 'simulated' };
}

/** Rows in memory. */
export class MemoryTables implements storage.TableService {
  readonly rows = new Map<string, storage.Row>();

  private writeNumber = 0;

  private constructor(
    private readonly random: decisions.Random,
    private readonly failureShare: number,
  ) {}

  /** @param failureShare the share of operations that fail, half of them after their effect */
  static create(random: decisions.Random, failureShare: number): MemoryTables {
    return new MemoryTables(random, failureShare);
  }

  read<T>(table: string, key: string): storage.StoreResult<storage.Row<T> | undefined> {
    return this.run(() => this.rows.get(`${table}/${key}`) as storage.Row<T> | undefined);
  }

  list<T>(table: string, prefix: string): storage.StoreResult<storage.Row<T>[]> {
    return this.run(() =>
      [...this.rows]
        .filter(([path]) => path.startsWith(`${table}/${prefix}`))
        .sort(([first], [second]) => (first < second ? -1 : 1))
        .map(([, row]) => row as storage.Row<T>),
    );
  }

  transact(writes: readonly storage.Write[]): storage.StoreResult<string[]> {
    const outcome = this.draw();
    if (outcome === 'refused') return neverthrow.errAsync(fail(decisions.VerdictKind.NotRun));
    const conflict = writes.find((write) => !this.holds(write));
    if (!conflict) writes.forEach((write) => this.apply(write));
    if (outcome === 'lost-after')
      return neverthrow.errAsync(fail(decisions.VerdictKind.MayHaveRun));
    if (!conflict) return neverthrow.okAsync(writes.map(() => `e${this.writeNumber}`));
    return neverthrow.errAsync({
      kind: storage.StoreFailureKind.Conflict,
      verdict: decisions.VerdictKind.NotRun,
      message: 'simulated',
      conflict: conflict.key,
    });
  }

  private run<T>(act: () => T): storage.StoreResult<T> {
    if (this.draw() === 'answered') return neverthrow.okAsync(act());
    return neverthrow.errAsync(fail(decisions.VerdictKind.MayHaveRun));
  }

  private draw(): Outcome {
    const drawn = this.random.next();
    if (drawn >= this.failureShare) return 'answered';
    return drawn < this.failureShare / 2 ? 'lost-after' : 'refused';
  }

  private holds(write: storage.Write): boolean {
    const row = this.rows.get(`${write.table}/${write.key}`);
    if (write.condition === storage.Condition.Any) return true;
    if (write.condition === storage.Condition.Absent) return row === undefined;
    return row?.etag === write.condition;
  }

  private apply(write: storage.Write): void {
    this.writeNumber += 1;
    const { key, value } = write;
    this.rows.set(`${write.table}/${key}`, { key, value, etag: `e${this.writeNumber}` });
  }
}
