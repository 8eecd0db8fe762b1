// What the admin port of a router says to operators' tools.

import type {
  Cost,
  Milliseconds,
  Revision,
  Router,
  RouterName,
  Server,
  ServerName,
  ServiceName,
  TeamName,
  CatalogueChange,
} from '@catkinwheel/state';
import type { ValidationProblem } from './decode.js';
import type { KeeperState } from './peer.js';

/** Whether a change is in force everywhere. */
export interface RolloutStatus {
  readonly revision: Revision;
  /** Routers that may still take work and have not said that they have the revision. */
  readonly missing: readonly RouterName[];
}

/** Why a change was not committed. */
export type ApplyFailure =
  /** Another change came first; nothing was written. */
  | { readonly kind: 'conflict'; readonly current: Revision }
  | { readonly kind: 'invalid'; readonly problems: readonly ValidationProblem[] }
  /** The platform is out of reach; nothing was written. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** The platform went out of reach during the commit; the history will show whether it took place. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** A committed change. `change` is null if it is found in the snapshot of its revision only. */
export interface ChangeRecord {
  readonly revision: Revision;
  readonly change: CatalogueChange | null;
  readonly author: string;
  readonly at: string;
}

/** Another router as one router sees it. */
export interface MemberStatus {
  readonly router: Router;
  readonly phase: 'alive' | 'suspect' | 'dead';
  readonly leaving: boolean;
  readonly platform: boolean;
  /** Revision in its last heartbeat; null if there was none. */
  readonly revision: Revision | null;
  /** Whether it may still take work: its session is valid or it was heard within the dead time. */
  readonly mayTakeWork: boolean;
}

/** Work of one team for one service at one router or, merged, at all of them. */
export interface TeamUsage {
  readonly team: TeamName;
  readonly service: ServiceName;
  readonly waiting: number;
  readonly bytes: number;
  readonly oldestWait: Milliseconds;
  readonly inFlight: number;
  readonly level: Cost;
}

/** What a router says about itself. */
export interface RouterStatus {
  readonly router: Router;
  /** Revision of the catalogue in force here; 0 if there is none. */
  readonly revision: Revision;
  readonly leaving: boolean;
  /** Whether it holds its lease from the platform. */
  readonly platform: boolean;
  readonly members: readonly MemberStatus[];
  /** Servers that it keeps. */
  readonly servers: readonly KeeperState[];
  readonly teams: readonly TeamUsage[];
}

/** The status of every router that answered. */
export interface FleetStatus {
  readonly revision: Revision;
  readonly routers: readonly RouterStatus[];
  /** Routers that are known and did not answer. */
  readonly unreachable: readonly RouterName[];
}

/** A server of the catalogue with its keeper's view of it. */
export interface ServerStatus extends Server {
  readonly name: ServerName;
  readonly drained: boolean;
  readonly keeper: RouterName | null;
  readonly state: KeeperState | null;
}

/** Answer to a change: committed; in force everywhere if nobody is missing. */
export type Applied = RolloutStatus;

/** Body of every failed request to the admin port. */
export interface AdminError {
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** Why a catalogue change was not committed. */
  readonly failure?: ApplyFailure;
}
