// The session of a router: a lease in the table service, so that other routers know for how long it may act
// for the fleet. Also decides what the router may do without a lease during an outage of the platform.

import type { Authority, Row, ServerPhase, Transaction } from '@catkinwheel/protocol';
import type { Clock, Milliseconds, Router, RouterName, VmName } from '@catkinwheel/state';
import { authorityOf } from './authority.js';
import type {
  EventLog,
  MemberView,
  Metrics,
  PlatformFailure,
  Random,
  Relay,
  Table,
} from './ports.js';
import { Outage } from './outage.js';
import type { SessionRow, SessionValue } from './leaseRows.js';
import { sessionKey, sessionPrefix } from './leaseRows.js';
import { ObservedSessions } from './observedSessions.js';
import { TableAccess } from './tableAccess.js';

/** Lifetime of a session row that is not renewed. */
export const sessionTtl: Milliseconds = 3_000;
/** Time between renewals. */
const renewPeriod: Milliseconds = 1_000;
/** Minimum time between two rounds of renewal, whatever their results. */
const minRoundPause: Milliseconds = 10;
/** The holder stops acting this much before others may consider its session as lapsed. */
const leaseMargin: Milliseconds = 500;
/** Time for which a router must have held its lease before it takes over from keepers whose session lapsed. */
export const takeoverDelay: Milliseconds = 2_500;
/** Time from the acknowledgement of a newly started router until all peers know that it reaches the platform. */
const startupDelay: Milliseconds = 2_000;
/** Maximum tries to write the release, after which the session is left to lapse. */
const maxReleaseAttempts = 3;

export interface SessionDependencies {
  readonly self: Router;
  readonly clock: Clock;
  readonly table: Table;
  readonly relay: Relay;
  readonly members: MemberView;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
  readonly random: Random;
}

/** A renewal that was not answered. */
interface PendingRenewal {
  readonly renewal: number;
  readonly sent: Milliseconds;
}

/** The lease of this router. All times are on this router's clock. */
export class Session {
  readonly #dependencies: SessionDependencies;
  readonly #table: TableAccess;
  readonly #observed: ObservedSessions;
  readonly #outage: Outage;
  #leaseEnd: Milliseconds = Number.NEGATIVE_INFINITY;
  #heldSince: Milliseconds = 0;
  #epoch = 0;
  #renewal = 0;
  /** Version of this router's row; undefined while it is not known. */
  #version: number | undefined;
  #pendingRenewal: PendingRenewal | undefined;
  /** Earlier incarnation of this router's name that this one replaced. */
  #replacedIncarnation: string | undefined;
  #hasEnded = false;
  #loggedAsHeld = false;

  private constructor(dependencies: SessionDependencies) {
    this.#dependencies = dependencies;
    this.#table = TableAccess.create(dependencies);
    this.#observed = ObservedSessions.create(dependencies.self.name);
    this.#outage = Outage.create(dependencies.random, sessionTtl);
  }

  static create(dependencies: SessionDependencies): Session {
    return new Session(dependencies);
  }

  /** Renews the lease until `signal` aborts, the session is released or another incarnation takes the name. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#dependencies;
    let due = clock.now();
    while (!signal.aborted && !this.#hasEnded) {
      await this.#round();
      this.#logChange();
      const now = clock.now();
      due = Math.max(
        now + minRoundPause,
        Math.min(due + renewPeriod, this.#outage.renewAt ?? Infinity),
      );
      await clock.sleep(due - now, signal);
    }
  }

  /** Whether the lease is valid now, less the safety margin. */
  isHeld(): boolean {
    return !this.#hasEnded && this.#dependencies.clock.now() < this.#leaseEnd;
  }

  /** Time for which the lease has been held without a gap; 0 if it is not held. */
  heldFor(): Milliseconds {
    return this.isHeld() ? this.#dependencies.clock.now() - this.#heldSince : 0;
  }

  /** Number of times the lease was acquired. Rows known from an earlier epoch must be confirmed. */
  epoch(): number {
    return this.#epoch;
  }

  /** Session rows as last read, with the time each version was first seen; empty before the first read. */
  sessionRows(): readonly SessionRow[] {
    return this.#observed.rows() ?? [];
  }

  /** Whether the session of the named router has lapsed or was released, as far as this router has observed. */
  hasLapsed(router: RouterName): boolean {
    return this.#observed.hasLapsed(router, sessionTtl);
  }

  /**
   * Whether the session of the named router stays lapsed although this router has held its own lease
   * long enough for every router to renew its lease after a common outage.
   */
  isLapseConfirmed(router: RouterName): boolean {
    return this.hasLapsed(router) && this.heldFor() >= 3 * sessionTtl;
  }

  /** The table as this router reaches it, directly or through a peer. */
  table(): Table {
    return this.#table;
  }

