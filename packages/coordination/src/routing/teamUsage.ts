// Recent service of each team, for fair queueing over all routers: the team that has received least goes first,
// so that a few teams with many times their usual load do not crowd out the others.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/**
 * Time in which counted service decays to 1/e. Its mean age is then that of a full window of 4 s, over which
 * teams are owed equal shares. With a sliding window, teams would take turns for seconds: a team with much
 * past service gets nothing until it is even, and everything when that service leaves the window.
 */
const decayTime: Milliseconds = 2_000;
/** Tokens below which a team's service is dropped. */
const minTokens = 1;

interface DecayingAmount {
  readonly tokens: number;
  readonly at: Milliseconds;
}

/** Service that was charged to a team. */
export interface Charge {
  /** Refunds what has not decayed; at most once. */
  refund(): void;
}

/** Service that teams have recently received from this router, in tokens. */
export class TeamUsage {
  readonly #amounts = new Map<string, DecayingAmount>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): TeamUsage {
    return new TeamUsage(clock);
  }

  /** Charges the team when a server is granted. The charge is refunded if no server starts the request. */
  charge(team: string, tokens: number): Charge {
    const charged = this.clock.now();
    this.#add(team, tokens);
    return {
      refund: () => {
        this.#add(team, -tokens * this.#remainingFraction(charged));
      },
    };
  }

  /** Service by this router, by team. */
  byTeam(): ReadonlyMap<string, number> {
    const totals = new Map<string, number>();
    for (const team of this.#amounts.keys()) {
      const tokens = this.received(team);
      if (tokens >= minTokens) totals.set(team, tokens);
      else this.#amounts.delete(team);
    }
    return totals;
  }

  received(team: string): number {
    const amount = this.#amounts.get(team);
    if (amount === undefined) return 0;
    return amount.tokens * this.#remainingFraction(amount.at);
  }

  #add(team: string, tokens: number): void {
    this.#amounts.set(team, { tokens: this.received(team) + tokens, at: this.clock.now() });
  }

  /** Fraction of service given at that time which has not decayed. */
  #remainingFraction(at: Milliseconds): number {
    return Math.exp((at - this.clock.now()) / decayTime);
  }
}
