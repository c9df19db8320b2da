/**
 * Public entry of the configuration package: settings of daemons and configuration of deployments.
 */
export { type SettingError, formatSettingError } from './types/setting-error';
export { findNearest } from './utils/nearest';
export { type Files, mergeFiles } from './core/source';
export {
  FencingSupport,
  Routing,
  type Configuration,
  type Deployment,
  type Engine,
  type Limits,
  type PlainService,
  type PriorityClass,
  type Tenant,
  type Trainer,
  createEmptyConfiguration,
  parseConfiguration,
} from './core/configuration';
export {
  Role,
  TargetKind,
  type DaemonSettings,
  type PlatformSettings,
  type Settings,
  type TargetSettings,
  type TlsSettings,
  parseSettings,
} from './core/settings';
