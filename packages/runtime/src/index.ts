/**
 * Public entry of the runtime package: what every process of azureworks has, whatever its role.
 */
export { JsonLog, type Log, type LogFields } from './core/log';
export { LineOutput } from './core/line-output';
export { SilentLog } from './core/silent-log';
export { type Labels, Metrics } from './core/metrics';
export { Machine, type Observer, type Transitions } from './core/machine';
export { pause } from './core/pause';
export { Mailbox, type Receive } from './core/mailbox';
export { Supervisor, type Task } from './core/supervisor';
