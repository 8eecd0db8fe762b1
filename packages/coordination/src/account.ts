// What one team was charged at this router, and what the home of the team said about it.

import type { LevelUpdate, UsageReport } from '@catkinwheel/protocol';
import type {
  Cost,
  Incarnation,
  Milliseconds,
  RouterName,
  ServiceName,
  TeamName,
} from '@catkinwheel/state';
import { owner } from './rendezvous.js';

/** Time between reports of a team to its home. */
export const reportPeriod: Milliseconds = 100;

/**
 * A share of the in-flight limit is valid this long after the report that it answers. The home
 * reserves it for longer (`shareReserve`), so that it never gives the same share away twice.
 */
export const shareLease: Milliseconds = 3_000;

/** Without an answer of the home for this long, work goes on with an equal part of the limit. */
const homePatience: Milliseconds = 1_000;

/** A team counts as served at other routers too for this long after its level showed it. */
const sharedTime: Milliseconds = 2_000;

/** Levels and charges are rounded to three decimals on their way. */
const roundingError: Cost = 0.01;

/** Reports remembered until a level answers them; at 100 ms each this covers several seconds. */
const rememberedReports = 64;

interface Sent {
  readonly sequence: number;
  readonly charge: Cost;
  readonly at: Milliseconds;
  readonly received: ReadonlyMap<RouterName, KeeperSequence>;
}

interface KeeperSequence {
  readonly incarnation: Incarnation | undefined;
  readonly sequence: number;
}

/** Cost to three decimals, which keeps messages short. Sums of charges are rounded, never their parts. */
export function rounded(cost: Cost): Cost {
  return Math.round(cost * 1_000) / 1_000;
}

/** The level of a team as one keeper needs to know it. */
export interface Standing {
  readonly level: Cost;
  readonly counted: number;
}

interface AccountOptions {
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly incarnation: Incarnation;
  /** Sequence before that of the first report; random, so that no answer to a previous run fits. */
  readonly start: number;
}

/** The router that keeps the ledger of the team, out of the live routers. */
export function homeOf(
  service: ServiceName,
  team: TeamName,
  alive: readonly RouterName[],
): RouterName | undefined {
  return owner(`${service}/${team}`, alive);
}

/** Cumulative charge of one team for one service in this incarnation of the router. */
export class Account {
  readonly #options: AccountOptions;
  readonly #received = new Map<RouterName, KeeperSequence>();
  #charge: Cost = 0;
  #chargeAtLevel: Cost = 0;
  #level: Cost = 0;
  #sequence: number;
  #acknowledged = 0;
  #share = 0;
  #shareUntil: Milliseconds = -Infinity;
  #askedSince: Milliseconds | undefined;
  #unanswered: readonly Sent[] = [];
  #counted: ReadonlyMap<RouterName, KeeperSequence> = new Map();
  #sharedUntil: Milliseconds = -Infinity;

  private constructor(options: AccountOptions) {
    this.#options = options;
    this.#sequence = options.start;
  }

  static create(options: AccountOptions): Account {
    return new Account(options);
  }

  get service(): ServiceName {
    return this.#options.service;
  }

  get team(): TeamName {
    return this.#options.team;
  }

  /** Service received across the fleet divided by weight, as the home last said. */
  get level(): Cost {
    return this.#level;
  }

  get charge(): Cost {
    return this.#charge;
  }

  /** Whether the last level contains everything that was charged. */
  get settled(): boolean {
    return this.#charge === this.#chargeAtLevel;
  }

  add(cost: Cost): void {
    this.#charge += cost;
  }

  /** Notes a grant. A keeper that restarted counts from 1 again. */
  granted(keeper: RouterName, incarnation: Incarnation | undefined, sequence: number): void {
    const known = this.#received.get(keeper);
    const restarted = known?.incarnation !== incarnation || sequence === 1;
    if (known !== undefined && !restarted && known.sequence >= sequence) return;
    this.#received.set(keeper, { incarnation, sequence });
  }

  /**
   * The level for a keeper, and the highest of its grants that is part of it. While only this router
   * charges the team, the level contains every charge up to now; without that, every keeper would
   * grant to the lowest team until the next answer of the home. With several routers it is the level
   * as the home said it, because a keeper takes the newest of their demands for the whole team.
   */
  standing(keeper: RouterName, weight: number, now: Milliseconds): Standing {
    const received = this.#received.get(keeper);
    if (now >= this.#sharedUntil) {
      const level = this.#level + (this.#charge - this.#chargeAtLevel) / weight;
      return { level, counted: received?.sequence ?? 0 };
    }
    const counted = this.#counted.get(keeper);
    const isSameRun = counted?.incarnation === received?.incarnation;
    const sequence = isSameRun ? Math.min(counted?.sequence ?? 0, received?.sequence ?? 0) : 0;
    return { level: this.#level, counted: sequence };
  }

  /** Requests that the team may have in flight here. `fallback` applies while no home answers. */
  share(now: Milliseconds, fallback: () => number): number {
    if (now < this.#shareUntil) return this.#share;
    const asked = this.#askedSince;
    return asked !== undefined && now - asked >= homePatience ? fallback() : 0;
  }

  report(now: Milliseconds, waiting: number, inFlight: number, share: number): UsageReport {
    this.#sequence += 1;
    if (now >= this.#shareUntil) this.#askedSince ??= now;
    const received = new Map(this.#received);
    const sent = { sequence: this.#sequence, charge: this.#charge, at: now, received };
    this.#unanswered = [...this.#unanswered.slice(1 - rememberedReports), sent];
    return {
      kind: 'report',
      service: this.#options.service,
      team: this.#options.team,
      incarnation: this.#options.incarnation,
      sequence: this.#sequence,
      charge: rounded(this.#charge),
      chargeAtLevel: rounded(this.#chargeAtLevel),
      level: this.#level,
      waiting,
      inFlight,
      share,
      acknowledged: this.#acknowledged,
    };
  }

  /** Applies an answer of the home. False if it is old or answers no report of this incarnation. */
  apply(level: LevelUpdate, weight: number, now: Milliseconds): boolean {
    const sent = this.#unanswered.find(({ sequence }) => sequence === level.sequence);
    if (sent === undefined) return false;
    this.#unanswered = this.#unanswered.filter(({ sequence }) => sequence > level.sequence);
    const own = this.#level + (sent.charge - this.#chargeAtLevel) / weight;
    if (Math.abs(level.level - own) > roundingError) this.#sharedUntil = now + sharedTime;
    this.#level = level.level;
    this.#counted = sent.received;
    this.#chargeAtLevel = sent.charge;
    this.#acknowledged = level.sequence;
    this.#share = level.share;
    this.#shareUntil = sent.at + shareLease;
    this.#askedSince = undefined;
    return true;
  }
}
