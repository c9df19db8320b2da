/**
 * Which route a request takes, and which service of the route.
 */
import type * as configurations from '../types/configuration';

/** The routes of one configuration, by host. */
export class RouteTable {
  private constructor(
    private readonly byHost: ReadonlyMap<string, readonly configurations.Route[]>,
  ) {}

  static create(routes: readonly configurations.Route[]): RouteTable {
    const byHost = new Map<string, configurations.Route[]>();
    routes.forEach((route) => {
      const host = route.host.toLowerCase();
      byHost.set(host, [...(byHost.get(host) ?? []), route]);
    });
    byHost.forEach((list) => {
      list.sort((first, second) => second.pathPrefix.length - first.pathPrefix.length);
    });
    return new RouteTable(byHost);
  }

  /** The route with the longest prefix that begins the path. */
  find(host: string, path: string): configurations.Route | undefined {
    return this.byHost.get(host.toLowerCase())?.find((route) => path.startsWith(route.pathPrefix));
  }
}

/**
 * Chooses a service by the weights of a route.
 * @param draw uniform in [0, 1)
 */
export function chooseService(route: configurations.Route, draw: number): string | undefined {
  const total = route.services.reduce((sum, share) => sum + share.weight, 0);
  let left = draw * total;
  const chosen = route.services.find((share) => {
    left -= share.weight;
    return share.weight > 0 && left < 0;
  });
  return (chosen ?? route.services.find((share) => share.weight > 0))?.service;
}
