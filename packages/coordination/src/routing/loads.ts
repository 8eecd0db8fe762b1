// Load pattern: many routers choose among the same servers, and a server's own report is late. Routers
// tell one another what they have under way at each server, so that they do not all pick the same one.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** What a router has under way at one server. */
export interface Load {
  /** Tokens of prompts that the server has still to read. */
  readonly unread: number;
  /** Requests sent and not finished, those that are still being read included. */
  readonly requests: number;
  /** Tokens of memory that these requests need beside shared parts. */
  readonly memory: number;
}

/** Nothing under way. */
export const noLoad: Load = { unread: 0, requests: 0, memory: 0 };

/** A router's report counts for this long; a router that is silent for longer is cut off or gone. */
export const reportLife: Milliseconds = 2_000;

/** Loads by server. */
export type LoadMap = ReadonlyMap<string, Load>;

interface Report {
  readonly received: Milliseconds;
  readonly loads: LoadMap;
  readonly waiting: LoadMap;
  readonly least: ReadonlyMap<string, number>;
}

/** A request under way. `started` marks its first token; exactly one `finish` is due. */
export interface Flight {
  started(): void;
  finish(): void;
}

/** Load of each server by this router and by the others. */
export class Loads {
  readonly #own = new Map<string, Load>();
  readonly #reports = new Map<string, Report>();
  /** Sums of the reports, made when they are first needed. */
  #others: LoadMap | undefined;
  #elsewhere: LoadMap | undefined;
  #least: ReadonlyMap<string, number> | undefined;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Loads {
    return new Loads(clock);
  }

  /** Counts a request that is sent to the server. */
  begin(server: string, unread: number, memory: number): Flight {
    let isUnread = true;
    let isOver = false;
    this.#change(server, { unread, requests: 1, memory });
    const started = (): void => {
      if (isUnread) this.#change(server, { unread: -unread, requests: 0, memory: 0 });
      isUnread = false;
    };
    return {
      started,
      finish: () => {
        if (isOver) return;
        isOver = true;
        started();
        this.#change(server, { unread: 0, requests: -1, memory: -memory });
      },
    };
  }

  /** What the whole fleet has under way at the server, as far as it is known here. */
  at(server: string): Load {
    const own = this.#own.get(server) ?? noLoad;
    this.#others ??= this.#sumOfReports(({ loads }) => loads);
    const others = this.#others.get(server);
    return others === undefined ? own : sum(own, others);
  }

  /** What this router has under way, by server. */
  own(): LoadMap {
    return this.#own;
  }

  /** What waits for the server at other routers. */
  waitingElsewhere(server: string): Load {
    this.#elsewhere ??= this.#sumOfReports(({ waiting }) => waiting);
    return this.#elsewhere.get(server) ?? noLoad;
  }

  /** What the team that has received least has received, of those that wait for the server elsewhere. */
  leastElsewhere(server: string): number {
    this.#least ??= this.#leastOfReports();
    return this.#least.get(server) ?? Infinity;
  }

  /**
   * Takes what another router has under way at servers, what waits for them there, and by server what the
   * team with least has received of those whose requests wait there.
   */
  report(
    router: string,
    loads: LoadMap,
    waiting: LoadMap,
    least: ReadonlyMap<string, number>,
  ): void {
    this.#reports.set(router, { received: this.clock.now(), loads, waiting, least });
    this.#changed();
  }

  /** Drops reports of routers that have been silent. */
  expire(): void {
    const oldest = this.clock.now() - reportLife;
    for (const [router, { received }] of this.#reports) {
      if (received >= oldest) continue;
      this.#reports.delete(router);
      this.#changed();
    }
  }

  /** Age of the oldest report that counts; undefined without any. */
  reportAge(): Milliseconds | undefined {
    const times = [...this.#reports.values()].map(({ received }) => received);
    return times.length === 0 ? undefined : this.clock.now() - Math.min(...times);
  }

  #changed(): void {
    this.#others = undefined;
    this.#elsewhere = undefined;
    this.#least = undefined;
  }

  #change(server: string, by: Load): void {
    const load = sum(this.#own.get(server) ?? noLoad, by);
    if (load.requests === 0) this.#own.delete(server);
    else this.#own.set(server, load);
  }

  #leastOfReports(): ReadonlyMap<string, number> {
    const all = new Map<string, number>();
    for (const { least } of this.#reports.values()) {
      for (const [server, amount] of least)
        all.set(server, Math.min(all.get(server) ?? Infinity, amount));
    }
    return all;
  }

  #sumOfReports(part: (report: Report) => LoadMap): LoadMap {
    const sums = new Map<string, Load>();
    for (const report of this.#reports.values()) {
      for (const [server, load] of part(report))
        sums.set(server, sum(sums.get(server) ?? noLoad, load));
    }
    return sums;
  }
}

/** Both loads together. */
export function sum(a: Load, b: Load): Load {
  return {
    unread: a.unread + b.unread,
    requests: a.requests + b.requests,
    memory: a.memory + b.memory,
  };
}
