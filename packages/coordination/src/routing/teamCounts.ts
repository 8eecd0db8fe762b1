// Counts what each team asked of one router and what became of it, since a team may be served less than its share by a
// router that has no processor time for it, by the order of a queue, or by servers that fail.

import type { PromptSize } from './model.js';

/** What became of a request at this router. */
export type RequestOutcome =
  /** Its response was delivered. */
  | 'delivered'
  /** It was refused by this router, and has not run. */
  | 'refused'
  /** Its connection was handed over to another router. */
  | 'handedOver'
  /** Its caller left before it was read. */
  | 'left'
  /** It ended in another way. */
  | 'failed';

/** Requests of one team, by what became of them. */
export interface TeamCount {
  readonly team: string;
  readonly requests: Readonly<Partial<Record<RequestOutcome, number>>>;
  /** Prompt tokens and output limits of all of them together. */
  readonly askedTokens: number;
  /** The same of those that were delivered. */
  readonly deliveredTokens: number;
}

/** Requests of all teams at one router since the last call of `take`. */
export class TeamCounts {
  #counts = new Map<string, TeamCount>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): TeamCounts {
    return new TeamCounts();
  }

  /** Counts a request that has ended. `size` is undefined for plain services, and for requests that another router counts. */
  record(team: string, outcome: RequestOutcome, size: PromptSize | undefined): void {
    const known = this.#counts.get(team);
    const tokens = (size?.promptTokens ?? 0) + (size?.outputLimit ?? 0);
    this.#counts.set(team, {
      team,
      requests: { ...known?.requests, [outcome]: (known?.requests[outcome] ?? 0) + 1 },
      askedTokens: (known?.askedTokens ?? 0) + tokens,
      deliveredTokens: (known?.deliveredTokens ?? 0) + (outcome === 'delivered' ? tokens : 0),
    });
  }

  /** The counts of at most `most` teams, those that asked for most first, and starts anew. */
  take(most: number): readonly TeamCount[] {
    const counts = [...this.#counts.values()].sort((a, b) => b.askedTokens - a.askedTokens);
    this.#counts = new Map();
    return counts.slice(0, most);
  }
}
