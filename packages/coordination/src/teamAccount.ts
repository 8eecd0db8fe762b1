// Cumulative charge of one team for one service at this router, with the fleet-wide level and the share
// of the in-flight limit that the router owning the team's ledger last returned.

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

/** Interval at which the charge of a team is reported to the owner of its ledger. */
export const reportInterval: Milliseconds = 100;

/**
 * A share of the in-flight limit is valid for this long after the report that it replies to was sent. The
 * ledger reserves it for longer (`shareReserveTime`), so that it never assigns the same share twice.
 */
export const shareLease: Milliseconds = 3_000;

/** After this time without a reply from the ledger, the router uses an equal part of the limit. */
const ledgerTimeout: Milliseconds = 1_000;

/**
 * A team counts as charged at several routers for this long after its level contained a charge of
 * another router.
 */
const multiRouterTime: Milliseconds = 2_000;

/** Tolerance when levels are compared: messages carry levels and charges rounded to three decimals. */
const levelTolerance: Cost = 0.01;

/** Reports without a reply that are kept; at one per 100 ms they cover several seconds. */
const maxUnansweredReports = 64;

interface SentReport {
  readonly sequence: number;
  readonly charge: Cost;
  readonly at: Milliseconds;
  readonly grants: ReadonlyMap<RouterName, GrantSequence>;
}

interface GrantSequence {
  readonly incarnation: Incarnation | undefined;
  readonly sequence: number;
}

/**
 * Rounds a cost to three decimals, which keeps messages short. Apply it to sums of charges only, not to
 * their summands, so that rounding errors do not accumulate.
 */
export function rounded(cost: Cost): Cost {
  return Math.round(cost * 1_000) / 1_000;
}

/** The level of a team as it is sent to one keeper, with the sequence of its newest grant in that level. */
export interface LevelForKeeper {
  readonly level: Cost;
  readonly counted: number;
}

interface TeamAccountOptions {
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly incarnation: Incarnation;
  /**
   * Sequence before that of the first report; random, so that no reply to a report of an earlier
   * incarnation matches.
   */
  readonly startSequence: number;
}

/** The router among `alive` that keeps the ledger of the team; undefined if there is none. */
export function ledgerOwnerOf(
  service: ServiceName,
  team: TeamName,
  alive: readonly RouterName[],
): RouterName | undefined {
  return owner(`${service}/${team}`, alive);
}

/** Cumulative charge of one team for one service in this incarnation of the router. */
export class TeamAccount {
  readonly #options: TeamAccountOptions;
  readonly #lastGrants = new Map<RouterName, GrantSequence>();
  #charge: Cost = 0;
  #chargeAtLevel: Cost = 0;
  #level: Cost = 0;
  #sequence: number;
  #acknowledged = 0;
  #share = 0;
  #shareUntil: Milliseconds = -Infinity;
  #unansweredSince: Milliseconds | undefined;
  #unanswered: readonly SentReport[] = [];
  #countedGrants: ReadonlyMap<RouterName, GrantSequence> = new Map();
  #chargedElsewhereUntil: Milliseconds = -Infinity;

  private constructor(options: TeamAccountOptions) {
    this.#options = options;
    this.#sequence = options.startSequence;
  }

  static create(options: TeamAccountOptions): TeamAccount {
    return new TeamAccount(options);
  }

  get service(): ServiceName {
    return this.#options.service;
  }

  get team(): TeamName {
    return this.#options.team;
  }

  /** Service received across the fleet divided by the weight of the team, from the last reply. */
  get level(): Cost {
    return this.#level;
  }

  get charge(): Cost {
    return this.#charge;
  }

  /** Whether the last level contains all charges. */
  get isSettled(): boolean {
    return this.#charge === this.#chargeAtLevel;
  }

  add(cost: Cost): void {
    this.#charge += cost;
  }

  /** Records a grant. A keeper that restarted numbers its grants from 1 again. */
  recordGrant(keeper: RouterName, incarnation: Incarnation | undefined, sequence: number): void {
    const known = this.#lastGrants.get(keeper);
    const restarted = known?.incarnation !== incarnation || sequence === 1;
    if (known !== undefined && !restarted && known.sequence >= sequence) return;
    this.#lastGrants.set(keeper, { incarnation, sequence });
  }

  /**
   * The level for a keeper, and the highest sequence of its grants that the level contains. While only
   * this router charges the team, the level contains every charge up to now; otherwise all keepers
   * would grant to the team with the lowest level until the next reply of the ledger. With several
   * routers it is the level of the last reply, because a keeper uses the level of the newest demand
   * from any router for the whole team.
   */
  levelFor(keeper: RouterName, weight: number, now: Milliseconds): LevelForKeeper {
    const lastGrant = this.#lastGrants.get(keeper);
    if (now >= this.#chargedElsewhereUntil) {
      const level = this.#level + (this.#charge - this.#chargeAtLevel) / weight;
      return { level, counted: lastGrant?.sequence ?? 0 };
    }
    const counted = this.#countedGrants.get(keeper);
    const isSameIncarnation = counted?.incarnation === lastGrant?.incarnation;
    const sequence = isSameIncarnation
      ? Math.min(counted?.sequence ?? 0, lastGrant?.sequence ?? 0)
      : 0;
    return { level: this.#level, counted: sequence };
  }

  /** Maximum number of the team's requests in flight here. `fallback` applies while the ledger owner does not reply. */
  share(now: Milliseconds, fallback: () => number): number {
    if (now < this.#shareUntil) return this.#share;
    const unansweredSince = this.#unansweredSince;
    return unansweredSince !== undefined && now - unansweredSince >= ledgerTimeout ? fallback() : 0;
  }

  report(now: Milliseconds, waiting: number, inFlight: number, share: number): UsageReport {
    this.#sequence += 1;
    if (now >= this.#shareUntil) this.#unansweredSince ??= now;
    const grants = new Map(this.#lastGrants);
    const sent = { sequence: this.#sequence, charge: this.#charge, at: now, grants };
    this.#unanswered = [...this.#unanswered.slice(1 - maxUnansweredReports), sent];
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

  /** Applies a reply of the ledger. False if it is outdated or matches no report of this incarnation. */
  apply(level: LevelUpdate, weight: number, now: Milliseconds): boolean {
    const sent = this.#unanswered.find(({ sequence }) => sequence === level.sequence);
    if (sent === undefined) return false;
    this.#unanswered = this.#unanswered.filter(({ sequence }) => sequence > level.sequence);
    const expected = this.#level + (sent.charge - this.#chargeAtLevel) / weight;
    if (Math.abs(level.level - expected) > levelTolerance)
      this.#chargedElsewhereUntil = now + multiRouterTime;
    this.#level = level.level;
    this.#countedGrants = sent.grants;
    this.#chargeAtLevel = sent.charge;
    this.#acknowledged = level.sequence;
    this.#share = level.share;
    this.#shareUntil = sent.at + shareLease;
    this.#unansweredSince = undefined;
    return true;
  }
}
