import * as decisions from '@azureworks/decisions';

function createMember(name: string, incarnation = 1): decisions.MemberRecord {
  return { name, incarnation, state: decisions.Standing.Alive };
}

function createView(peers: number): {
  view: decisions.MemberView<decisions.MemberRecord>;
  clock: decisions.ManualClock;
} {
  const clock = decisions.ManualClock.create();
  const view = decisions.MemberView.create(createMember('self'), clock);
  for (let index = 0; index < peers; index += 1) view.merge(createMember(`peer-${index}`));
  return { view, clock };
}

describe('member view', () => {
  it('declares a suspect dead only after the time in which it could refute', () => {
    const { view, clock } = createView(4);
    view.suspect('peer-0');
    clock.advance(1999);
    expect(view.expireSuspects()).toEqual([]);
    clock.advance(1);
    expect(view.expireSuspects().map((member) => member.name)).toEqual(['peer-0']);
  });

  it('refutes a suspicion of itself with a higher incarnation', () => {
    const { view } = createView(1);
    view.merge({ name: 'self', incarnation: 1, state: decisions.Standing.Suspect });
    expect(view.self.incarnation).toBe(2);
    expect(view.self.state).toBe(decisions.Standing.Alive);
  });

  it('takes a VM replaced under the same name as a new incarnation', () => {
    const { view } = createView(1);
    view.merge({ ...createMember('peer-0'), state: decisions.Standing.Dead });
    expect(view.merge(createMember('peer-0', 2))).toBe(true);
    expect(view.get('peer-0')?.state).toBe(decisions.Standing.Alive);
    expect(view.merge({ ...createMember('peer-0'), state: decisions.Standing.Dead })).toBe(false);
  });

  it('distrusts a mass of simultaneous suspicions', () => {
    const { view, clock } = createView(4);
    ['peer-0', 'peer-1', 'peer-2', 'peer-3'].forEach((name) => view.suspect(name));
    clock.advance(10_000);
    expect(view.expireSuspects()).toEqual([]);
  });

  it('spreads each piece of news a bounded number of times', () => {
    const { view } = createView(3);
    let sent = 0;
    for (let round = 0; round < 100; round += 1) sent += view.takeNews(32).length;
    expect(sent).toBeGreaterThan(0);
    expect(view.takeNews(32)).toEqual([]);
  });
});
