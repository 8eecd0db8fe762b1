// Reports the charges of every team with queued or running requests to the router that keeps its ledger.

import type { Clock, Milliseconds, RouterName } from '@catkinwheel/state';
import { ledgerOwnerOf, reportInterval } from './teamAccount.js';
import type { TeamWorkload } from './teamWorkload.js';
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
  readonly #reportingTeams = new Set<TeamWorkload>();
  readonly #owners = new WeakMap<TeamWorkload, CachedOwner>();
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
  onQueued(workload: TeamWorkload): void {
    workload.lastActiveAt = this.#options.clock.now();
    const lacksShare = workload.waiting === 1 && workload.want() === 0;
    const isRecent = workload.lastActiveAt - workload.lastUsageReportAt < minReportGap;
    if (this.#reportingTeams.has(workload) && (isRecent || !lacksShare)) return;
    this.#reportingTeams.add(workload);
    this.#updateMembers();
    this.#report(workload, workload.lastActiveAt);
  }

  tick(now: Milliseconds): void {
    if (now - this.#reportedAt < reportInterval) return;
    this.#reportedAt = now;
    this.#updateMembers();
    for (const workload of this.#reportingTeams) {
      if (workload.waiting > 0 || workload.inFlight > 0 || !workload.account.isSettled)
        workload.lastActiveAt = now;
      if (now - workload.lastActiveAt >= reportAfterLastRequest)
        this.#reportingTeams.delete(workload);
      else this.#report(workload, now);
    }
  }

  #report(workload: TeamWorkload, now: Milliseconds): void {
    const ledgerOwner = this.#ledgerOwnerOf(workload);
    if (ledgerOwner === undefined) return;
    workload.lastUsageReportAt = now;
    const report = workload.account.report(
      now,
      workload.waiting,
      workload.inFlight,
      workload.share(),
    );
    this.#options.outbox.send(ledgerOwner, report);
  }

  #ledgerOwnerOf(workload: TeamWorkload): RouterName | undefined {
    const known = this.#owners.get(workload);
    if (known?.members === this.#memberKey) return known.router;
    const router = ledgerOwnerOf(workload.service, workload.team, this.#aliveRouters);
    this.#owners.set(workload, { members: this.#memberKey, router });
    return router;
  }

  #updateMembers(): void {
    this.#aliveRouters = this.#options.members.alive().map(({ name }) => name);
    this.#memberKey = this.#aliveRouters.join(' ');
  }
}
