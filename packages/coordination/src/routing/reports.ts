// What other routers tell of themselves, or one of them of a whole data centre: their loads, what waits
// there, and what teams have received. Reports replace one another; none counts for long.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { noLoad, sum, type Load, type LoadMap } from './loads.js';
import type { CachedPart } from './prefixCacheIndex.js';

/** A report counts for this long; a router that is silent for longer is cut off or gone. */
const reportLife: Milliseconds = 2_000;

/** What a router tells the others. */
export interface Report {
  readonly loads: LoadMap;
  /** Tokens given to each team lately. */
  readonly teams: ReadonlyMap<string, number>;
  /** What waits for each server. */
  readonly waiting: LoadMap;
  /** By server, what the team with least has received of those whose requests wait for it. */
  readonly least: ReadonlyMap<string, number>;
  /** Prompt parts that servers have read since the last report. */
  readonly parts: readonly CachedPart[];
}

/** Whose report it is: one router's, or the sum of those of a data centre's routers. */
export type Reporter =
  | { readonly kind: 'router'; readonly name: string }
  | { readonly kind: 'dataCentre'; readonly name: string };

interface Heard {
  readonly at: Milliseconds;
  readonly reporter: Reporter;
  readonly report: Report;
}

/** The newest report of each reporter. */
export class Reports {
  readonly #heard = new Map<string, Heard>();
  /** Sum of all reports, made when it is first needed. */
  #sum: Report | undefined;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Reports {
    return new Reports(clock);
  }

  hear(reporter: Reporter, report: Report): void {
    const key = `${reporter.kind} ${reporter.name}`;
    this.#heard.set(key, { at: this.clock.now(), reporter, report });
    this.#sum = undefined;
  }

  /** Drops reports of routers that have been silent. */
  expire(): void {
    const oldest = this.clock.now() - reportLife;
    for (const [key, { at }] of this.#heard) {
      if (at >= oldest) continue;
      this.#heard.delete(key);
      this.#sum = undefined;
    }
  }

  /** What other routers have under way at the server. */
  load(server: string): Load {
    return this.#total().loads.get(server) ?? noLoad;
  }

  /** What waits for the server at other routers. */
  waiting(server: string): Load {
    return this.#total().waiting.get(server) ?? noLoad;
  }

  /** What the team that has received least has received, of those that wait for the server elsewhere. */
  least(server: string): number {
    return this.#total().least.get(server) ?? Infinity;
  }

  /** Tokens that other routers have given to the team. */
  received(team: string): number {
    return this.#total().teams.get(team) ?? 0;
  }

  /** Age of the oldest report that counts; undefined without any. */
  age(): Milliseconds | undefined {
    const times = [...this.#heard.values()].map(({ at }) => at);
    return times.length === 0 ? undefined : this.clock.now() - Math.min(...times);
  }

  /** The sum of `own` and the reports of single routers, told to other data centres. */
  summary(own: Report): Report {
    const routers = [...this.#heard.values()].filter(({ reporter }) => reporter.kind === 'router');
    return { ...total([own, ...routers.map(({ report }) => report)]), parts: own.parts };
  }

  #total(): Report {
    this.#sum ??= total([...this.#heard.values()].map(({ report }) => report));
    return this.#sum;
  }
}

function total(reports: readonly Report[]): Report {
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
  for (const [server, load] of loads) sums.set(server, sum(sums.get(server) ?? noLoad, load));
}
