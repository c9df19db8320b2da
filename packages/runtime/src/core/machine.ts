/**
 * A typed wrapper of robot3 state machines: states and events are identified by name, and a listener
 * is called after every change of state.
 */
import * as robot3 from 'robot3';

/** Called after a change of state. */
export type TransitionListener<State extends string> = (state: State, previous: State) => void;

/** The transitions of a machine: for each state, the accepted events and the next state of each. */
export type Transitions<State extends string, Event extends string> = Readonly<
  Record<State, Readonly<Partial<Record<Event, State>>>>
>;

/** A running state machine. Events that the current state does not accept are ignored. */
export class StateMachine<State extends string, Event extends string> {
  private readonly service: robot3.Service<robot3.Machine>;

  private previous: State;

  private constructor(
    initial: State,
    transitions: Transitions<State, Event>,
    listener: TransitionListener<State> | undefined,
  ) {
    this.previous = initial;
    const machine = robot3.createMachine(initial, buildStates(transitions));
    this.service = robot3.interpret(machine, () => {
      const { state } = this;
      const { previous } = this;
      if (state === previous) return;
      this.previous = state;
      listener?.(state, previous);
    });
  }

  /** Starts a machine in the state `initial`. */
  static create<State extends string, Event extends string>(
    initial: State,
    transitions: Transitions<State, Event>,
    listener?: TransitionListener<State>,
  ): StateMachine<State, Event> {
    return new StateMachine(initial, transitions, listener);
  }

  /** The name of the current state. */
  get state(): State {
    return this.service.machine.current as State;
  }

  /** Sends an event; returns the resulting state. */
  send(event: Event): State {
    this.service.send(event as never);
    return this.state;
  }

  /** Whether the current state is one of `states`. */
  isIn(...states: State[]): boolean {
    return states.includes(this.state);
  }
}

function buildStates<State extends string, Event extends string>(
  transitions: Transitions<State, Event>,
): Record<string, robot3.MachineState<string>> {
  const states: Record<string, robot3.MachineState<string>> = {};
  Object.entries<Readonly<Partial<Record<Event, State>>>>(transitions).forEach(([name, events]) => {
    const stateTransitions = Object.entries<State | undefined>(events).map(([event, next]) =>
      robot3.transition(event, String(next)),
    );
    states[name] = robot3.state(...stateTransitions);
  });
  return states;
}
