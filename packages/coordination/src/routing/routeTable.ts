// Finds the route, the team and the service of a request.

import type { DesiredState, Route, Service, Team } from './model.js';

/** Indexes one version of the desired state. */
export class RouteTable {
  readonly #byHost: ReadonlyMap<string, readonly Route[]>;
  readonly #byKey: ReadonlyMap<string, Team>;
  readonly #services: ReadonlyMap<string, Service>;

  private constructor(readonly state: DesiredState) {
    const byHost = new Map<string, Route[]>();
    for (const route of state.routes) {
      const routes = byHost.get(route.host);
      if (routes === undefined) byHost.set(route.host, [route]);
      else routes.push(route);
    }
    for (const routes of byHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length);
    this.#byHost = byHost;
    this.#byKey = new Map(
      (state.teams ?? []).flatMap((team) => team.keys.map((key) => [key, team] as const)),
    );
    this.#services = new Map(state.services.map((service) => [service.name, service]));
  }

  static create(state: DesiredState): RouteTable {
    return new RouteTable(state);
  }

  /** The route with the longest prefix of `path` on `host`; undefined if there is none. */
  route(host: string, path: string): Route | undefined {
    return this.#byHost.get(host)?.find(({ prefix }) => path.startsWith(prefix));
  }

  /** The team that holds the API key `key`; undefined if there is no key, or no team that holds it. */
  team(key: string | undefined): Team | undefined {
    return key === undefined ? undefined : this.#byKey.get(key);
  }

  service(name: string): Service | undefined {
    return this.#services.get(name);
  }
}
