// Maps each service to the keepers of its servers, from the heartbeats of all routers. Indexed by service
// because it is read for every queued request.

import type { Authority, KeeperState } from '@catkinwheel/protocol';
import type {
  FencingToken,
  Milliseconds,
  RouterName,
  ServerName,
  ServiceName,
} from '@catkinwheel/state';
import type { ServerKeeper } from './ports.js';

interface HeartbeatState extends ServerKeeper {
  readonly receivedAt: Milliseconds;
}

const authorityRank: Readonly<Record<Authority, number>> = { held: 2, acting: 1, none: 0 };

/** Keepers by service. If several routers keep the same server, the highest fence wins. */
export class KeeperIndex {
  readonly #states = new Map<RouterName, readonly HeartbeatState[]>();
  /** The highest fence seen for each server; keepers with a lower one were replaced. */
  readonly #fences = new Map<ServerName, FencingToken>();
  #byService: ReadonlyMap<ServiceName, readonly HeartbeatState[]> | undefined;

  static create(): KeeperIndex {
    return new KeeperIndex();
  }

  /** Replaces the keeper states of a router. */
  update(router: RouterName, states: readonly KeeperState[], receivedAt: Milliseconds): void {
    this.#states.set(
      router,
      states.map((state) => ({ router, state, receivedAt })),
    );
    this.#recordFences(states);
    this.#byService = undefined;
  }

  /** Removes the keeper states of a router. */
  remove(router: RouterName): void {
    if (this.#states.delete(router)) this.#byService = undefined;
  }

  /** Keepers of the servers of a service; `own` are the states of this router, `self`. */
  keepersOf(
    service: ServiceName,
    self: RouterName,
    own: readonly KeeperState[],
  ): readonly ServerKeeper[] {
    this.#recordFences(own);
    this.#byService ??= this.#groupByService();
    const others = this.#byService.get(service) ?? [];
    const ownCandidates = own
      .filter((state) => state.service === service)
      .map((state): HeartbeatState => ({
        router: self,
        state,
        receivedAt: Number.POSITIVE_INFINITY,
      }));
    return newestKeepers([...ownCandidates, ...others], this.#fences);
  }

  #recordFences(states: readonly KeeperState[]): void {
    for (const { server, fence } of states) {
      if (fence > (this.#fences.get(server) ?? 0)) this.#fences.set(server, fence);
    }
  }

  #groupByService(): ReadonlyMap<ServiceName, readonly HeartbeatState[]> {
    const byService = new Map<ServiceName, HeartbeatState[]>();
    for (const candidates of this.#states.values()) {
      for (const candidate of candidates) {
        const list = byService.get(candidate.state.service);
        if (list === undefined) byService.set(candidate.state.service, [candidate]);
        else list.push(candidate);
      }
    }
    return byService;
  }
}

function newestKeepers(
  candidates: readonly HeartbeatState[],
  fences: ReadonlyMap<ServerName, FencingToken>,
): readonly ServerKeeper[] {
  const newest = new Map<ServerName, HeartbeatState>();
  for (const candidate of candidates) {
    const { server, fence } = candidate.state;
    if (fence < (fences.get(server) ?? 0)) continue;
    const other = newest.get(server);
    if (other === undefined || supersedes(candidate, other)) newest.set(server, candidate);
  }
  return [...newest.values()].map(({ router, state }) => ({ router, state }));
}

/** Whether `a` wins over `b` with the same fence, which happens during an outage of the platform. */
function supersedes(a: HeartbeatState, b: HeartbeatState): boolean {
  const rank = authorityRank[a.state.authority] - authorityRank[b.state.authority];
  if (rank !== 0) return rank > 0;
  return a.receivedAt === b.receivedAt ? a.router < b.router : a.receivedAt > b.receivedAt;
}
