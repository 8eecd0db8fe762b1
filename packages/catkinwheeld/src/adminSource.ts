// Status and metrics that this router provides to operators, and to peers that collect the fleet's status.

import type {
  Admission,
  CatalogueStore,
  Keepers,
  Membership,
  Session,
} from '@catkinwheel/coordination';
import type { RouterStatus } from '@catkinwheel/protocol';
import type { AdminSource, Links, Meter } from '@catkinwheel/transport';

/** The components whose state makes up the status. */
export interface StatusComponents {
  readonly membership: Membership;
  readonly session: Session;
  readonly keepers: Keepers;
  readonly store: CatalogueStore;
  /** Undefined under the baseline policies. */
  readonly admission: Admission | undefined;
}

export function routerStatusOf(components: StatusComponents): RouterStatus {
  const { membership, session, keepers, store, admission } = components;
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

/** Data and actions of the admin port; `stop` begins a graceful shutdown. */
export function adminSourceOf(components: AdminComponents, stop: () => void): AdminSource {
  const { links, meter, store } = components;
  return {
    status: () => routerStatusOf(components),
    peerStatus: (router) => links.status(router),
    metrics: () => meter.snapshot(),
    catalogue: store,
    stop,
  };
}
