// Load pattern: a few teams send many times their usual load and would crowd out the others. Whoever has
// received least of the capacity lately goes first, over all routers.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { SlidingSum } from './window.js';

/** Time over which service is compared: the window in which teams are owed equal shares. */
const window: Milliseconds = 4_000;

/** Service that teams have received lately from this router, in tokens. */
export class TeamShares {
  readonly #own = new Map<string, SlidingSum>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): TeamShares {
    return new TeamShares(clock);
  }

  /** Counts service when it is given. */
  serve(team: string, tokens: number): void {
    let sum = this.#own.get(team);
    if (sum === undefined) {
      sum = SlidingSum.create(this.clock, window);
      this.#own.set(team, sum);
    }
    sum.add(tokens);
  }

  /** What this router has given, by team. */
  own(): ReadonlyMap<string, number> {
    const totals = new Map<string, number>();
    for (const [team, sum] of this.#own) {
      const total = sum.total();
      if (total > 0) totals.set(team, total);
      else this.#own.delete(team);
    }
    return totals;
  }

  received(team: string): number {
    return this.#own.get(team)?.total() ?? 0;
  }
}
