// A router may act for the fleet only while others can be sure that it does: its session is a lease
// in the table service, and what it may do without one is decided here too.

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
import { SessionList } from './sessionList.js';
import { TableAccess } from './tableAccess.js';

/** Lifetime of a session row that is not renewed. */
export const sessionTtl: Milliseconds = 3_000;
/** Time between renewals. */
const renewPeriod: Milliseconds = 1_000;
/** Shortest time between two rounds, whatever happened. */
const shortestPause: Milliseconds = 10;
/** The holder stops this much before others may consider the session as lapsed. */
const leaseMargin: Milliseconds = 500;
/** An own lease has to be held this long before lapsed keepers are taken over. */
export const takeoverDelay: Milliseconds = 2_500;
/** Time from the acknowledgement of a just-started router until all peers know that it reaches the platform. */
const startSettle: Milliseconds = 2_000;
/** Tries to write the release before others are left to see the session lapse. */
const releaseAttempts = 3;

export interface SessionParts {
  readonly self: Router;
  readonly clock: Clock;
  readonly table: Table;
  readonly relay: Relay;
  readonly members: MemberView;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
  readonly random: Random;
}

/** A renewal whose answer did not come. */
interface Pending {
  readonly renewal: number;
  readonly sent: Milliseconds;
}

/** The lease of this router. Times are on the own clock. */
export class Session {
  readonly #parts: SessionParts;
  readonly #table: TableAccess;
  readonly #list: SessionList;
  readonly #outage: Outage;
  #leaseEnd: Milliseconds = Number.NEGATIVE_INFINITY;
  #heldSince: Milliseconds = 0;
  #epoch = 0;
  #renewal = 0;
  /** Version of the own row; undefined while it is not known. */
  #version: number | undefined;
  #pending: Pending | undefined;
  /** Incarnation of the own name that this one replaced. */
  #replaced: string | undefined;
  #ended = false;
  #announced = false;

  private constructor(parts: SessionParts) {
    this.#parts = parts;
    this.#table = TableAccess.create(parts);
    this.#list = SessionList.create(parts.self.name);
    this.#outage = Outage.create(parts.random, sessionTtl);
  }

  static create(parts: SessionParts): Session {
    return new Session(parts);
  }

  /** Keeps the lease until `signal` aborts, the session is released or another incarnation takes the name. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#parts;
    let due = clock.now();
    while (!signal.aborted && !this.#ended) {
      await this.#round();
      this.#announce();
      const now = clock.now();
      due = Math.max(
        now + shortestPause,
        Math.min(due + renewPeriod, this.#outage.renewAt ?? Infinity),
      );
      await clock.sleep(due - now, signal);
    }
  }

  /** Whether the lease is valid now, with the safety margin taken off. */
  isHeld(): boolean {
    return !this.#ended && this.#parts.clock.now() < this.#leaseEnd;
  }

  /** How long the lease has been held without a gap; 0 if it is not held. */
  heldFor(): Milliseconds {
    return this.isHeld() ? this.#parts.clock.now() - this.#heldSince : 0;
  }

  /** Number of times the lease was gained. Knowledge of rows from an earlier epoch has to be confirmed. */
  epoch(): number {
    return this.#epoch;
  }

  /** Session rows as last read, with the time each version was first seen; empty before the first read. */
  sessionRows(): readonly SessionRow[] {
    return this.#list.rows() ?? [];
  }

  /** Whether the session of the named router has lapsed or ended by own observation. */
  hasLapsed(router: RouterName): boolean {
    return this.#list.hasLapsed(router, sessionTtl);
  }

  /**
   * Whether the session of the named router stays lapsed although this router has held its own lease
   * long enough for renewals after a common outage.
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
    if (this.#ended) return 'none';
    const now = this.#parts.clock.now();
    return authorityOf(
      {
        held: this.isHeld(),
        outage: this.#outage.isProved(now),
        starting: this.#list.isStarting(now - startSettle),
        sessions: this.#list.rows(),
        members: this.#parts.members,
      },
      phase,
    );
  }

  /** Whether a router of the first session list, if there was any, has answered this incarnation. */
  isAcknowledged(): boolean {
    return !this.#list.isStarting(this.#parts.clock.now());
  }

  /** The named router has answered this incarnation. */
  recordAcknowledgement(router: RouterName): void {
    this.#list.acknowledged(router, this.#parts.clock.now());
  }

  /** The VM list as last read; routers of vanished VMs no longer hold back a router that just started. */
  updateVmList(vms: ReadonlySet<VmName>): void {
    this.#list.vmsListed(vms, this.#parts.clock.now());
  }

