// Sums the charges of a team over all routers, so that fairness holds across the fleet. The ledger of a
// team is kept by the router that rendezvous hashing assigns to it.

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
import { rounded } from './teamAccount.js';
import { assertInvariant } from './invariant.js';
import type { CatalogueView, MemberView, Metrics, Outbox } from './ports.js';
import { Shares } from './shares.js';

/** A router without a report for this long, five report intervals, counts as having no queued requests. */
const reportTimeout: Milliseconds = 500;

/** Time for which the share of a silent router stays reserved: `shareLease` and a margin. */
const shareReserveTime: Milliseconds = 4_000;

/** Retention of the last report of a router. */
const reportRetention: Milliseconds = 10_000;

/** Retention of the level of a team after its last report. */
const levelRetention: Milliseconds = 3_600_000;

/** Time within which routers that already hold shares report after a change of members. */
const settleTime: Milliseconds = 300;

/** A ledger created within this time after a change of members may have had a previous owner. */
const membershipChangeWindow: Milliseconds = 1_500;

const sweepInterval: Milliseconds = 100;

interface LastReport {
  readonly sequence: number;
  readonly charge: Cost;
  readonly at: Milliseconds;
}

/** The ledger of one team for one service. */
interface TeamLedger {
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly lastReports: Map<Incarnation, LastReport>;
  readonly shares: Shares;
  /** Time before which no share is raised. */
  readonly sharesFrozenUntil: Milliseconds;
  level: Cost;
  isContending: boolean;
  lastReportAt: Milliseconds;
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
  readonly #ledgers = new Map<ServiceName, Map<TeamName, TeamLedger>>();
  /** Teams with retained reports. */
  readonly #reportedTeams = new Set<TeamLedger>();
  /** Teams with queued requests that are below their in-flight limit. */
  readonly #contending = new Map<ServiceName, Set<TeamLedger>>();
  /** Highest floor so far: idle time earns no credit, even while no team contends. */
  readonly #highestFloors = new Map<ServiceName, Cost>();
  #aliveRouters = '';
  #membersChangedAt: Milliseconds;
  #sweptAt: Milliseconds = -Infinity;

  private constructor(options: LedgerOptions) {
    this.#options = options;
    this.#membersChangedAt = options.clock.now();
  }

  static create(options: LedgerOptions): Ledger {
    return new Ledger(options);
  }

  /** Adds a report to its ledger and sends the level and the share back. Outdated reports are ignored. */
  receive(from: RouterName, report: UsageReport): void {
    const { clock, catalogue, metrics, outbox } = this.#options;
    const team = catalogue.current().teams[report.team];
    if (team === undefined) {
      metrics.count('ledger.refusedReport', { reason: 'unknownTeam' });
      return;
    }
    const now = clock.now();
    const ledger = this.#ledgerOf(report, now);
    const known = ledger.lastReports.get(report.incarnation);
    if (known !== undefined && report.sequence <= known.sequence) {
      metrics.count('ledger.refusedReport', { reason: 'oldSequence' });
      return;
    }
    this.#add(ledger, report, known, team.weight);
    ledger.lastReports.set(report.incarnation, {
      sequence: report.sequence,
      charge: report.charge,
      at: now,
    });
    ledger.lastReportAt = now;
    this.#reportedTeams.add(ledger);
    const share = this.#share(ledger, report, team, now);
    const detail = `level ${ledger.level}, share ${share} of team ${report.team}`;
    const limit = team.limits.inFlight;
    assertInvariant(metrics, Number.isFinite(ledger.level) && share >= 0 && share <= limit, detail);
    this.#updateContention(ledger, team);
    outbox.send(from, {
      kind: 'level',
      service: report.service,
      team: report.team,
      sequence: report.sequence,
      level: rounded(ledger.level),
      share,
    });
  }

