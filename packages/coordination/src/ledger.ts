// The home of a team sums up what every router charged it, so that fairness holds across the fleet.

import type { LevelFloor, UsageReport } from '@catkinwheel/protocol';
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

/** A router that reports nothing for this long, five report periods, has no waiting work. */
const waitingSilence: Milliseconds = 500;

/** Longer than a share is valid at its router without an answer (`shareLease`), with a margin. */
const shareReserve: Milliseconds = 4_000;

/** Reports of a router are forgotten after this time. */
const forgetReporter: Milliseconds = 10_000;

/** The level of a team is kept this long after its last report. */
const forgetTeam: Milliseconds = 3_600_000;

/** After a change of members, routers that already hold shares report within this time. */
const settleTime: Milliseconds = 300;

/** A home that first hears of a team this long after a change of members may not be its first one. */
const recentChange: Milliseconds = 1_500;

const sweepPeriod: Milliseconds = 100;

interface Reporter {
  readonly sequence: number;
  readonly charge: Cost;
  readonly at: Milliseconds;
}

/** Ledger of one team for one service. */
interface Account {
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly reporters: Map<Incarnation, Reporter>;
  readonly shares: Shares;
  /** Until when no share may be raised. */
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

/** Ledgers of the teams whose home this router is. */
export class Ledger {
  readonly #options: LedgerOptions;
  readonly #accounts = new Map<ServiceName, Map<TeamName, Account>>();
  /** Teams with reports not yet forgotten. */
  readonly #active = new Set<Account>();
  /** Teams that wait and whose in-flight limit does not hold them back. */
  readonly #contending = new Map<ServiceName, Set<Account>>();
  /** Highest floor seen; keeps idle time from earning credit while nobody contends. */
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

  /** Adds a report to its ledger and answers with the level and the share. Old reports are ignored. */
  receive(from: RouterName, report: UsageReport): void {
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

  /** Lowest level of a contending team per service, for the heartbeat. */
  floors(): readonly LevelFloor[] {
    return [...this.#contending].flatMap(([service, accounts]) => {
      const level = lowest(accounts);
      return level === undefined ? [] : [{ service, level: rounded(level) }];
    });
  }

  /** Forgets silent routers and teams until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    for await (const now of this.#options.clock.every(sweepPeriod, signal)) this.#sweep(now);
  }

  #add(account: Account, report: UsageReport, known: Reporter | undefined, weight: number): void {
    if (known === undefined) {
      account.level = Math.max(account.level, report.level);
      account.level += (report.charge - report.chargeAtLevel) / weight;
    } else {
      account.level += (report.charge - known.charge) / weight;
    }
  }

  #share(account: Account, report: UsageReport, team: Team, now: Milliseconds): number {
    const mayGrow = now >= account.settled;
    const limit = team.limits.inFlight;
    return account.shares.answer(report.incarnation, report, limit, mayGrow, now);
  }

  /** Keeps track of who contends. A team that begins to contend is lifted: idle time earns no credit. */
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

  /** Level that the service has reached across the fleet. */
  #floor(service: ServiceName): Cost {
    const elsewhere = this.#options.members.minLevel(service) ?? Infinity;
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

  #accountOf({ service, team }: UsageReport, now: Milliseconds): Account {
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
