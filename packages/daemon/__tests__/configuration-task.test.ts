import * as decisions from '@azureworks/decisions';
import * as fastCheck from 'fast-check';
import * as runtime from '@azureworks/runtime';
import * as stores from '../src/entry/configuration-store';
import * as configurationTask from '../src/entry/configuration-task';
import * as memoryTables from './support/memory-tables';

function createTask(name: string, tables: memoryTables.MemoryTables, seed: number) {
  return configurationTask.ConfigurationTask.create({
    name,
    store: stores.ConfigurationStore.create(tables),
    metrics: runtime.Metrics.create(),
    log: runtime.SilentLog.create(),
    clock: decisions.MonotonicClock.create(),
    random: decisions.SeededRandom.create(seed),
  });
}

function createChange(id: string, file: string): decisions.Change {
  const put = { [`${file}.ini`]: `[tenant ${id}]\n` };
  return { id, baseRevision: 0, put, remove: [] };
}

describe('configuration task', () => {
  it('reports a change as accepted exactly when it is stored, even if answers of the store are lost', async () => {
    const files = fastCheck.array(fastCheck.constantFrom('a', 'b', 'c'), {
      minLength: 2,
      maxLength: 5,
    });
    await fastCheck.assert(
      fastCheck.asyncProperty(files, fastCheck.nat(), async (changedFiles, seed) => {
        const random = decisions.SeededRandom.create(seed);
        const tables = memoryTables.MemoryTables.create(random, 0.3);
        const tasks = ['one', 'two'].map((name) => createTask(name, tables, seed));
        const revisions: number[] = [];
        tasks[0].changes.subscribe(({ revision }) => revisions.push(revision));
        const results = await Promise.all(
          changedFiles.map((file, index) =>
            tasks[index % 2].accept(createChange(`change-${index}`, file), 'operator'),
          ),
        );
        results.forEach((result, index) => {
          const isStored = tables.rows.has(`changes/id/change-${index}`);
          expect(result.isOk()).toBe(isStored);
          if (result.isErr()) expect(result.error.failure.code).toBe('conflict');
        });
        const accepted = changedFiles.filter((_file, index) => results[index].isOk());
        expect(new Set(accepted).size).toBe(accepted.length);
        expect(new Set(accepted)).toEqual(new Set(changedFiles));
        expect(revisions).toEqual([...revisions].sort((first, second) => first - second));
      }),
      { numRuns: 25, seed: 20_261_204 },
    );
  });

  it('never activates a lower revision, in whatever order snapshots arrive', () => {
    const order = fastCheck.shuffledSubarray([1, 2, 3, 4, 5, 6], { minLength: 2 });
    fastCheck.assert(
      fastCheck.property(order, (revisions) => {
        const tables = memoryTables.MemoryTables.create(decisions.SeededRandom.create(1), 0);
        const task = createTask('one', tables, 1);
        let highest = 0;
        revisions.forEach((revision) => {
          const put = { 'a.ini': `[tenant t${revision}]\n` };
          task.receiveSnapshot({ from: 'peer', revision, baseRevision: null, put, remove: [] });
          highest = Math.max(highest, revision);
          expect(task.current.revision).toBe(highest);
        });
      }),
    );
  });
});
