import * as selections from '../src/replicas/replica-selection';

const { WithheldReason } = selections;

type Change = Partial<selections.SelectionCandidate>;

function candidate(id: string, change: Change): selections.SelectionCandidate {
  const isEjected = change.condition === 'ejected';
  return {
    ...{ id, slots: 4, load: 0, unitMs: 40, isLocal: false, isEjected },
    ...{ condition: 'healthy', mayTry: true, isSuitable: true, isPermitted: true },
    ...{ isTried: false, isAvoided: false, isRefusing: false },
    ...change,
  };
}

/** Selects among replicas that are named by their positions; returns a position or the reason. */
function select(needsRoom: boolean, ...changes: Change[]): string {
  const list = changes.map((change, index) => candidate(String(index), change));
  const { chosen, reason } = selections.selectReplica(list, { needsRoom, draw: 0 });
  return chosen?.id ?? reason ?? '';
}

const FULL = { load: 4 };
const EJECTED = { condition: 'ejected' } as const;
const PROBATION = { condition: 'probation' } as const;
const JUST_TRIED = { mayTry: false };

describe('the selection of a replica', () => {
  it.each<[string, boolean, Change[], string]>([
    ['a full healthy one for a call that may queue', false, [FULL, EJECTED], '0'],
    [
      'none for an item while a healthy one is full',
      true,
      [FULL, EJECTED],
      WithheldReason.RoomOnlyAtEjected,
    ],
    ['none while all are full', true, [FULL, FULL], WithheldReason.Full],
    ['one on probation beside a full one', true, [FULL, PROBATION], '1'],
    [
      'a healthy one while the other is on trial',
      true,
      [FULL, { ...PROBATION, ...JUST_TRIED }, {}],
      '2',
    ],
    [
      'an ejected one when the healthy ones are not suitable',
      true,
      [{ isSuitable: false }, EJECTED],
      '1',
    ],
    [
      'an ejected one when the healthy ones give no permit',
      true,
      [{ isPermitted: false }, EJECTED],
      '1',
    ],
    [
      'none when all were tried just now',
      false,
      [{ ...EJECTED, ...JUST_TRIED }],
      WithheldReason.AwaitingTrial,
    ],
    [
      'none for a retry when only an ejected one is left',
      false,
      [{ isTried: true }, EJECTED],
      WithheldReason.Tried,
    ],
    ['the avoided one rather than an ejected one', true, [{ isAvoided: true }, EJECTED], '0'],
    ['another one rather than the avoided one', true, [{ isAvoided: true }, { load: 3 }], '1'],
    ['none without suitable ones', true, [{ isSuitable: false }], WithheldReason.Unsuitable],
    ['none without permits', true, [{ isPermitted: false }], WithheldReason.NotPermitted],
  ])('is %s', (_name, needsRoom, changes, expected) => {
    expect(select(needsRoom, ...changes)).toBe(expected);
  });
});
