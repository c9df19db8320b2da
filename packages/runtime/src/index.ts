/**
 * Public entry of the runtime package: the building blocks of every azureworks process, whatever its
 * role.
 */
export { JsonLog, type Log, type LogFields } from './core/log';
export { LineOutput } from './core/line-output';
export { SilentLog } from './core/silent-log';
export { type Labels, Metrics } from './core/metrics';
export { StateMachine, type TransitionListener, type Transitions } from './core/machine';
export { Pacer } from './core/pacer';
export { pause } from './core/pause';
export { handlePendingEvents } from './core/pending-events';
export { Mailbox, type MessageHandler } from './core/mailbox';
export { Supervisor, type Task } from './core/supervisor';