  /** Gives up the lease at once and tells the table, so that others need not wait for it to lapse. */
  async release(): Promise<void> {
    this.#ended = true;
    for (let attempt = 0; attempt < releaseAttempts; attempt += 1) {
      if (this.#version === undefined && !(await this.#read())) continue;
      if (this.#list.row(this.#parts.self.name)?.released === true) break;
      const result = await this.#table.transact(this.#write(this.#version ?? 0, true));
      if (result.isOk()) break;
      this.#version = undefined;
    }
    this.#parts.eventLog.record('session.released', {});
  }

  async #round(): Promise<void> {
    const { clock, metrics } = this.#parts;
    const started = clock.now();
    const done = this.#isOutage() ? await this.#recover() : await this.#renewAndRead();
    metrics.count(done ? 'session.round' : 'session.roundFailed');
    if (!done && !this.isHeld()) this.#outage.failed(started, clock.now());
  }

  #isOutage(): boolean {
    return !this.isHeld() && this.#outage.isNoted && this.#epoch > 0;
  }

  /** Probes with a read; renews at a random time within one TTL after the platform answers again. */
  async #recover(): Promise<boolean> {
    const { clock } = this.#parts;
    const started = clock.now();
    if (!(await this.#read())) return false;
    // The read may have shown that a renewal with a lost answer is in force.
    if (this.isHeld()) return true;
    return this.#outage.answered(started, clock.now()) ? this.#renew() : true;
  }

  async #renewAndRead(): Promise<boolean> {
    if (this.#version === undefined && !(await this.#read())) return false;
    const renewed = await this.#renew();
    return renewed && (await this.#read());
  }

  async #renew(): Promise<boolean> {
    if (this.#version === undefined || this.#ended) return false;
    const sent = this.#parts.clock.now();
    this.#renewal += 1;
    const result = await this.#table.transact(this.#write(this.#version, false));
    if (result.isOk()) {
      this.#version = result.value.version;
      this.#extend(sent);
      return true;
    }
    return this.#unanswered(result.error, { renewal: this.#renewal, sent });
  }

  /** Reads back whatever the table may have done. False if the platform cannot be used for renewals. */
  async #unanswered(failure: PlatformFailure, pending: Pending): Promise<boolean> {
    this.#parts.metrics.count('session.renewalFailed', { kind: failure.kind });
    switch (failure.kind) {
      case 'unavailable':
        return false;
      case 'conflict':
        // The platform answers: a late write of this router or another incarnation came first.
        this.#version = undefined;
        await this.#read();
        return true;
      case 'unknown':
        this.#version = undefined;
        this.#pending = pending;
        return (await this.#read()) && this.isHeld();
    }
  }

  #write(version: number, released: boolean): Transaction {
    const { self } = this.#parts;
    const key = sessionKey(self.name);
    const value: SessionValue = { router: self, renewal: this.#renewal, released };
    return { checks: [{ key, version }], puts: [{ key, value }], deletes: [] };
  }

  async #read(): Promise<boolean> {
    const sent = this.#parts.clock.now();
    const result = await this.#table.rows(sessionPrefix);
    if (result.isErr()) return false;
    this.#list.update(result.value, sent, this.#parts.clock.now());
    if (this.#version === undefined) this.#adopt(result.value);
    return true;
  }

  #adopt(rows: readonly Row[]): void {
    const { name, incarnation } = this.#parts.self;
    const own = this.#list.row(name);
    this.#version = rows.find(({ key }) => key === sessionKey(name))?.version ?? 0;
    if (own === undefined) return;
    if (own.incarnation === incarnation) {
      if (own.renewal === this.#pending?.renewal) this.#extend(this.#pending.sent);
      this.#pending = undefined;
    } else if (this.#renewal === 0) {
      this.#replaced = own.incarnation;
    } else if (own.incarnation !== this.#replaced) {
      this.#ended = true;
      this.#parts.eventLog.record('session.superseded', { by: own.incarnation });
    }
  }

  #extend(sent: Milliseconds): void {
    const wasHeld = this.isHeld();
    this.#leaseEnd = sent + sessionTtl - leaseMargin;
    if (wasHeld || !this.isHeld()) return;
    this.#epoch += 1;
    this.#heldSince = this.#parts.clock.now();
    this.#outage.clear();
  }

  #announce(): void {
    if (this.#announced === this.isHeld()) return;
    this.#announced = this.isHeld();
    this.#parts.eventLog.record(this.#announced ? 'session.held' : 'session.lost', {
      epoch: this.#epoch,
    });
  }
}
