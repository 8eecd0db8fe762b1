// Narrow interfaces to everything outside the decisions: network, platform and metrics.

import type {
  CatalogueUpdate,
  Attempt,
  Commit,
  KeeperState,
  LoadReport,
  Message,
  Order,
  PlatformFailure,
  ResponsePart,
  Row,
  Transaction,
  Vm,
} from '@catkinwheel/protocol';
import type {
  Catalogue,
  Cost,
  EntryName,
  Failure,
  Incarnation,
  Milliseconds,
  Outcome,
  Permit,
  Revision,
  Router,
  RouterName,
  ServerName,
  ServiceName,
  TeamName,
  WorkClass,
} from '@catkinwheel/state';
import type { ResultAsync } from 'neverthrow';

export type { PlatformFailure } from '@catkinwheel/protocol';

/** The platform's transactional table service. */
export interface Table {
  transact(transaction: Transaction): ResultAsync<Commit, PlatformFailure>;
  /** Rows whose key starts with `prefix`, in key order. */
  rows(prefix: string): ResultAsync<readonly Row[], PlatformFailure>;
}

/** The platform's object store. */
export interface ObjectStore {
  put(key: string, value: unknown): ResultAsync<void, PlatformFailure>;
  /** The value last put under the key, null if there is none. */
  get(key: string): ResultAsync<unknown, PlatformFailure>;
}

/** The platform's list of VMs. It lags behind what happens. */
export interface VmList {
  vms(): ResultAsync<readonly Vm[], PlatformFailure>;
}

/** Sends messages to other routers. A message to the own name is delivered like any other. */
export interface Outbox {
  /** Queues a message; it may be lost with the link. */
  send(to: RouterName, message: Message): void;
}

/** Opens and closes links to other routers. */
export interface PeerLinks {
  /** Keeps links to exactly these routers; the own one is left out. */
  connect(routers: readonly Router[]): void;
}

/** What one router knows about the others. */
export interface MemberView {
  /** The own identity. */
  readonly self: Router;
  /** Routers heard from within the suspect time, the own one included, in order of name. */
  alive(): readonly Router[];
  /** Whether the named router says that it is leaving. */
  isLeaving(name: RouterName): boolean;
  /** Whether the named router said in its last heartbeat that it reaches the platform. */
  reachesPlatform(name: RouterName): boolean;
  /** Keepers of the servers of a service as heartbeats name them, the highest fence for each server. */
  keepers(service: ServiceName): readonly ServerKeeper[];
  /** Lowest level of a team with waiting work in the service, over all homes; undefined if none. */
  minLevel(service: ServiceName): Cost | undefined;
}

/** A server and the router that keeps it. */
export interface ServerKeeper {
  readonly router: RouterName;
  readonly state: KeeperState;
}

/** A request that wants a permit. */
export interface PermitRequest {
  readonly entry: EntryName;
  readonly team: TeamName;
  readonly service: ServiceName;
  readonly class: WorkClass;
  /** Size of the request body in bytes. */
  readonly bytes: number;
  /** The caller's rough expectation of the cost, if any. */
  readonly hint: Cost | undefined;
  /** Arrival on the router's clock; a retry keeps the time of its first arrival. */
  readonly arrived: Milliseconds;
  /** Servers that failed this request already; permits of others are preferred. */
  readonly avoidedServers: readonly ServerName[];
}

/** Hands out permits to requests, fairly among teams. */
export interface PermitSource {
  /** Waits for a permit. Fails with verdict `notRun` on a limit, the entry's maxWait or `signal`. */
  acquire(work: PermitRequest, signal: AbortSignal): ResultAsync<PermitHandle, Failure>;
}

/** A permit in the hands of one request. Exactly one `finish` is due for each ticket. */
export interface PermitHandle {
  readonly permit: Permit;
  /** Aborts when the keeper revokes the permit; the request must leave the server. */
  readonly revoked: AbortSignal;
  /** Marks the request as sent. False if the permit expired unused; nothing may be sent then. */
  markSent(): boolean;
  /** Tells when the first byte of the answer arrived, in milliseconds after sending. */
  reportFirstByte(firstByte: Milliseconds): void;
  /** Service received so far; grows the charge of the team past its estimate. */
  reportCost(cost: Cost): void;
  /** Returns the permit and settles the charge of the team. Further calls do nothing. */
  finish(outcome: Outcome, firstByte: Milliseconds | null, cost: Cost): void;
}

/** Requests to servers. Generators end after `end` or `failed`; returning one early closes its connection. */
export interface Backend {
  /**
   * Sends an attempt once. A failure has verdict `notRun` exactly if no byte of it can have left.
   * Aborting `signal` closes the connection.
   */
  send(
    address: string,
    attempt: Attempt,
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void>;
  /** Continues the stream of an attempt after `offset` tokens, on a new connection. */
  resume(
    address: string,
    attempt: string,
    offset: number,
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void>;
  /** Asks the server to stop working on an attempt. Best effort; never rejects. */
  cancel(address: string, attempt: string): Promise<void>;
}

/** Whether the run of a router that wrote a row still exists. */
export interface SessionLiveness {
  liveness(router: RouterName, incarnation: Incarnation): Promise<'live' | 'dead' | 'unknown'>;
}

/** Source of catalogue values. */
export interface CatalogueView {
  current(): Catalogue;
}

/** Control requests to servers. */
export interface ServerControl {
  load(address: string): ResultAsync<LoadReport, string>;
  order(address: string, order: Order): ResultAsync<void, string>;
}

/** Counters and gauges. Tag values come from small closed sets. */
export interface Metrics {
  count(name: string, tags?: Readonly<Record<string, string>>, amount?: number): void;
  gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
  timing(name: string, value: Milliseconds, tags?: Readonly<Record<string, string>>): void;
}

/** Records a change of state. */
export interface EventLog {
  record(event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Catalogue requests to another router. */
export interface CataloguePeer {
  catalogueSince(router: RouterName, revision: Revision): ResultAsync<CatalogueUpdate, string>;
}

/** Asks another router to run a table transaction on behalf of this one. */
export interface Relay {
  transact(router: RouterName, transaction: Transaction): ResultAsync<Commit, PlatformFailure>;
  /** Reads rows for this router; without it, lost answers stay open until the platform answers directly. */
  readonly rows?: (
    router: RouterName,
    prefix: string,
  ) => ResultAsync<readonly Row[], PlatformFailure>;
}

/** Pseudo-random numbers in [0, 1). */
export type Random = () => number;
