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

  beforeEach(() => {
    jest.useFakeTimers();
    quarantine = decisions.Quarantine.create({ nowMs: time.nowMs });
    task = evidenceTasks.EvidenceTask.create({
      environment: time.createEnvironment('vm-1', 'vm-1-first'),
      store: standins.MemoryStore.create({ nowMs: time.nowMs, pause: time.pause }),
      quarantine,
      reporter: { stop: () => {} },
      listWorkers: () => [],
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
});
