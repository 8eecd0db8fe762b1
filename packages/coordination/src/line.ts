// The requests of one team for one service at this router, with everything that its demand says.

import type { TeamDemand } from '@catkinwheel/protocol';
import type {
  Cost,
  Milliseconds,
  RouterName,
  ServerName,
  ServiceName,
  TeamName,
} from '@catkinwheel/state';
import { rounded, type Account } from './account.js';
import type { Line } from './intake.js';
import type { PermitRequest } from './ports.js';
import { TeamQueue, type Waiter } from './queue.js';

/** What a line asks of its surroundings. */
export interface LineOwner {
  estimate(work: PermitRequest): Cost;
  weight(team: TeamName): number;
  /** Requests that the team may have in flight here while no home answers. */
  fallbackShare(team: TeamName): number;
  now(): Milliseconds;
  /** Called after a request joined the line. */
  joined(line: TeamLine): void;
  /** Called after a request left the line without a permit. */
  left(line: TeamLine): void;
}

export class TeamLine implements Line {
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly account: Account;
  /** Permits in use. */
  inFlight = 0;
  /** Whether demand goes to all keepers rather than to those with most free permits. */
  wide = false;
  /** Since when the line waits without a grant. */
  waitingSince: Milliseconds = 0;
  /** Last time that anything waited or was in flight. */
  lastActive: Milliseconds = 0;
  lastReport: Milliseconds = -Infinity;
  readonly #queue = TeamQueue.create();
  readonly #owner: LineOwner;

  private constructor(account: Account, owner: LineOwner) {
    this.service = account.service;
    this.team = account.team;
    this.account = account;
    this.#owner = owner;
  }

  static create(account: Account, owner: LineOwner): TeamLine {
    return new TeamLine(account, owner);
  }

  get waiting(): number {
    return this.#queue.size;
  }

  /** Age of the oldest waiting request, 0 if none waits. */
  oldestWait(now: Milliseconds): Milliseconds {
    const oldest = this.#queue.oldest();
    return oldest === undefined ? 0 : Math.max(0, now - oldest);
  }

  /** Requests that the team may have in flight at this router. */
  share(): number {
    return this.account.share(this.#owner.now(), () => this.#owner.fallbackShare(this.team));
  }

  /** Permits that could be used now. */
  want(): number {
    return Math.max(0, Math.min(this.#queue.size, this.share() - this.inFlight));
  }

  insert(waiter: Waiter): void {
    if (this.#queue.size === 0) this.waitingSince = this.#owner.now();
    this.#queue.insert(waiter);
    this.#owner.joined(this);
  }

  remove(waiter: Waiter): void {
    this.#queue.remove(waiter);
    if (this.#queue.size === 0) this.wide = false;
    this.#owner.left(this);
  }

  /** Takes the request that a permit of `server` goes to, unless the share is used up. */
  take(server: ServerName): Waiter | undefined {
    if (this.want() === 0) return undefined;
    const waiter = this.#queue.take(server);
    this.waitingSince = this.#owner.now();
    if (this.#queue.size === 0) this.wide = false;
    return waiter;
  }

  /** Demand for `want` permits, as the keeper needs to see it. */
  demand(keeper: RouterName, want: number): TeamDemand {
    const interactive = Math.min(this.#queue.count('interactive'), want);
    const head = this.#queue.peek();
    const weight = this.#owner.weight(this.team);
    const { level, counted } = this.account.standing(keeper, weight, this.#owner.now());
    return {
      team: this.team,
      interactive,
      batch: Math.min(this.#queue.count('batch'), want - interactive),
      estimate: head === undefined ? 0 : rounded(this.#owner.estimate(head.work)),
      oldest: Math.round(this.oldestWait(this.#owner.now())),
      level: rounded(level),
      counted,
      weight,
    };
  }
}
