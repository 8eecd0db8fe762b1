// What this router shows to operators and to the routers that ask on their behalf.

import type {
  Admission,
  CatalogueStore,
  Keepers,
  Membership,
  Session,
} from '@catkinwheel/coordination';
import type { RouterStatus } from '@catkinwheel/protocol';
import type { AdminSource, Links, Meter } from '@catkinwheel/transport';

/** The parts whose state makes up the status. */
export interface StatusParts {
  readonly membership: Membership;
  readonly session: Session;
  readonly keepers: Keepers;
  readonly store: CatalogueStore;
  /** Undefined under the baseline policies. */
  readonly admission: Admission | undefined;
}

/** The status of this router. */
export function routerStatusOf(parts: StatusParts): RouterStatus {
  const { membership, session, keepers, store, admission } = parts;
  const { self } = membership;
  return {
    router: self,
    revision: store.current().revision,
    leaving: membership.isLeaving(self.name),
    platform: session.isHeld(),
    members: membership
      .memberStates()
      .map((standing) => ({ ...standing, revision: standing.revision ?? null })),
    servers: keepers.states(),
    teams: admission?.teams() ?? [],
  };
}

export interface OperatorParts extends StatusParts {
  readonly links: Links;
  readonly meter: Meter;
}

/** What the admin port works with; `stop` begins a graceful shutdown. */
export function adminSourceOf(parts: OperatorParts, stop: () => void): AdminSource {
  const { links, meter, store } = parts;
  return {
    status: () => routerStatusOf(parts),
    peerStatus: (router) => links.status(router),
    metrics: () => meter.snapshot(),
    catalogue: store,
    stop,
  };
}
