/**
 * A table service in memory whose failures are drawn from a seeded generator: an operation can fail
 * before or after its effect.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as storage from '@azureworks/storage';

/** An operation whose answer is lost has still taken effect; a refused one has not. */
type Outcome = 'answered' | 'answer-lost' | 'refused';

function createFailure(verdict: decisions.VerdictKind): storage.StoreFailure {
  return { kind: storage.StoreFailureKind.Unavailable, verdict, message: 'simulated' };
}

/** Keeps the rows in memory. */
export class MemoryTables implements storage.TableService {
  readonly rows = new Map<string, storage.Row>();

  private writeCount = 0;

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
    const outcome = this.drawOutcome();
    if (outcome === 'refused')
      return neverthrow.errAsync(createFailure(decisions.VerdictKind.NotRun));
    const conflict = writes.find((write) => !this.isConditionMet(write));
    if (!conflict) writes.forEach((write) => this.apply(write));
    if (outcome === 'answer-lost')
      return neverthrow.errAsync(createFailure(decisions.VerdictKind.MayHaveRun));
    if (!conflict) return neverthrow.okAsync(writes.map(() => `e${this.writeCount}`));
    return neverthrow.errAsync({
      kind: storage.StoreFailureKind.Conflict,
      verdict: decisions.VerdictKind.NotRun,
      message: 'simulated',
      conflict: conflict.key,
    });
  }

  private run<T>(operation: () => T): storage.StoreResult<T> {
    if (this.drawOutcome() === 'answered') return neverthrow.okAsync(operation());
    return neverthrow.errAsync(createFailure(decisions.VerdictKind.MayHaveRun));
  }

  private drawOutcome(): Outcome {
    const drawn = this.random.next();
    if (drawn >= this.failureShare) return 'answered';
    return drawn < this.failureShare / 2 ? 'answer-lost' : 'refused';
  }

  private isConditionMet(write: storage.Write): boolean {
    const row = this.rows.get(`${write.table}/${write.key}`);
    if (write.condition === storage.Condition.Any) return true;
    if (write.condition === storage.Condition.Absent) return row === undefined;
    return row?.etag === write.condition;
  }

  private apply(write: storage.Write): void {
    this.writeCount += 1;
    const { key, value } = write;
    this.rows.set(`${write.table}/${key}`, { key, value, etag: `e${this.writeCount}` });
  }
}
