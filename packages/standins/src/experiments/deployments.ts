/**
 * The two deployments that exist today, as fleet plans with their configuration files.
 */
import type * as fleets from './fleet';

/** A fleet with its configuration files, callers and trainers. */
export interface DeploymentPlan {
  readonly name: string;
  readonly engine: string;
  readonly service: string;
  readonly organisation: string;
  readonly trainers: readonly string[];
  readonly fleet: fleets.FleetPlan;
  /** Texts of the configuration files by file name. */
  readonly configurationFiles: Readonly<Record<string, string>>;
}

const ENGINE_OPTIONS = ['--capacity', '8', '--token-ms', '2', '--chunk-tokens', '8'];

/** Dapur Bersih: six engines and four plain services in four failure domains. */
export const DAPUR_BERSIH: DeploymentPlan = {
  name: 'dapur-bersih',
  engine: 'saran-lm',
  service: 'tempah-app',
  organisation: 'booking-app',
  trainers: ['slot-times', 'crew-pairings'],
  fleet: {
    region: 'my-west',
    failureDomains: ['klang-a', 'klang-b', 'penang-a', 'penang-b'],
    entries: 2,
    services: [
      {
        service: 'saran-lm',
        kind: 'engine',
        count: 6,
        options: ['--model', 'saran', ...ENGINE_OPTIONS],
      },
      { service: 'tempah-app', kind: 'service', count: 4, options: [] },
    ],
    platformOptions: [],
    platformTimeoutMs: 1000,
  },
  configurationFiles: {
    '10-deployment.ini': '[deployment dapur-bersih]\nregion = my-west\nstaleness_bound = 2\n',
    '20-services.ini': [
      '[engine saran-lm]',
      'deployment = dapur-bersih',
      'model = saran',
      'capacity = 8',
      '',
      '[service tempah-app]',
      'deployment = dapur-bersih',
      'non_idempotent = POST /bookings',
      '',
    ].join('\n'),
    '30-trainers.ini': [
      '[trainer slot-times]',
      'deployment = dapur-bersih',
      'engine = saran-lm',
      'scorer = tempah-app',
      '',
      '[trainer crew-pairings]',
      'deployment = dapur-bersih',
      'engine = saran-lm',
      'model = crew',
      '',
    ].join('\n'),
    '40-tenants.ini': '[tenant booking-app]\nclass = high\n\n[tenant matcher]\nclass = normal\n',
  },
};

/** The guild: six engines and three plain services in three failure domains. */
export const GUILD: DeploymentPlan = {
  name: 'guild',
  engine: 'formula-advisers',
  service: 'guild-catalogue',
  organisation: 'advisers',
  trainers: ['blends'],
  fleet: {
    region: 'cascadia',
    failureDomains: ['portland', 'seattle', 'tacoma'],
    entries: 2,
    services: [
      {
        service: 'formula-advisers',
        kind: 'engine',
        count: 6,
        options: ['--model', 'formula', '--checks-fence', ...ENGINE_OPTIONS],
      },
      { service: 'guild-catalogue', kind: 'service', count: 3, options: [] },
    ],
    platformOptions: [],
    platformTimeoutMs: 1000,
  },
  configurationFiles: {
    '10-deployment.ini': '[deployment guild]\nregion = cascadia\nstaleness_bound = 1\n',
    '20-services.ini': [
      '[engine formula-advisers]',
      'deployment = guild',
      'model = formula',
      'capacity = 8',
      'fencing = checked',
      '',
      '[service guild-catalogue]',
      'deployment = guild',
      'non_idempotent = POST /bookings',
      '',
    ].join('\n'),
    '30-trainers.ini': '[trainer blends]\ndeployment = guild\nengine = formula-advisers\n',
    '40-tenants.ini': '[tenant advisers]\nclass = high\n\n[tenant listings]\nclass = low\n',
  },
};
