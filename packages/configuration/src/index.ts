/**
 * Public API of the configuration package: settings of daemons and configuration of deployments.
 */
export { type SettingError, formatSettingError } from './types/setting-error';
export { findNearestWord } from './utils/nearest';
export { type IniFiles, mergeFiles } from './core/ini-files';
export {
  FencingSupport,
  Routing,
  type Configuration,
  type Deployment,
  type Engine,
  type Limits,
  type PlainService,
  type PriorityClass,
  type Organisation,
  type Trainer,
  createDefaultConfiguration,
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
