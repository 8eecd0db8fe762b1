// Queued and in-flight requests of one team for one service at this router, from which its demand for
// permits is computed.

import type { TeamDemand } from '@catkinwheel/protocol';
import type {
  Cost,
  Milliseconds,
  RouterName,
  ServerName,
  ServiceName,
  TeamName,
} from '@catkinwheel/state';
import { rounded, type TeamAccount } from './teamAccount.js';
import type { RequestQueue } from './intake.js';
import type { PermitRequest } from './ports.js';
import { TeamQueue, type Waiter } from './teamQueue.js';

/** Lookups and callbacks of a team's workload. */
export interface WorkloadOwner {
  estimate(request: PermitRequest): Cost;
  weight(team: TeamName): number;
  /** Maximum number of the team's requests in flight at this router while the ledger owner does not reply. */
  fallbackShare(team: TeamName): number;
  now(): Milliseconds;
  /** Called after a request was queued. */
  onQueued(workload: TeamWorkload): void;
  /** Called after a request left the queue without a permit. */
  onDequeued(workload: TeamWorkload): void;
}

/** The workload of one team for one service. */
export class TeamWorkload implements RequestQueue {
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly account: TeamAccount;
  /** Number of permits in use. */
  inFlight = 0;
  /** Whether demand goes to all keepers and not only to those with the most free permits. */
  isBroadcast = false;
  /** When the present wait for a grant began: at the last grant, or later when the empty queue got a request. */
  waitingSince: Milliseconds = 0;
  /** Last time with a request queued or in flight. */
  lastActiveAt: Milliseconds = 0;
  /** When usage was last reported to the ledger owner. */
  lastUsageReportAt: Milliseconds = -Infinity;
  readonly #queue = TeamQueue.create();
  readonly #owner: WorkloadOwner;

  private constructor(account: TeamAccount, owner: WorkloadOwner) {
    this.service = account.service;
    this.team = account.team;
    this.account = account;
    this.#owner = owner;
  }

  static create(account: TeamAccount, owner: WorkloadOwner): TeamWorkload {
    return new TeamWorkload(account, owner);
  }

  get waiting(): number {
    return this.#queue.size;
  }

  /** Age of the oldest queued request; 0 if there is none. */
  oldestWait(now: Milliseconds): Milliseconds {
    const oldest = this.#queue.oldest();
    return oldest === undefined ? 0 : Math.max(0, now - oldest);
  }

  /** Maximum number of the team's requests in flight at this router. */
  share(): number {
    return this.account.share(this.#owner.now(), () => this.#owner.fallbackShare(this.team));
  }

  /** Number of permits that could be used now. */
  want(): number {
    return Math.max(0, Math.min(this.#queue.size, this.share() - this.inFlight));
  }

  insert(waiter: Waiter): void {
    if (this.#queue.size === 0) this.waitingSince = this.#owner.now();
    this.#queue.insert(waiter);
    this.#owner.onQueued(this);
  }

  remove(waiter: Waiter): void {
    this.#queue.remove(waiter);
    if (this.#queue.size === 0) this.isBroadcast = false;
    this.#owner.onDequeued(this);
  }

  /**
   * Removes the queued request (waiter) that gets a permit of `server`; undefined if none is queued or the
   * share is used up.
   */
  take(server: ServerName): Waiter | undefined {
    if (this.want() === 0) return undefined;
    const waiter = this.#queue.take(server);
    this.waitingSince = this.#owner.now();
    if (this.#queue.size === 0) this.isBroadcast = false;
    return waiter;
  }

  /** The team's demand for `want` permits, with the level for `keeper`. */
  demand(keeper: RouterName, want: number): TeamDemand {
    const interactive = Math.min(this.#queue.count('interactive'), want);
    const head = this.#queue.peek();
    const weight = this.#owner.weight(this.team);
    const { level, counted } = this.account.levelFor(keeper, weight, this.#owner.now());
    return {
      team: this.team,
      interactive,
      batch: Math.min(this.#queue.count('batch'), want - interactive),
      estimate: head === undefined ? 0 : rounded(this.#owner.estimate(head.request)),
      oldest: Math.round(this.oldestWait(this.#owner.now())),
      level: rounded(level),
      counted,
      weight,
    };
  }
}
