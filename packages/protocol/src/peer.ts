// Messages between routers. Each of them may be lost or received twice without harm.

import type {
  Cost,
  FencingToken,
  Incarnation,
  Milliseconds,
  Permit,
  Release,
  Revision,
  Router,
  ServerName,
  ServiceName,
  FirstByteReport,
  TeamName,
} from '@catkinwheel/state';

/** Version of the messages in this module. Routers refuse peers of another version. */
export const protocolVersion = 1;

/**
 * Basis on which a keeper grants permits. `held`: its lease is valid; `acting`: the platform is
 * down, and the keeper goes on without a valid lease; `none`: it may not grant.
 */
export type Authority = 'held' | 'acting' | 'none';

/** State of a server as known to its keeper, and the keeper's authority over it. */
export interface KeeperState {
  readonly server: ServerName;
  readonly service: ServiceName;
  readonly fence: FencingToken;
  readonly authority: Authority;
  readonly phase: ServerPhase;
  /** Maximum number of requests in flight at present. */
  readonly limit: number;
  readonly inFlight: number;
  /** Id of the server's process start (`boot`) in its last load report; empty if there was none. */
  readonly boot: string;
}

/**
 * Phase of a server, which determines how many requests it may have in flight. `cold`: the cold
 * limit; `warming`: a limit that grows with successes; `warm`: the warm limit; `leaving`: none;
 * `suspect`: fewer than before, since load reports are missing.
 */
export type ServerPhase = 'cold' | 'warming' | 'warm' | 'leaving' | 'suspect';

/**
 * The lowest level among the teams with queued requests for a service, as known to one
 * ledger owner (see `UsageReport`).
 */
export interface LevelFloor {
  readonly service: ServiceName;
  readonly level: Cost;
}

export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly router: Router;
  readonly revision: Revision;
  /** Whether the sender's session lease is valid, so that a recent renewal at the platform succeeded. */
  readonly platform: boolean;
  readonly leaving: boolean;
  readonly keepers: readonly KeeperState[];
  readonly floors: readonly LevelFloor[];
  /**
   * Routers that the sender has heard from within the failure-detection timeout. Most heartbeats
   * leave it empty to save traffic.
   */
  readonly members: readonly Router[];
}

/** Queued requests of one team at one entry router, the router that queues them. */
export interface TeamDemand {
  readonly team: TeamName;
  /** Queued interactive requests. */
  readonly interactive: number;
  /** Queued batch requests. */
  readonly batch: number;
  /** Expected cost of the next request. */
  readonly estimate: Cost;
  /** Age of the oldest queued request. */
  readonly oldest: Milliseconds;
  /**
   * Cost charged to the team across the fleet divided by its weight, the virtual time of weighted
   * fair queueing. It is the ledger owner's last value, plus the sender's charges since then if
   * only the sender serves the team.
   */
  readonly level: Cost;
  /**
   * Highest sequence number of the receiving keeper's grants whose charges are included in `level`.
   */
  readonly counted: number;
  readonly weight: number;
}

/** Replaces the sender's earlier demand for the service, or only that of the listed teams. */
export interface Demand {
  readonly kind: 'demand';
  readonly service: ServiceName;
  /** Whether teams that are not listed have no demand any more. */
  readonly complete: boolean;
  readonly teams: readonly TeamDemand[];
}

export interface Grant {
  readonly kind: 'grant';
  readonly permits: readonly Permit[];
}

export interface ReleaseBatch {
  readonly kind: 'release';
  readonly permits: readonly Release[];
}

/** Reports of slow first bytes. */
export interface FirstByteBatch {
  readonly kind: 'started';
  readonly permits: readonly FirstByteReport[];
}

/** The receiver must cancel the requests of these permits on the server and return the permits. */
export interface Revoke {
  readonly kind: 'revoke';
  readonly server: ServerName;
  readonly permits: readonly string[];
}

/** Announces a new keeper of a server; every router replies with `holding`. */
export interface Takeover {
  readonly kind: 'takeover';
  readonly server: ServerName;
  readonly fence: FencingToken;
}

/** The permits that the sender holds for a server; the reply to `takeover`. */
export interface HeldPermits {
  readonly kind: 'holding';
  readonly server: ServerName;
  readonly fence: FencingToken;
  readonly permits: readonly Permit[];
}

/** Passes the state of a server from a keeper that is shutting down to its probable successor. */
export interface Handover {
  readonly kind: 'handover';
  readonly server: ServerName;
  readonly fence: FencingToken;
  readonly limit: number;
  readonly permits: readonly Permit[];
}

/**
 * Cost that one team was charged for a service at one entry router. It goes to the ledger owner of
 * (service, team): the router that rendezvous hashing assigns this pair to, which adds up the
 * team's cost across the fleet.
 */
export interface UsageReport {
  readonly kind: 'report';
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly incarnation: Incarnation;
  readonly sequence: number;
  /** Cumulative cost charged by this incarnation. Corrections may lower it. */
  readonly charge: Cost;
  /** The part of `charge` that is included in `level`. */
  readonly chargeAtLevel: Cost;
  /** The last level received from any ledger owner, 0 if none. */
  readonly level: Cost;
  readonly waiting: number;
  readonly inFlight: number;
  /**
   * Maximum number of the team's requests in flight at the sender, from the last `LevelUpdate` that
   * it applied.
   */
  readonly share: number;
  /** Sequence of the last `LevelUpdate` that the sender applied, 0 if none. */
  readonly acknowledged: number;
}

/** The ledger owner's reply to a report. */
export interface LevelUpdate {
  readonly kind: 'level';
  readonly service: ServiceName;
  readonly team: TeamName;
  /** Sequence number of the last report that is included in `level`. */
  readonly sequence: number;
  readonly level: Cost;
  /** Maximum number of the team's requests in flight at the receiver. */
  readonly share: number;
}

export type Message =
  | Heartbeat
  | Demand
  | Grant
  | ReleaseBatch
  | FirstByteBatch
  | Revoke
  | Takeover
  | HeldPermits
  | Handover
  | UsageReport
  | LevelUpdate;

/** First request on a new link, which identifies and authenticates the sender. */
export interface Hello {
  readonly version: number;
  readonly secret: string;
  readonly router: Router;
}
