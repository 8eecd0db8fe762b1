// Load reports of other routers, and summaries of other data centres: requests in flight and queued, and the
// service that teams have received. A report replaces the previous one of its sender and expires soon.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { noLoad, sumLoads, type Load, type LoadMap } from './loads.js';
import type { CachedPart } from './prefixCacheIndex.js';

/** Lifetime of a report; a router that is silent for longer is partitioned or gone. */
const reportLifetime: Milliseconds = 2_000;

/** A load report of one router, or the summary of a data centre. */
export interface Report {
  readonly loads: LoadMap;
  /** Tokens of service that each team has recently received. */
  readonly teams: ReadonlyMap<string, number>;
  /** Load of queued requests, by the server that they wait for. */
  readonly waiting: LoadMap;
  /**
   * By server, the service that the least-served team has received among those whose requests wait for it.
   */
  readonly least: ReadonlyMap<string, number>;
  /** Prompt parts that servers have cached since the last report. */
  readonly parts: readonly CachedPart[];
}

/** The sender of a report: a router, or a data centre if it is the summary of its routers. */
export type Reporter =
  | { readonly kind: 'router'; readonly name: string }
  | { readonly kind: 'dataCentre'; readonly name: string };

interface ReceivedReport {
  readonly at: Milliseconds;
  readonly reporter: Reporter;
  readonly report: Report;
}

/** The latest report of each sender. */
export class Reports {
  readonly #received = new Map<string, ReceivedReport>();
  /** Sum of all reports; undefined until it is needed. */
  #sum: Report | undefined;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Reports {
    return new Reports(clock);
  }

  receive(reporter: Reporter, report: Report): void {
    const key = `${reporter.kind} ${reporter.name}`;
    this.#received.set(key, { at: this.clock.now(), reporter, report });
    this.#sum = undefined;
  }

  /** Drops expired reports. */
  expire(): void {
    const oldest = this.clock.now() - reportLifetime;
    for (const [key, { at }] of this.#received) {
      if (at >= oldest) continue;
      this.#received.delete(key);
      this.#sum = undefined;
    }
  }

  /** Drops what was reported of the server, since its id names another instance now. */
  forget(server: string): void {
    for (const [key, received] of this.#received) {
      const { report } = received;
      const { loads, waiting, least } = report;
      this.#received.set(key, {
        ...received,
        report: {
          ...report,
          loads: without(loads, server),
          waiting: without(waiting, server),
          least: without(least, server),
        },
      });
    }
    this.#sum = undefined;
  }

  /** Load that other routers have in flight at the server. */
  load(server: string): Load {
    return this.#sumOfAll().loads.get(server) ?? noLoad;
  }

  /** Load that is queued for the server at other routers. */
  waiting(server: string): Load {
    return this.#sumOfAll().waiting.get(server) ?? noLoad;
  }

  /**
   * Service of the least-served team among those whose requests wait for the server at other routers;
   * infinite if none do.
   */
  least(server: string): number {
    return this.#sumOfAll().least.get(server) ?? Infinity;
  }

  /** Tokens of service that the team has recently received from other routers. */
  received(team: string): number {
    return this.#sumOfAll().teams.get(team) ?? 0;
  }

  /** Teams that have recently received service from other routers. */
  teams(): Iterable<string> {
    return this.#sumOfAll().teams.keys();
  }

  /** Age of the oldest report in use; undefined if there is none. */
  oldestAge(): Milliseconds | undefined {
    const times = [...this.#received.values()].map(({ at }) => at);
    return times.length === 0 ? undefined : this.clock.now() - Math.min(...times);
  }

  /**
   * The summary for other data centres: the sum of `own` and the reports of single routers, with the parts
   * of `own`.
   */
  summary(own: Report): Report {
    const routers = [...this.#received.values()].filter(
      ({ reporter }) => reporter.kind === 'router',
    );
    return { ...sumReports([own, ...routers.map(({ report }) => report)]), parts: own.parts };
  }

  #sumOfAll(): Report {
    this.#sum ??= sumReports([...this.#received.values()].map(({ report }) => report));
    return this.#sum;
  }
}

function sumReports(reports: readonly Report[]): Report {
  const loads = new Map<string, Load>();
  const waiting = new Map<string, Load>();
  const teams = new Map<string, number>();
  const least = new Map<string, number>();
  for (const report of reports) {
    addLoads(loads, report.loads);
    addLoads(waiting, report.waiting);
    for (const [team, tokens] of report.teams) teams.set(team, (teams.get(team) ?? 0) + tokens);
    for (const [server, tokens] of report.least)
      least.set(server, Math.min(least.get(server) ?? Infinity, tokens));
  }
  return { loads, waiting, teams, least, parts: [] };
}

function addLoads(sums: Map<string, Load>, loads: LoadMap): void {
  for (const [server, load] of loads) sums.set(server, sumLoads(sums.get(server) ?? noLoad, load));
}

function without<Value>(
  values: ReadonlyMap<string, Value>,
  excluded: string,
): ReadonlyMap<string, Value> {
  return new Map([...values].filter(([key]) => key !== excluded));
}
