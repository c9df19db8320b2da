import * as decisions from '@azureworks/decisions';

function createMember(name: string, incarnation = 1): decisions.MemberRecord {
  return { name, incarnation, state: decisions.MemberState.Alive };
}

function createView(peerCount: number): {
  view: decisions.MemberView<decisions.MemberRecord>;
  clock: decisions.ManualClock;
} {
  const clock = decisions.ManualClock.create();
  const view = decisions.MemberView.create(createMember('self'), clock);
  for (let index = 0; index < peerCount; index += 1) view.merge(createMember(`peer-${index}`));
  return { view, clock };
}

describe('member view', () => {
  it('declares a suspect dead only after the suspicion timeout', () => {
    const { view, clock } = createView(4);
    view.suspect('peer-0');
    clock.advance(1999);
    expect(view.expireSuspects()).toEqual([]);
    clock.advance(1);
    expect(view.expireSuspects().map((member) => member.name)).toEqual(['peer-0']);
  });

  it('refutes a suspicion of its own entry with a higher incarnation', () => {
    const { view } = createView(1);
    view.merge({ name: 'self', incarnation: 1, state: decisions.MemberState.Suspect });
    expect(view.self.incarnation).toBe(2);
    expect(view.self.state).toBe(decisions.MemberState.Alive);
  });

  it('accepts a replaced VM with the same name as a new incarnation', () => {
    const { view } = createView(1);
    view.merge({ ...createMember('peer-0'), state: decisions.MemberState.Dead });
    expect(view.merge(createMember('peer-0', 2))).toBe(true);
    expect(view.get('peer-0')?.state).toBe(decisions.MemberState.Alive);
    expect(view.merge({ ...createMember('peer-0'), state: decisions.MemberState.Dead })).toBe(
      false,
    );
  });

  it('declares no member dead while most members are suspected at once', () => {
    const { view, clock } = createView(4);
    ['peer-0', 'peer-1', 'peer-2', 'peer-3'].forEach((name) => view.suspect(name));
    clock.advance(10_000);
    expect(view.expireSuspects()).toEqual([]);
  });

  it('sends each update a bounded number of times', () => {
    const { view } = createView(3);
    let sent = 0;
    for (let round = 0; round < 100; round += 1) sent += view.takeUpdates(32).length;
    expect(sent).toBeGreaterThan(0);
    expect(view.takeUpdates(32)).toEqual([]);
  });
});
