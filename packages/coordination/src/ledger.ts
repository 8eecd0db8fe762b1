// Sums the charges of a team over all routers, so that fairness holds across the fleet. The ledger of a
// team is kept by the router that rendezvous hashing assigns to it.

import type { Floor, Report } from '@catkinwheel/protocol';
import type {
  Clock,
  Cost,
  Incarnation,
  Milliseconds,
  RouterName,
  ServiceName,
  Team,
  TeamName,
} from '@catkinwheel/state';
import { rounded } from './account.js';
import { assertInvariant } from './invariant.js';
import type { CatalogueView, MemberView, Metrics, Outbox } from './ports.js';
import { Shares } from './share.js';

/** A router without a report for this long, five report periods, counts as having no queued requests. */
const waitingSilence: Milliseconds = 500;

/** Time for which the share of a silent router stays reserved: `shareLease` and a margin. */
const shareReserve: Milliseconds = 4_000;

/** Retention of the last report of a router. */
const forgetReporter: Milliseconds = 10_000;

/** Retention of the level of a team after its last report. */
const forgetTeam: Milliseconds = 3_600_000;

/** Time within which routers that already hold shares report after a change of members. */
const settleTime: Milliseconds = 300;

/** A ledger created within this time after a change of members may have had a previous owner. */
const recentChange: Milliseconds = 1_500;

const sweepPeriod: Milliseconds = 100;

interface Reporter {
  readonly sequence: number;
  readonly charge: Cost;
  readonly at: Milliseconds;
}

/** The ledger of one team for one service. */
interface Account {
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly reporters: Map<Incarnation, Reporter>;
  readonly shares: Shares;
  /** Time before which no share is raised. */
  readonly settled: Milliseconds;
  level: Cost;
  contending: boolean;
  lastReport: Milliseconds;
}

export interface LedgerOptions {
  readonly clock: Clock;
  readonly members: MemberView;
  readonly outbox: Outbox;
  readonly catalogue: CatalogueView;
  readonly metrics: Metrics;
}

/** The ledgers that this router keeps. */
export class Ledger {
  readonly #options: LedgerOptions;
  readonly #accounts = new Map<ServiceName, Map<TeamName, Account>>();
  /** Teams with retained reports. */
  readonly #active = new Set<Account>();
  /** Teams with queued requests that are below their in-flight limit. */
  readonly #contending = new Map<ServiceName, Set<Account>>();
  /** Highest floor so far: idle time earns no credit, even while no team contends. */
  readonly #reached = new Map<ServiceName, Cost>();
  #alive = '';
  #membersChanged: Milliseconds;
  #swept: Milliseconds = -Infinity;

  private constructor(options: LedgerOptions) {
    this.#options = options;
    this.#membersChanged = options.clock.now();
  }

  static create(options: LedgerOptions): Ledger {
    return new Ledger(options);
  }

  /** Adds a report to its ledger and sends the level and the share back. Outdated reports are ignored. */
  receive(from: RouterName, report: Report): void {
    const { clock, catalogue, metrics, outbox } = this.#options;
    const team = catalogue.current().teams[report.team];
    if (team === undefined) {
      metrics.count('ledger.refusedReport', { reason: 'unknownTeam' });
      return;
    }
    const now = clock.now();
    const account = this.#accountOf(report, now);
    const known = account.reporters.get(report.incarnation);
    if (known !== undefined && report.sequence <= known.sequence) {
      metrics.count('ledger.refusedReport', { reason: 'oldSequence' });
      return;
    }
    this.#add(account, report, known, team.weight);
    account.reporters.set(report.incarnation, {
      sequence: report.sequence,
      charge: report.charge,
      at: now,
    });
    account.lastReport = now;
    this.#active.add(account);
    const share = this.#share(account, report, team, now);
    const told = `level ${account.level}, share ${share} of team ${report.team}`;
    const limit = team.limits.inFlight;
    assertInvariant(metrics, Number.isFinite(account.level) && share >= 0 && share <= limit, told);
    this.#contend(account, team);
    outbox.send(from, {
      kind: 'level',
      service: report.service,
      team: report.team,
      sequence: report.sequence,
      level: rounded(account.level),
      share,
    });
  }