  /** Lowest level of the contending teams per service, for the heartbeat. */
  floors(): readonly LevelFloor[] {
    return [...this.#contending].flatMap(([service, ledgers]) => {
      const level = lowest(ledgers);
      return level === undefined ? [] : [{ service, level: rounded(level) }];
    });
  }

  /** Removes silent routers and teams until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    for await (const now of this.#options.clock.every(sweepInterval, signal)) this.#sweep(now);
  }

  #add(
    ledger: TeamLedger,
    report: UsageReport,
    known: LastReport | undefined,
    weight: number,
  ): void {
    if (known === undefined) {
      ledger.level = Math.max(ledger.level, report.level);
      ledger.level += (report.charge - report.chargeAtLevel) / weight;
    } else {
      ledger.level += (report.charge - known.charge) / weight;
    }
  }

  #share(ledger: TeamLedger, report: UsageReport, team: Team, now: Milliseconds): number {
    const mayGrow = now >= ledger.sharesFrozenUntil;
    const limit = team.limits.inFlight;
    return ledger.shares.update(report.incarnation, report, limit, mayGrow, now);
  }

  /**
   * Updates whether the team contends. When it starts to, its level is raised to the floor: idle time
   * earns no credit.
   */
  #updateContention(ledger: TeamLedger, team: Team | undefined): void {
    const { waiting, inFlight } = ledger.shares;
    const contends = team !== undefined && waiting > 0 && inFlight < team.limits.inFlight;
    if (contends === ledger.isContending) return;
    ledger.isContending = contends;
    const set = this.#contending.get(ledger.service) ?? new Set();
    this.#contending.set(ledger.service, set);
    if (contends) {
      ledger.level = Math.max(ledger.level, this.#floor(ledger.service));
      set.add(ledger);
    } else {
      set.delete(ledger);
    }
  }

  /** Lowest level of the contending teams across the fleet; it never decreases. */
  #floor(service: ServiceName): Cost {
    const elsewhere = this.#options.members.minLevel(service) ?? Infinity;
    const own = lowest(this.#contending.get(service) ?? []) ?? Infinity;
    const floor = Math.min(elsewhere, own);
    const highest = Math.max(this.#highestFloors.get(service) ?? 0, floor === Infinity ? 0 : floor);
    this.#highestFloors.set(service, highest);
    return highest;
  }

  #sweep(now: Milliseconds): void {
    this.#noteMembers(now);
    for (const service of this.#contending.keys()) this.#floor(service);
    for (const ledger of this.#reportedTeams) this.#expireReports(ledger, now);
    if (now - this.#sweptAt < reportRetention) return;
    this.#sweptAt = now;
    for (const ledgers of this.#ledgers.values()) {
      for (const [team, ledger] of ledgers) {
        if (now - ledger.lastReportAt >= levelRetention) ledgers.delete(team);
      }
    }
  }

  #expireReports(ledger: TeamLedger, now: Milliseconds): void {
    const team = this.#options.catalogue.current().teams[ledger.team];
    for (const [incarnation, { at }] of ledger.lastReports) {
      if (now - at >= reportTimeout) ledger.shares.clearWaiting(incarnation);
      if (now - at >= shareReserveTime) ledger.shares.remove(incarnation);
      if (now - at >= reportRetention) ledger.lastReports.delete(incarnation);
    }
    this.#updateContention(ledger, team);
    if (ledger.lastReports.size === 0) this.#reportedTeams.delete(ledger);
  }

  #ledgerOf({ service, team }: UsageReport, now: Milliseconds): TeamLedger {
    const ledgers = this.#ledgers.get(service) ?? new Map<TeamName, TeamLedger>();
    this.#ledgers.set(service, ledgers);
    const known = ledgers.get(team);
    if (known !== undefined) return known;
    this.#noteMembers(now);
    const ledger: TeamLedger = {
      service,
      team,
      lastReports: new Map(),
      shares: Shares.create(),
      sharesFrozenUntil:
        now - this.#membersChangedAt < membershipChangeWindow ? now + settleTime : now,
      level: 0,
      isContending: false,
      lastReportAt: now,
    };
    ledgers.set(team, ledger);
    return ledger;
  }

  #noteMembers(now: Milliseconds): void {
    const alive = this.#options.members
      .alive()
      .map(({ name }) => name)
      .join(' ');
    if (alive !== this.#aliveRouters) this.#membersChangedAt = now;
    this.#aliveRouters = alive;
  }
}

function lowest(ledgers: Iterable<TeamLedger>): Cost | undefined {
  let level: Cost | undefined;
  for (const ledger of ledgers) {
    level = level === undefined ? ledger.level : Math.min(level, ledger.level);
  }
  return level;
}
