// Load pattern: a few teams send many times their usual load and would crowd out the others. Whoever has
// received least of the capacity lately goes first, over all routers.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/**
 * Time in which service is forgotten to 1/e. The mean age of what counts is that of a full window of 4 s, in
 * which teams are owed equal shares. A window that forgets all at once makes teams take turns for seconds: one
 * that had much before gets nothing until it is even, and everything when that leaves the window.
 */
const memory: Milliseconds = 2_000;
/** Tokens below which a team counts as not served. */
const forgotten = 1;

interface Amount {
  readonly tokens: number;
  readonly at: Milliseconds;
}

/** Service that was counted for a team. */
export interface Charge {
  /** Takes it back; at most once. */
  withdraw(): void;
}

/** Service that teams have received lately from this router, in tokens. */
export class TeamUsage {
  readonly #own = new Map<string, Amount>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): TeamUsage {
    return new TeamUsage(clock);
  }

  /** Counts service when a server is granted. What is left of it is taken back if no server begins it. */
  serve(team: string, tokens: number): Charge {
    const charged = this.clock.now();
    this.#add(team, tokens);
    return {
      withdraw: () => {
        this.#add(team, -tokens * this.#kept(charged));
      },
    };
  }

  /** What this router has given, by team. */
  own(): ReadonlyMap<string, number> {
    const totals = new Map<string, number>();
    for (const team of this.#own.keys()) {
      const tokens = this.received(team);
      if (tokens >= forgotten) totals.set(team, tokens);
      else this.#own.delete(team);
    }
    return totals;
  }

  received(team: string): number {
    const amount = this.#own.get(team);
    if (amount === undefined) return 0;
    return amount.tokens * this.#kept(amount.at);
  }

  #add(team: string, tokens: number): void {
    this.#own.set(team, { tokens: this.received(team) + tokens, at: this.clock.now() });
  }

  /** Part that is not forgotten of service given then. */
  #kept(at: Milliseconds): number {
    return Math.exp((at - this.clock.now()) / memory);
  }
}
