// Merges the status of all routers into views of the fleet for operators: its teams and its
// servers.

import type {
  FleetStatus,
  KeeperState,
  RouterStatus,
  ServerStatus,
  TeamUsage,
} from '@catkinwheel/protocol';
import { isDrained, type Catalogue, type DrainTarget, type RouterName } from '@catkinwheel/state';

/** Usage by team and service, summed over all routers and sorted by team and service. */
export function teamUsageOfFleet({ routers }: FleetStatus): readonly TeamUsage[] {
  const merged = new Map<string, TeamUsage>();
  for (const usage of routers.flatMap(({ teams }) => teams)) {
    const key = JSON.stringify([usage.team, usage.service]);
    const previous = merged.get(key);
    merged.set(key, previous === undefined ? usage : sumUsage(usage, previous));
  }
  return [...merged].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, usage]) => usage);
}

function sumUsage(a: TeamUsage, b: TeamUsage): TeamUsage {
  return {
    team: a.team,
    service: a.service,
    waiting: a.waiting + b.waiting,
    bytes: a.bytes + b.bytes,
    oldestWait: Math.max(a.oldestWait, b.oldestWait),
    inFlight: a.inFlight + b.inFlight,
    level: Math.max(a.level, b.level),
  };
}

/**
 * Every server of the catalogue. If several routers report to be its keeper, the highest fencing
 * token counts.
 */
export function serversOfFleet(
  catalogue: Catalogue,
  { routers }: FleetStatus,
): readonly ServerStatus[] {
  const keepers = new Map<string, { readonly keeper: RouterName; readonly state: KeeperState }>();
  for (const { router, servers } of routers) {
    for (const state of servers) {
      const previous = keepers.get(state.server);
      if (previous !== undefined && previous.state.fence >= state.fence) continue;
      keepers.set(state.server, { keeper: router.name, state });
    }
  }
  return Object.entries(catalogue.servers).map(([name, server]) => ({
    name,
    ...server,
    drained: isDrained(catalogue, server),
    keeper: keepers.get(name)?.keeper ?? null,
    state: keepers.get(name)?.state ?? null,
  }));
}

/**
 * Whether a server, a router or a current drain has the target's name, so that a misspelled name is
 * refused.
 */
export function hasDrainTarget(
  catalogue: Catalogue,
  status: RouterStatus,
  target: DrainTarget,
): boolean {
  const { kind, name } = target;
  const locations = [
    ...Object.values(catalogue.servers),
    status.router,
    ...status.members.map(({ router }) => router),
  ];
  const drained = kind === 'vm' ? catalogue.drain.vms : catalogue.drain.dataCentres;
  return locations.some((place) => place[kind] === name) || drained.includes(name);
}