  /** Lowest level of the contending teams per service, for the heartbeat. */
  floors(): readonly Floor[] {
    return [...this.#contending].flatMap(([service, accounts]) => {
      const level = lowest(accounts);
      return level === undefined ? [] : [{ service, level: rounded(level) }];
    });
  }

  /** Removes silent routers and teams until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    for await (const now of this.#options.clock.every(sweepPeriod, signal)) this.#sweep(now);
  }

  #add(account: Account, report: Report, known: Reporter | undefined, weight: number): void {
    if (known === undefined) {
      account.level = Math.max(account.level, report.level);
      account.level += (report.charge - report.chargeAtLevel) / weight;
    } else {
      account.level += (report.charge - known.charge) / weight;
    }
  }

  #share(account: Account, report: Report, team: Team, now: Milliseconds): number {
    const mayGrow = now >= account.settled;
    const limit = team.limits.inFlight;
    return account.shares.answer(report.incarnation, report, limit, mayGrow, now);
  }

  /**
   * Updates whether the team contends. When it starts to, its level is raised to the floor: idle time
   * earns no credit.
   */
  #contend(account: Account, team: Team | undefined): void {
    const { waiting, inFlight } = account.shares;
    const contends = team !== undefined && waiting > 0 && inFlight < team.limits.inFlight;
    if (contends === account.contending) return;
    account.contending = contends;
    const set = this.#contending.get(account.service) ?? new Set();
    this.#contending.set(account.service, set);
    if (contends) {
      account.level = Math.max(account.level, this.#floor(account.service));
      set.add(account);
    } else {
      set.delete(account);
    }
  }

  /** Lowest level of the contending teams across the fleet; it never decreases. */
  #floor(service: ServiceName): Cost {
    const elsewhere = this.#options.members.floor(service) ?? Infinity;
    const own = lowest(this.#contending.get(service) ?? []) ?? Infinity;
    const floor = Math.min(elsewhere, own);
    const reached = Math.max(this.#reached.get(service) ?? 0, floor === Infinity ? 0 : floor);
    this.#reached.set(service, reached);
    return reached;
  }

  #sweep(now: Milliseconds): void {
    this.#view(now);
    for (const service of this.#contending.keys()) this.#floor(service);
    for (const account of this.#active) this.#silence(account, now);
    if (now - this.#swept < forgetReporter) return;
    this.#swept = now;
    for (const accounts of this.#accounts.values()) {
      for (const [team, account] of accounts) {
        if (now - account.lastReport >= forgetTeam) accounts.delete(team);
      }
    }
  }

  #silence(account: Account, now: Milliseconds): void {
    const team = this.#options.catalogue.current().teams[account.team];
    for (const [incarnation, { at }] of account.reporters) {
      if (now - at >= waitingSilence) account.shares.silence(incarnation);
      if (now - at >= shareReserve) account.shares.forget(incarnation);
      if (now - at >= forgetReporter) account.reporters.delete(incarnation);
    }
    this.#contend(account, team);
    if (account.reporters.size === 0) this.#active.delete(account);
  }

  #accountOf({ service, team }: Report, now: Milliseconds): Account {
    const accounts = this.#accounts.get(service) ?? new Map<TeamName, Account>();
    this.#accounts.set(service, accounts);
    const known = accounts.get(team);
    if (known !== undefined) return known;
    this.#view(now);
    const account: Account = {
      service,
      team,
      reporters: new Map(),
      shares: Shares.create(),
      settled: now - this.#membersChanged < recentChange ? now + settleTime : now,
      level: 0,
      contending: false,
      lastReport: now,
    };
    accounts.set(team, account);
    return account;
  }

  #view(now: Milliseconds): void {
    const alive = this.#options.members
      .alive()
      .map(({ name }) => name)
      .join(' ');
    if (alive !== this.#alive) this.#membersChanged = now;
    this.#alive = alive;
  }
}

function lowest(accounts: Iterable<Account>): Cost | undefined {
  let level: Cost | undefined;
  for (const account of accounts) {
    level = level === undefined ? account.level : Math.min(level, account.level);
  }
  return level;
}
