// Tells requests of callers that have come back after a refusal or a failure from new ones, by the time that they have left. Load
// pattern: a wave of returns. During an overload callers who were refused come back into it; served before new requests, they
// take the servers' time for responses that are late already, and make the new ones late too.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** Time for which the most time left on a route is remembered, at least. */
const memory: Milliseconds = 30_000;
/**
 * Part of the most time left on its route that a request of a new caller has at least. Callers state some different budgets,
 * within a fifth of one another on the published deployments.
 */
const newFraction = 0.8;

interface Largest {
  /** Largest value of the current period and of the one before. */
  readonly current: Milliseconds;
  readonly previous: Milliseconds;
  readonly periodStart: Milliseconds;
}

/** The most time that callers have left on each route when their requests arrive. */
export class TimeBudgets {
  readonly #byRoute = new Map<string, Largest>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): TimeBudgets {
    return new TimeBudgets(clock);
  }

  /** Forgets all routes but these. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#byRoute.keys()) if (!routes.has(route)) this.#byRoute.delete(route);
  }

  /** Records the time left of an arriving request; returns whether its caller has probably come back with it. */
  observe(route: string, timeLeft: Milliseconds): boolean {
    const now = this.clock.now();
    const known = this.#byRoute.get(route) ?? { current: 0, previous: 0, periodStart: now };
    const isOver = now - known.periodStart > memory;
    const period = isOver ? { current: 0, previous: known.current, periodStart: now } : known;
    const current = Math.max(period.current, timeLeft);
    this.#byRoute.set(route, { ...period, current });
    return timeLeft < newFraction * Math.max(current, period.previous);
  }
}
