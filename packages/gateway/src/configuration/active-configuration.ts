/**
 * Holds the active configuration and the desired versions of weights, which trainers write. Within
 * a process neither ever returns to an older version.
 */
import * as errorGuards from '../core/error-guard';
import type * as environments from '../types/environment';
import type * as configurations from '../types/configuration';
import type * as organisations from '../types/organisation';
import * as stores from '../types/store';
import type * as tableWatches from '../store/table-watch';
import * as routeTables from './route-table';

/** Decoded content of a row of the operator's table. */
export type OperatorRow =
  | { readonly kind: 'configuration'; readonly configuration: configurations.Configuration }
  | { readonly kind: 'weights'; readonly model: string; readonly version: number }
  | { readonly kind: 'other' }
  | {
      readonly kind: 'unreadable';
      readonly reason: string;
      /** Whether the row is that of the configuration. */
      readonly isConfiguration?: boolean;
    };

/** Decodes rows of the operator's table. */
export type DecodeOperatorRow = (row: stores.Row) => OperatorRow;

/** Notified when a newer configuration or version of weights is in force. */
export interface ConfigurationObserver {
  onConfigurationChanged(configuration: configurations.Configuration): void;
  onDesiredVersionChanged(model: string, version: number): void;
}

/** Holds what the operator and the trainers wrote last. */
export class ActiveConfiguration implements tableWatches.TableObserver {
  private configuration: configurations.Configuration | undefined;

  private routes: routeTables.RouteTable | undefined;

  private hasUnreadable = false;

  private readonly desiredVersions = new Map<string, number>();

  private readonly observers: ConfigurationObserver[] = [];

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(
    private readonly environment: environments.Environment,
    private readonly decode: DecodeOperatorRow,
  ) {
    this.errors = errorGuards.ErrorGuard.create(environment, 'configuration');
  }

  static create(
    environment: environments.Environment,
    decode: DecodeOperatorRow,
  ): ActiveConfiguration {
    return new ActiveConfiguration(environment, decode);
  }

  subscribe(observer: ConfigurationObserver): void {
    this.observers.push(observer);
  }

  /** The active configuration; undefined before the first was read. */
  get current(): configurations.Configuration | undefined {
    return this.configuration;
  }

  /** The routes of the active configuration; undefined before the first was read. */
  get routeTable(): routeTables.RouteTable | undefined {
    return this.routes;
  }

  /** Whether the newest configuration could be read, as far as this gateway has seen it. */
  get isReadable(): boolean {
    return !this.hasUnreadable;
  }

  /** How a replica is told the organisation of a request; undefined `name`: it belongs to none. */
  identifyOrganisation(name: string | undefined): organisations.RequestOrganisation {
    return this.configuration?.keyRing ? (name ?? null) : undefined;
  }

  /** The priority of an organisation's requests on a route. */
  getPriority(route: configurations.Route, organisation: string | undefined): number {
    const known = this.configuration?.keyRing?.findByName(organisation ?? '');
    return known?.priority ?? route.priority;
  }

  /** The newest version of a model's weights that a trainer wrote; undefined before the first. */
  getDesiredVersion(model: string): number | undefined {
    return this.desiredVersions.get(model);
  }

  onSnapshot(rows: readonly stores.Row[]): void {
    this.errors.forEach(rows, (row) => this.applyRow(row));
  }

  onChanges(changes: readonly stores.RowChange[]): void {
    const present = changes.filter((change) => !change.isRemoved);
    this.errors.forEach(present, (change) => this.applyRow(change));
  }

  private applyRow(row: stores.Row): void {
    const decoded = this.decode(row);
    if (decoded.kind === 'configuration') this.applyConfiguration(decoded.configuration, row);
    if (decoded.kind === 'weights') this.applyDesiredVersion(decoded.model, decoded.version, row);
    if (decoded.kind !== 'unreadable') return;
    this.hasUnreadable ||= decoded.isConfiguration === true;
    const { key, revision } = row;
    this.environment.log.warn('operator row ignored', { key, revision, reason: decoded.reason });
  }

  private applyConfiguration(configuration: configurations.Configuration, row: stores.Row): void {
    this.hasUnreadable = false;
    if (this.configuration && configuration.version <= this.configuration.version) return;
    const routes = routeTables.RouteTable.create(configuration.routes);
    this.environment.log.info('configuration in force', {
      version: configuration.version,
      former: this.configuration?.version,
      revision: row.revision,
      routes: configuration.routes.length,
    });
    this.configuration = configuration;
    this.routes = routes;
    this.errors.forEach(this.observers, (observer) =>
      observer.onConfigurationChanged(configuration),
    );
  }

  private applyDesiredVersion(model: string, version: number, row: stores.Row): void {
    if (version <= (this.desiredVersions.get(model) ?? 0)) return;
    this.desiredVersions.set(model, version);
    this.environment.log.info('weights named', { model, version, revision: row.revision });
    this.errors.forEach(this.observers, (observer) =>
      observer.onDesiredVersionChanged(model, version),
    );
  }
}
