/**
 * The configuration in force at this gateway and the versions of the weights that trainers named.
 * Neither ever goes back within a process.
 */
import type * as environments from '../types/environment';
import type * as configurations from '../types/configuration';
import * as stores from '../types/store';
import type * as tableWatches from '../store/table-watch';
import * as routeTables from './route-table';

/** What a row of the operator's table says. */
export type OperatorRow =
  | { readonly kind: 'configuration'; readonly configuration: configurations.Configuration }
  | { readonly kind: 'weights'; readonly model: string; readonly version: number }
  | { readonly kind: 'other' }
  | { readonly kind: 'unreadable'; readonly reason: string };

/** Decodes rows of the operator's table. */
export type DecodeOperatorRow = (row: stores.Row) => OperatorRow;

/** Told when something new is in force. */
export interface ConfigurationObserver {
  configurationChanged(configuration: configurations.Configuration): void;
  weightsNamed(model: string, version: number): void;
}

/** Keeps what the operator and the trainers wrote last. */
export class ConfigurationKeeper implements tableWatches.TableObserver {
  private configuration: configurations.Configuration | undefined;

  private routes: routeTables.RouteTable | undefined;

  private readonly weights = new Map<string, number>();

  private readonly observers: ConfigurationObserver[] = [];

  private constructor(
    private readonly environment: environments.Environment,
    private readonly decode: DecodeOperatorRow,
  ) {}

  static create(
    environment: environments.Environment,
    decode: DecodeOperatorRow,
  ): ConfigurationKeeper {
    return new ConfigurationKeeper(environment, decode);
  }

  subscribe(observer: ConfigurationObserver): void {
    this.observers.push(observer);
  }

  /** The configuration in force; undefined before the first was read. */
  get current(): configurations.Configuration | undefined {
    return this.configuration;
  }

  /** The routes in force; undefined before the first configuration was read. */
  get routeTable(): routeTables.RouteTable | undefined {
    return this.routes;
  }

  /** The newest version that was named for a model; undefined before the first was. */
  getNamedVersion(model: string): number | undefined {
    return this.weights.get(model);
  }

  replace(rows: readonly stores.Row[]): void {
    rows.forEach((row) => this.take(row));
  }

  change(changes: readonly stores.RowChange[]): void {
    changes.filter((change) => !change.isRemoved).forEach((change) => this.take(change));
  }

  private take(row: stores.Row): void {
    const decoded = this.decode(row);
    if (decoded.kind === 'configuration') this.takeConfiguration(decoded.configuration, row);
    if (decoded.kind === 'weights') this.takeWeights(decoded.model, decoded.version, row);
    if (decoded.kind !== 'unreadable') return;
    const { key, revision } = row;
    this.environment.log.warn('operator row ignored', { key, revision, reason: decoded.reason });
  }

  private takeConfiguration(configuration: configurations.Configuration, row: stores.Row): void {
    if (this.configuration && configuration.version <= this.configuration.version) return;
    this.environment.log.change('configuration in force', {
      version: configuration.version,
      former: this.configuration?.version,
      revision: row.revision,
      routes: configuration.routes.length,
    });
    this.configuration = configuration;
    this.routes = routeTables.RouteTable.create(configuration.routes);
    this.observers.forEach((observer) => observer.configurationChanged(configuration));
  }

  private takeWeights(model: string, version: number, row: stores.Row): void {
    if (version <= (this.weights.get(model) ?? 0)) return;
    this.weights.set(model, version);
    this.environment.log.change('weights named', { model, version, revision: row.revision });
    this.observers.forEach((observer) => observer.weightsNamed(model, version));
  }
}
