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
export interface StatusComponents {
  readonly membership: Membership;
  readonly session: Session;
  readonly keepers: Keepers;
  readonly store: CatalogueStore;
  /** Undefined under the baseline policies. */
  readonly admission: Admission | undefined;
}

/** The status of this router. */
export function routerStatusOf(parts: StatusComponents): RouterStatus {
  const { membership, session, keepers, store, admission } = parts;
  const { self } = membership;
  return {
    router: self,
    revision: store.current().revision,
    leaving: membership.isLeaving(self.name),
    platform: session.isHeld(),
    members: membership
      .memberStates()
      .map((member) => ({ ...member, revision: member.revision ?? null })),
    servers: keepers.states(),
    teams: admission?.teams() ?? [],
  };
}

export interface AdminComponents extends StatusComponents {
  readonly links: Links;
  readonly meter: Meter;
}

/** What the admin port works with; `stop` begins a graceful shutdown. */
export function adminSourceOf(parts: AdminComponents, stop: () => void): AdminSource {
  const { links, meter, store } = parts;
  return {
    status: () => routerStatusOf(parts),
    peerStatus: (router) => links.status(router),
    metrics: () => meter.snapshot(),
    catalogue: store,
    stop,
  };
}
