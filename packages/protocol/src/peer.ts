// Messages between routers. Every message is safe to lose and safe to receive twice.

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

/** Why a keeper may grant: its lease is valid, or it acts during an outage of the platform. */
export type Authority = 'held' | 'acting' | 'none';

/** A server as its keeper sees it. */
export interface KeeperState {
  readonly server: ServerName;
  readonly service: ServiceName;
  readonly fence: FencingToken;
  readonly authority: Authority;
  readonly phase: ServerPhase;
  readonly limit: number;
  readonly inFlight: number;
  /** Boot id of the server's last load report; empty if there was none. */
  readonly boot: string;
}

/** What a server can bear now. */
export type ServerPhase = 'cold' | 'warming' | 'warm' | 'leaving' | 'suspect';

/** Lowest level of a team with waiting work in a service, as one home knows it. */
export interface LevelFloor {
  readonly service: ServiceName;
  readonly level: Cost;
}

export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly router: Router;
  readonly revision: Revision;
  /** Whether the sender's last request to the platform succeeded within its lease. */
  readonly platform: boolean;
  readonly leaving: boolean;
  readonly keepers: readonly KeeperState[];
  readonly floors: readonly LevelFloor[];
  /** Routers that the sender has heard from within the dead time; mostly left empty to save traffic. */
  readonly members: readonly Router[];
}

/** Waiting work of one team at one entry router. */
export interface TeamDemand {
  readonly team: TeamName;
  readonly interactive: number;
  readonly batch: number;
  /** Expected cost of the next request. */
  readonly estimate: Cost;
  /** Age of the oldest waiting request. */
  readonly oldest: Milliseconds;
  /**
   * Service received across the fleet divided by weight: as the home last said, with the sender's
   * charges since then if only the sender serves the team.
   */
  readonly level: Cost;
  /** Highest grant sequence of the addressed keeper router whose charge is part of `level`. */
  readonly counted: number;
  readonly weight: number;
}

/** Replaces the sender's earlier demand for the service, or the rows of the named teams only. */
export interface Demand {
  readonly kind: 'demand';
  readonly service: ServiceName;
  /** Whether teams that are not named have no demand any more. */
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

/** First bytes that took long. */
export interface FirstByteBatch {
  readonly kind: 'started';
  readonly permits: readonly FirstByteReport[];
}

/** The holder must cancel these requests on the server and return the permits. */
export interface Revoke {
  readonly kind: 'revoke';
  readonly server: ServerName;
  readonly permits: readonly string[];
}

/** Sent by a new keeper; every router answers with `holding`. */
export interface Takeover {
  readonly kind: 'takeover';
  readonly server: ServerName;
  readonly fence: FencingToken;
}

export interface HeldPermits {
  readonly kind: 'holding';
  readonly server: ServerName;
  readonly fence: FencingToken;
  readonly permits: readonly Permit[];
}

/** A leaving keeper passes on what it knows of a server. */
export interface Handover {
  readonly kind: 'handover';
  readonly server: ServerName;
  readonly fence: FencingToken;
  readonly limit: number;
  readonly permits: readonly Permit[];
}

/** Service of one team at one entry router, sent to the home of (service, team). */
export interface UsageReport {
  readonly kind: 'report';
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly incarnation: Incarnation;
  readonly sequence: number;
  /** Cumulative cost charged by this incarnation. Corrections may lower it. */
  readonly charge: Cost;
  /** The part of `charge` that `level` already contains. */
  readonly chargeAtLevel: Cost;
  /** The last level received from any home, 0 if none. */
  readonly level: Cost;
  readonly waiting: number;
  readonly inFlight: number;
  /** Requests that the sender at present allows itself in flight, from its last `level`. */
  readonly share: number;
  /** Sequence of the last `level` that the sender applied, 0 if none. */
  readonly acknowledged: number;
}

/** Answer of the home to a report. */
export interface LevelUpdate {
  readonly kind: 'level';
  readonly service: ServiceName;
  readonly team: TeamName;
  /** The report that this level contains. */
  readonly sequence: number;
  readonly level: Cost;
  /** Requests of the team that the receiver may have in flight. */
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

/** Identity of a router on a new link. */
export interface Hello {
  readonly version: number;
  readonly secret: string;
  readonly router: Router;
}
