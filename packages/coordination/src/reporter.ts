// Reports the charges of every team with queued or running requests to the router that keeps its ledger.

import type { Clock, Milliseconds, RouterName } from '@catkinwheel/state';
import { ledgerOwnerOf, reportInterval } from './account.js';
import type { TeamLine } from './line.js';
import type { MemberView, Outbox } from './ports.js';

/** Reports continue for this long after the last request, so that a short pause does not cost the share. */
const reportAfterLastRequest: Milliseconds = 1_000;

/** Minimum time between two reports of a team, however often its share is too small. */
const minReportGap: Milliseconds = 20;

interface UsageReporterOptions {
  readonly clock: Clock;
  readonly members: MemberView;
  readonly outbox: Outbox;
}

interface CachedOwner {
  /** The live routers for which the owner was computed. */
  readonly members: string;
  readonly router: RouterName | undefined;
}

/** Sends the reports of this router. Their number grows with the active teams, not with all teams. */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  readonly #reportingTeams = new Set<TeamLine>();
  readonly #owners = new WeakMap<TeamLine, CachedOwner>();
  #aliveRouters: readonly RouterName[] = [];
  #memberKey = '';
  #reportedAt: Milliseconds = -Infinity;

  private constructor(options: UsageReporterOptions) {
    this.#options = options;
  }

  static create(options: UsageReporterOptions): UsageReporter {
    return new UsageReporter(options);
  }

  /** Number of live routers at the last report, at least 1. */
  get routerCount(): number {
    return Math.max(1, this.#aliveRouters.length);
  }

  /**
   * A request was queued. A team that was not reporting reports at once to get its level and share, as
   * does one whose share was sufficient until now and is not any more.
   */
  onQueued(line: TeamLine): void {
    line.lastActive = this.#options.clock.now();
    const lacksShare = line.waiting === 1 && line.want() === 0;
    const isRecent = line.lastActive - line.lastReport < minReportGap;
    if (this.#reportingTeams.has(line) && (isRecent || !lacksShare)) return;
    this.#reportingTeams.add(line);
    this.#updateMembers();
    this.#report(line, line.lastActive);
  }

  tick(now: Milliseconds): void {
    if (now - this.#reportedAt < reportInterval) return;
    this.#reportedAt = now;
    this.#updateMembers();
    for (const line of this.#reportingTeams) {
      if (line.waiting > 0 || line.inFlight > 0 || !line.account.settled) line.lastActive = now;
      if (now - line.lastActive >= reportAfterLastRequest) this.#reportingTeams.delete(line);
      else this.#report(line, now);
    }
  }

  #report(line: TeamLine, now: Milliseconds): void {
    const ledgerOwner = this.#ledgerOwnerOf(line);
    if (ledgerOwner === undefined) return;
    line.lastReport = now;
    const report = line.account.report(now, line.waiting, line.inFlight, line.share());
    this.#options.outbox.send(ledgerOwner, report);
  }

  #ledgerOwnerOf(line: TeamLine): RouterName | undefined {
    const known = this.#owners.get(line);
    if (known?.members === this.#memberKey) return known.router;
    const router = ledgerOwnerOf(line.service, line.team, this.#aliveRouters);
    this.#owners.set(line, { members: this.#memberKey, router });
    return router;
  }

  #updateMembers(): void {
    this.#aliveRouters = this.#options.members.alive().map(({ name }) => name);
    this.#memberKey = this.#aliveRouters.join(' ');
  }
}
