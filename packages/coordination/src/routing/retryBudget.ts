// Retry budget of a service. When servers fail or lose responses, every router retries the lost requests just when
// capacity is short. The fleet may send only a bounded number of retries to a service; each router keeps to its share
// of that bound without asking others.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { SlidingSum } from './slidingSum.js';

/** Fraction of the bound that the fleet uses. The rest covers routers that disagree on the fleet's size. */
const usedFraction = 0.7;

/** The bound on retries of the fleet to one service. */
export interface RetryBound {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries in each window that are allowed regardless of the number of requests. */
  readonly slack: number;
  readonly window: Milliseconds;
}

interface Account {
  readonly requests: SlidingSum;
  readonly retries: SlidingSum;
}

/** Decides whether this router may retry a request at another server. */
export class RetryBudget {
  readonly #accounts = new Map<string, Account>();

  private constructor(
    private readonly clock: Clock,
    private readonly bound: RetryBound,
    private readonly fleetSize: () => number,
  ) {}

  /** `fleetSize` returns the number of routers that share the bound, this one included. */
  static create(clock: Clock, bound: RetryBound, fleetSize: () => number): RetryBudget {
    return new RetryBudget(clock, bound, fleetSize);
  }

  /** Counts a request to the service. */
  deposit(service: string): void {
    this.#account(service).requests.add(1);
  }

  /** Whether one more retry is within this router's share of the window. */
  allows(service: string): boolean {
    const { requests, retries } = this.#account(service);
    const { ratio, slack } = this.bound;
    const share = usedFraction * (ratio * requests.total() + slack / Math.max(1, this.fleetSize()));
    return retries.total() + 1 <= share;
  }

  /** Takes one retry; returns false if this router's share of the window is used up. */
  withdraw(service: string): boolean {
    if (!this.allows(service)) return false;
    this.#account(service).retries.add(1);
    return true;
  }

  /** Forgets all services but these, and those that are in use in the current window. */
  retain(services: ReadonlySet<string>): void {
    for (const [service, { requests, retries }] of this.#accounts) {
      const isUnused = requests.total() === 0 && retries.total() === 0;
      if (isUnused && !services.has(service)) this.#accounts.delete(service);
    }
  }

  #account(service: string): Account {
    const known = this.#accounts.get(service);
    if (known !== undefined) return known;
    const { window } = this.bound;
    const account = {
      requests: SlidingSum.create(this.clock, window),
      retries: SlidingSum.create(this.clock, window),
    };
    this.#accounts.set(service, account);
    return account;
  }
}
