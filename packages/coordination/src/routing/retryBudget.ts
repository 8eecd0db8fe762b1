// Load pattern: servers fail or lose answers, and every router sends the lost requests once more just
// when capacity is short. A service bears only a bounded number of repeats from the whole fleet. Each
// router keeps to its share of that bound without asking others.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { SlidingSum } from './slidingSum.js';

/** Part of the bound that the fleet uses. The rest covers routers that disagree on the fleet's size. */
const usedPart = 0.7;

/** The fleet's bound on repeats to one service. */
export interface RetryBound {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats in each window that are free. */
  readonly slack: number;
  readonly window: Milliseconds;
}

interface Account {
  readonly requests: SlidingSum;
  readonly repeats: SlidingSum;
}

/** Decides whether this router may send a request to a second server. */
export class RetryBudget {
  readonly #accounts = new Map<string, Account>();

  private constructor(
    private readonly clock: Clock,
    private readonly bound: RetryBound,
    private readonly fleetSize: () => number,
  ) {}

  /** `fleetSize` is the number of routers that share the bound, this one included. */
  static create(clock: Clock, bound: RetryBound, fleetSize: () => number): RetryBudget {
    return new RetryBudget(clock, bound, fleetSize);
  }

  /** Counts a request on a route to the service. */
  deposit(service: string): void {
    this.#account(service).requests.add(1);
  }

  /** Takes one repeat; false if this router's share of the window is used up. */
  withdraw(service: string): boolean {
    const { requests, repeats } = this.#account(service);
    const { ratio, slack } = this.bound;
    const share = usedPart * (ratio * requests.total() + slack / Math.max(1, this.fleetSize()));
    if (repeats.total() + 1 > share) return false;
    repeats.add(1);
    return true;
  }

  #account(service: string): Account {
    const known = this.#accounts.get(service);
    if (known !== undefined) return known;
    const { window } = this.bound;
    const account = {
      requests: SlidingSum.create(this.clock, window),
      repeats: SlidingSum.create(this.clock, window),
    };
    this.#accounts.set(service, account);
    return account;
  }
}
