// Reports the charges of every team with queued or running requests to the router that keeps its ledger.

import type { Clock, Milliseconds, RouterName } from '@catkinwheel/state';
import { homeOf, reportPeriod } from './account.js';
import type { TeamLine } from './line.js';
import type { MemberView, Outbox } from './ports.js';

/** Reports continue for this long after the last request, so that a short pause does not cost the share. */
const reportAfterWork: Milliseconds = 1_000;

/** Minimum time between two reports of a team, however often its share is too small. */
const reportGap: Milliseconds = 20;

interface ReporterOptions {
  readonly clock: Clock;
  readonly members: MemberView;
  readonly outbox: Outbox;
}

interface Home {
  /** The live routers for which the owner was computed. */
  readonly members: string;
  readonly router: RouterName | undefined;
}

/** Sends the reports of this router. Their number grows with the active teams, not with all teams. */
export class Reporter {
  readonly #options: ReporterOptions;
  readonly #reporting = new Set<TeamLine>();
  readonly #homes = new WeakMap<TeamLine, Home>();
  #alive: readonly RouterName[] = [];
  #members = '';
  #reported: Milliseconds = -Infinity;

  private constructor(options: ReporterOptions) {
    this.#options = options;
  }

  static create(options: ReporterOptions): Reporter {
    return new Reporter(options);
  }

  /** Number of live routers at the last report, at least 1. */
  get routers(): number {
    return Math.max(1, this.#alive.length);
  }

  /**
   * A request was queued. A team that was not reporting reports at once to get its level and share, as
   * does one whose share was sufficient until now and is not any more.
   */
  active(line: TeamLine): void {
    line.lastActive = this.#options.clock.now();
    const lacksShare = line.waiting === 1 && line.want() === 0;
    const isRecent = line.lastActive - line.lastReport < reportGap;
    if (this.#reporting.has(line) && (isRecent || !lacksShare)) return;
    this.#reporting.add(line);
    this.#view();
    this.#report(line, line.lastActive);
  }

  tick(now: Milliseconds): void {
    if (now - this.#reported < reportPeriod) return;
    this.#reported = now;
    this.#view();
    for (const line of this.#reporting) {
      if (line.waiting > 0 || line.inFlight > 0 || !line.account.settled) line.lastActive = now;
      if (now - line.lastActive >= reportAfterWork) this.#reporting.delete(line);
      else this.#report(line, now);
    }
  }

  #report(line: TeamLine, now: Milliseconds): void {
    const home = this.#homeOf(line);
    if (home === undefined) return;
    line.lastReport = now;
    const report = line.account.report(now, line.waiting, line.inFlight, line.share());
    this.#options.outbox.send(home, report);
  }

  #homeOf(line: TeamLine): RouterName | undefined {
    const known = this.#homes.get(line);
    if (known?.members === this.#members) return known.router;
    const router = homeOf(line.service, line.team, this.#alive);
    this.#homes.set(line, { members: this.#members, router });
    return router;
  }

  #view(): void {
    this.#alive = this.#options.members.alive().map(({ name }) => name);
    this.#members = this.#alive.join(' ');
  }
}
