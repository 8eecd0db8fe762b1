// Who keeps which server, from the heartbeats of all routers. Read for every request that waits, so
// it is kept by service.

import type { Authority, KeeperState } from '@catkinwheel/protocol';
import type {
  FencingToken,
  Milliseconds,
  RouterName,
  ServerName,
  ServiceName,
} from '@catkinwheel/state';
import type { ServerKeeper } from './ports.js';

interface Claim extends ServerKeeper {
  readonly heard: Milliseconds;
}

const authorityRank: Readonly<Record<Authority, number>> = { held: 2, acting: 1, none: 0 };

/** Keepers by service. Of several for one server the one with the highest fence counts. */
export class KeeperIndex {
  readonly #claims = new Map<RouterName, readonly Claim[]>();
  /** The highest fence heard of for each server; keepers with a lower one were replaced. */
  readonly #fences = new Map<ServerName, FencingToken>();
  #byService: ReadonlyMap<ServiceName, readonly Claim[]> | undefined;

  static create(): KeeperIndex {
    return new KeeperIndex();
  }

  /** Replaces what a router said that it keeps. */
  update(router: RouterName, states: readonly KeeperState[], heard: Milliseconds): void {
    this.#claims.set(
      router,
      states.map((state) => ({ router, state, heard })),
    );
    this.#raise(states);
    this.#byService = undefined;
  }

  /** Forgets what a router keeps. */
  remove(router: RouterName): void {
    if (this.#claims.delete(router)) this.#byService = undefined;
  }

  /** Keepers of the servers of a service; `own` are those of the asking router `self`. */
  of(service: ServiceName, self: RouterName, own: readonly KeeperState[]): readonly ServerKeeper[] {
    this.#raise(own);
    this.#byService ??= this.#collected();
    const others = this.#byService.get(service) ?? [];
    const mine = own
      .filter((state) => state.service === service)
      .map((state): Claim => ({ router: self, state, heard: Number.POSITIVE_INFINITY }));
    return best([...mine, ...others], this.#fences);
  }

  #raise(states: readonly KeeperState[]): void {
    for (const { server, fence } of states) {
      if (fence > (this.#fences.get(server) ?? 0)) this.#fences.set(server, fence);
    }
  }

  #collected(): ReadonlyMap<ServiceName, readonly Claim[]> {
    const byService = new Map<ServiceName, Claim[]>();
    for (const claims of this.#claims.values()) {
      for (const claim of claims) {
        const list = byService.get(claim.state.service);
        if (list === undefined) byService.set(claim.state.service, [claim]);
        else list.push(claim);
      }
    }
    return byService;
  }
}

function best(
  claims: readonly Claim[],
  fences: ReadonlyMap<ServerName, FencingToken>,
): readonly ServerKeeper[] {
  const chosen = new Map<ServerName, Claim>();
  for (const claim of claims) {
    const { server, fence } = claim.state;
    if (fence < (fences.get(server) ?? 0)) continue;
    const other = chosen.get(server);
    if (other === undefined || isBetter(claim, other)) chosen.set(server, claim);
  }
  return [...chosen.values()].map(({ router, state }) => ({ router, state }));
}

/** Order of two keepers with the same fence, as they exist during an outage of the platform. */
function isBetter(a: Claim, b: Claim): boolean {
  const rank = authorityRank[a.state.authority] - authorityRank[b.state.authority];
  if (rank !== 0) return rank > 0;
  return a.heard === b.heard ? a.router < b.router : a.heard > b.heard;
}
