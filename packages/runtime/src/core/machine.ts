/**
 * A thin, typed face on robot3's interpreted machines: the state is read by name, events are sent
 * by name, and an observer is told of every change of state.
 */
import * as robot3 from 'robot3';

/** Called after a change of state. */
export type Observer<State extends string> = (state: State, previous: State) => void;

/** The transitions of a machine: for each state, the events that leave it and where they lead. */
export type Transitions<State extends string, Event extends string> = Readonly<
  Record<State, Readonly<Partial<Record<Event, State>>>>
>;

/** A running state machine. Events that the current state does not know are ignored. */
export class Machine<State extends string, Event extends string> {
  private readonly service: robot3.Service<robot3.Machine>;

  private previous: State;

  private constructor(
    initial: State,
    transitions: Transitions<State, Event>,
    observer: Observer<State> | undefined,
  ) {
    this.previous = initial;
    const machine = robot3.createMachine(initial, buildStates(transitions));
    this.service = robot3.interpret(machine, () => {
      const { state } = this;
      const { previous } = this;
      if (state === previous) return;
      this.previous = state;
      observer?.(state, previous);
    });
  }

  /** Starts a machine in `initial`; see Transitions for the table. */
  static create<State extends string, Event extends string>(
    initial: State,
    transitions: Transitions<State, Event>,
    observer?: Observer<State>,
  ): Machine<State, Event> {
    return new Machine(initial, transitions, observer);
  }

  /** The name of the current state. */
  get state(): State {
    return this.service.machine.current as State;
  }

  /** Sends an event; returns the state afterwards. */
  send(event: Event): State {
    this.service.send(event as never);
    return this.state;
  }

  /** Whether the current state is one of those named. */
  isIn(...states: State[]): boolean {
    return states.includes(this.state);
  }
}

function buildStates<State extends string, Event extends string>(
  transitions: Transitions<State, Event>,
): Record<string, robot3.MachineState<string>> {
  const states: Record<string, robot3.MachineState<string>> = {};
  Object.entries<Readonly<Partial<Record<Event, State>>>>(transitions).forEach(([name, events]) => {
    const edges = Object.entries<State | undefined>(events).map(([event, next]) =>
      robot3.transition(event, String(next)),
    );
    states[name] = robot3.state(...edges);
  });
  return states;
}
