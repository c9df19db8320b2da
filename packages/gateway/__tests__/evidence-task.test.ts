/**
 * What a gateway learns of evidence from the changes of the table: the last change of a row counts.
 */
import * as decisions from '@azureworks/decisions';
import type * as gateway from '@azureworks/gateway';
import * as standins from '@azureworks/standins';
import * as evidenceRows from '../src/quarantine/evidence-rows';
import * as evidenceTasks from '../src/quarantine/evidence-task';
import * as time from './support/virtual-time';

const FINGERPRINT = '0123456789abcdef0123456789abcdef';

describe('the evidence of other gateways', () => {
  let quarantine: decisions.Quarantine;
  let task: evidenceTasks.EvidenceTask;
  let store: standins.MemoryStore;

  beforeEach(() => {
    jest.useFakeTimers();
    quarantine = decisions.Quarantine.create({ nowMs: time.nowMs });
    store = standins.MemoryStore.create({ nowMs: time.nowMs, pause: time.pause });
    task = evidenceTasks.EvidenceTask.create({
      environment: time.createEnvironment('vm-1', 'vm-1-first'),
      store,
      quarantine,
      reporter: { stop: () => {} },
      listWorkers: () => [{ vm: 'vm-1' }],
    });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  function change(isRemoved: boolean): gateway.RowChange {
    const evidence = { fingerprint: FINGERPRINT, replica: 'i-1', endedMs: time.nowMs() };
    const row = evidenceRows.encodeEvidence(evidence);
    return { ...row, value: isRemoved ? Buffer.alloc(0) : row.value, revision: 1, isRemoved };
  }

  it('is withdrawn when it is written and removed within the same changes', () => {
    task.onChanges([change(false), change(true)]);
    expect(quarantine.judge(FINGERPRINT).state).toBe(decisions.QuarantineState.Clear);
  });

  it('counts when it is removed and written again within the same changes', () => {
    task.onChanges([change(false)]);
    task.onChanges([change(true), change(false)]);
    expect(quarantine.judge(FINGERPRINT).state).toBe(decisions.QuarantineState.Suspect);
  });

  it.each([
    ['names no attempt, as those of older gateways', {}, decisions.QuarantineState.Quarantined],
    [
      'names the attempt and the failure domain',
      { attempt: 'attempt 1', failureDomain: 'domain-a' },
      decisions.QuarantineState.Suspect,
    ],
  ])('is weighed as its writer did if it %s', (_name, cause, expected) => {
    const changes = ['i-1', 'i-2'].map((replica) => {
      const evidence = { fingerprint: FINGERPRINT, replica, endedMs: time.nowMs(), ...cause };
      return { ...evidenceRows.encodeEvidence(evidence), revision: 1, isRemoved: false };
    });
    task.onChanges(changes);
    expect(quarantine.judge(FINGERPRINT).state).toBe(expected);
  });

  it('is not believed, and is removed, when it is of a time that the store has not reached', async () => {
    const endedMs = time.nowMs() + 2 * decisions.QUARANTINE_EVIDENCE_LIFETIME_MS;
    const row = evidenceRows.encodeEvidence({ fingerprint: FINGERPRINT, replica: 'i-1', endedMs });
    store.write(row.table, row.partition, row.key, row.value);
    task.onSnapshot([{ ...row, revision: 1 }]);
    expect(quarantine.judge(FINGERPRINT).state).toBe(decisions.QuarantineState.Clear);
    await task.start();
    await time.advance(61_000);
    await task.stop();
    expect(await time.settle(store.read(evidenceRows.EVIDENCE_RANGE))).toMatchObject({ rows: [] });
  });

  it('is removed whole once it has expired, however much there is', async () => {
    for (let count = 0; count < 250; count += 50) {
      const writes = Array.from({ length: 50 }, (_unused, index) =>
        evidenceRows.encodeEvidence({
          fingerprint: (count + index).toString(16).padStart(32, '0'),
          replica: 'i-1',
          endedMs: time.nowMs(),
        }),
      );
      await time.settle(store.transact({ conditions: [], writes, removals: [] }));
    }
    await time.advance(2 * decisions.QUARANTINE_EVIDENCE_LIFETIME_MS);
    await task.start();
    await time.advance(61_000);
    await task.stop();
    const rows = await time.settle(store.read(evidenceRows.EVIDENCE_RANGE));
    expect(rows).toMatchObject({ rows: [] });
  });
});