  /** The authority over a server in `phase` whose keeper row this router holds. */
  authority(phase: ServerPhase): Authority {
    if (this.#hasEnded) return 'none';
    const now = this.#dependencies.clock.now();
    return authorityOf(
      {
        held: this.isHeld(),
        outage: this.#outage.isProven(now),
        starting: this.#observed.isStarting(now - startupDelay),
        sessions: this.#observed.rows(),
        members: this.#dependencies.members,
      },
      phase,
    );
  }

  /** Whether a router found by the first read of sessions, if there was any, has acknowledged this incarnation. */
  isAcknowledged(): boolean {
    return !this.#observed.isStarting(this.#dependencies.clock.now());
  }

  /** Records that the named router has acknowledged this incarnation. */
  recordAcknowledgement(router: RouterName): void {
    this.#observed.recordAcknowledgement(router, this.#dependencies.clock.now());
  }

  /**
   * Takes the latest VM list. A newly started router does not wait for acknowledgement by routers whose VM is
   * gone.
   */
  updateVmList(vms: ReadonlySet<VmName>): void {
    this.#observed.updateVmList(vms, this.#dependencies.clock.now());
  }

  /** Gives up the lease at once and records that in the table, so that others need not wait for it to lapse. */
  async release(): Promise<void> {
    this.#hasEnded = true;
    for (let attempt = 0; attempt < maxReleaseAttempts; attempt += 1) {
      if (this.#version === undefined && !(await this.#readSessions())) continue;
      if (this.#observed.row(this.#dependencies.self.name)?.released === true) break;
      const result = await this.#table.transact(this.#renewalTransaction(this.#version ?? 0, true));
      if (result.isOk()) break;
      this.#version = undefined;
    }
    this.#dependencies.eventLog.record('session.released', {});
  }

  async #round(): Promise<void> {
    const { clock, metrics } = this.#dependencies;
    const started = clock.now();
    const succeeded = this.#isOutage() ? await this.#recover() : await this.#renewAndRead();
    metrics.count(succeeded ? 'session.round' : 'session.roundFailed');
    if (!succeeded && !this.isHeld()) this.#outage.recordFailure(started, clock.now());
  }

  #isOutage(): boolean {
    return !this.isHeld() && this.#outage.hasFailed && this.#epoch > 0;
  }

  /** Probes with a read; renews at a random time within one TTL after the platform answers again. */
  async #recover(): Promise<boolean> {
    const { clock } = this.#dependencies;
    const started = clock.now();
    if (!(await this.#readSessions())) return false;
    // The read may have shown that a renewal with a lost response is in force.
    if (this.isHeld()) return true;
    return this.#outage.recordSuccess(started, clock.now()) ? this.#renew() : true;
  }

  async #renewAndRead(): Promise<boolean> {
    if (this.#version === undefined && !(await this.#readSessions())) return false;
    const renewed = await this.#renew();
    return renewed && (await this.#readSessions());
  }

  async #renew(): Promise<boolean> {
    if (this.#version === undefined || this.#hasEnded) return false;
    const sent = this.#dependencies.clock.now();
    this.#renewal += 1;
    const result = await this.#table.transact(this.#renewalTransaction(this.#version, false));
    if (result.isOk()) {
      this.#version = result.value.version;
      this.#extendLease(sent);
      return true;
    }
    return this.#handleFailedRenewal(result.error, { renewal: this.#renewal, sent });
  }

  /** Reads back the effect of a failed renewal. False if the platform cannot be used for renewals. */
  async #handleFailedRenewal(failure: PlatformFailure, pending: PendingRenewal): Promise<boolean> {
    this.#dependencies.metrics.count('session.renewalFailed', { kind: failure.kind });
    switch (failure.kind) {
      case 'unavailable':
        return false;
      case 'conflict':
        // The platform is reachable: a late write of this router or another incarnation came first.
        this.#version = undefined;
        await this.#readSessions();
        return true;
      case 'unknown':
        this.#version = undefined;
        this.#pendingRenewal = pending;
        return (await this.#readSessions()) && this.isHeld();
    }
  }

  #renewalTransaction(version: number, released: boolean): Transaction {
    const { self } = this.#dependencies;
    const key = sessionKey(self.name);
    const value: SessionValue = { router: self, renewal: this.#renewal, released };
    return { checks: [{ key, version }], puts: [{ key, value }], deletes: [] };
  }

  async #readSessions(): Promise<boolean> {
    const sent = this.#dependencies.clock.now();
    const result = await this.#table.rows(sessionPrefix);
    if (result.isErr()) return false;
    this.#observed.update(result.value, sent, this.#dependencies.clock.now());
    if (this.#version === undefined) this.#adoptOwnRow(result.value);
    return true;
  }

  #adoptOwnRow(rows: readonly Row[]): void {
    const { name, incarnation } = this.#dependencies.self;
    const own = this.#observed.row(name);
    this.#version = rows.find(({ key }) => key === sessionKey(name))?.version ?? 0;
    if (own === undefined) return;
    if (own.incarnation === incarnation) {
      if (own.renewal === this.#pendingRenewal?.renewal)
        this.#extendLease(this.#pendingRenewal.sent);
      this.#pendingRenewal = undefined;
    } else if (this.#renewal === 0) {
      this.#replacedIncarnation = own.incarnation;
    } else if (own.incarnation !== this.#replacedIncarnation) {
      this.#hasEnded = true;
      this.#dependencies.eventLog.record('session.superseded', { by: own.incarnation });
    }
  }

  #extendLease(sent: Milliseconds): void {
    const wasHeld = this.isHeld();
    this.#leaseEnd = sent + sessionTtl - leaseMargin;
    if (wasHeld || !this.isHeld()) return;
    this.#epoch += 1;
    this.#heldSince = this.#dependencies.clock.now();
    this.#outage.reset();
  }

  #logChange(): void {
    if (this.#loggedAsHeld === this.isHeld()) return;
    this.#loggedAsHeld = this.isHeld();
    this.#dependencies.eventLog.record(this.#loggedAsHeld ? 'session.held' : 'session.lost', {
      epoch: this.#epoch,
    });
  }
}
