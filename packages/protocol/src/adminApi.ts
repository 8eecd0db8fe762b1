// Types of the admin API, which operators' tools use.

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

/** How far a catalogue revision has been rolled out. */
export interface RolloutStatus {
  readonly revision: Revision;
  /** Routers that may still serve requests and have not confirmed the revision. */
  readonly missing: readonly RouterName[];
}

/** Why a change was not committed. */
export type ApplyFailure =
  /** Another change was committed first; nothing was written. */
  | { readonly kind: 'conflict'; readonly current: Revision }
  | { readonly kind: 'invalid'; readonly problems: readonly ValidationProblem[] }
  /** The platform was unreachable; nothing was written. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /**
   * The platform became unreachable during the commit; the history will show whether it succeeded.
   */
  | { readonly kind: 'unknown'; readonly detail: string };

/**
 * A committed change. `change` is null if it is too large for a row of its own; then only the snapshot of its revision
 * contains it.
 */
export interface ChangeRecord {
  readonly revision: Revision;
  readonly change: CatalogueChange | null;
  readonly author: string;
  readonly at: string;
}

/** State of another router as known to the reporting router. */
export interface MemberStatus {
  readonly router: Router;
  readonly phase: 'alive' | 'suspect' | 'dead';
  /** Whether it is shutting down. */
  readonly leaving: boolean;
  /** Whether its last heartbeat said that it reaches the platform. */
  readonly platform: boolean;
  /** Revision in its last heartbeat; null if there was none. */
  readonly revision: Revision | null;
  /**
   * Whether it may still serve requests: its session is valid, or it was heard from within the
   * failure-detection timeout.
   */
  readonly mayTakeWork: boolean;
}

/** Requests of one team for one service, at one router or summed over all routers. */
export interface TeamUsage {
  readonly team: TeamName;
  readonly service: ServiceName;
  /** Queued requests. */
  readonly waiting: number;
  /** Total size of the bodies of the team's queued requests for all services. */
  readonly bytes: number;
  /** Age of the oldest queued request. */
  readonly oldestWait: Milliseconds;
  readonly inFlight: number;
  /**
   * Service received divided by the team's weight; the team with the lowest level is served next.
   */
  readonly level: Cost;
}

/** The status that a router reports about itself. */
export interface RouterStatus {
  readonly router: Router;
  /** Revision of the catalogue in force here; 0 if there is none. */
  readonly revision: Revision;
  readonly leaving: boolean;
  /** Whether it holds its lease from the platform. */
  readonly platform: boolean;
  readonly members: readonly MemberStatus[];
  /** Servers whose keeper it is. */
  readonly servers: readonly KeeperState[];
  readonly teams: readonly TeamUsage[];
}

/** The status of every router that answered. */
export interface FleetStatus {
  readonly revision: Revision;
  readonly routers: readonly RouterStatus[];
  /** Known routers that did not answer. */
  readonly unreachable: readonly RouterName[];
}

/** A server of the catalogue and its state as reported by its keeper. */
export interface ServerStatus extends Server {
  readonly name: ServerName;
  readonly drained: boolean;
  readonly keeper: RouterName | null;
  readonly state: KeeperState | null;
}

/** Response to a committed change; the change is in force on every router if none is missing. */
export type ChangeResponse = RolloutStatus;

/** Body of every failed request to the admin port. */
export interface AdminError {
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** Why a catalogue change was not committed. */
  readonly failure?: ApplyFailure;
}
