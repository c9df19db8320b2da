/**
 * Selects the route of a request and a service of the route.
 */
import type * as configurations from '../types/configuration';

/** The routes of one configuration, indexed by host. */
export class RouteTable {
  private constructor(
    private readonly routesByHost: ReadonlyMap<string, readonly configurations.Route[]>,
  ) {}

  static create(routes: readonly configurations.Route[]): RouteTable {
    const routesByHost = new Map<string, configurations.Route[]>();
    routes.forEach((route) => {
      const host = route.host.toLowerCase();
      routesByHost.set(host, [...(routesByHost.get(host) ?? []), route]);
    });
    routesByHost.forEach((hostRoutes) => {
      hostRoutes.sort((first, second) => second.pathPrefix.length - first.pathPrefix.length);
    });
    return new RouteTable(routesByHost);
  }

  /** The route with the longest path prefix that matches. */
  find(host: string, path: string): configurations.Route | undefined {
    return this.routesByHost
      .get(host.toLowerCase())
      ?.find((route) => path.startsWith(route.pathPrefix));
  }
}

/**
 * Chooses a service at random, in proportion to the weights of the route.
 * @param draw uniform in [0, 1)
 */
export function chooseService(route: configurations.Route, draw: number): string | undefined {
  const total = route.services.reduce((sum, candidate) => sum + candidate.weight, 0);
  let remaining = draw * total;
  const chosen = route.services.find((candidate) => {
    remaining -= candidate.weight;
    return candidate.weight > 0 && remaining < 0;
  });
  return (chosen ?? route.services.find((candidate) => candidate.weight > 0))?.service;
}
