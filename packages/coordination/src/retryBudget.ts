// Retry budget. Retries add load exactly when servers fail; a budget per service limits them to a small
// share of its requests.

import type { Clock, Milliseconds, ServiceName } from '@catkinwheel/state';

/** Retries that each first attempt adds to the budget. */
const retriesPerRequest = 0.1;
/** Maximum balance in retries, so that all requests of one busy server that fails can be retried at once. */
const maxBalance = 100;
/** Initial balance of a service, and the one to which the balance of a service with little traffic is refilled. */
const baseBalance = 10;
/** Time to refill one retry, up to the base balance. */
const refillPeriod: Milliseconds = 1_000;

interface Account {
  readonly balance: number;
  readonly refilledAt: Milliseconds;
}

/** Allows retries for at most 10 % of the requests of a service, and at least one per second. */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #accounts = new Map<ServiceName, Account>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): RetryBudget {
    return new RetryBudget(clock);
  }

  /** Counts a first attempt. */
  deposit(service: ServiceName): void {
    const account = this.#account(service);
    const balance = Math.min(maxBalance, account.balance + retriesPerRequest);
    this.#accounts.set(service, { ...account, balance });
  }

  /** Whether the budget has one more retry. */
  allows(service: ServiceName): boolean {
    return this.#account(service).balance >= 1;
  }

  /** Takes one retry; false if the budget is used up. */
  withdraw(service: ServiceName): boolean {
    const account = this.#account(service);
    if (!this.allows(service)) return false;
    this.#accounts.set(service, { ...account, balance: account.balance - 1 });
    return true;
  }

  #account(service: ServiceName): Account {
    const now = this.#clock.now();
    const account = this.#accounts.get(service) ?? { balance: baseBalance, refilledAt: now };
    const periods = Math.floor((now - account.refilledAt) / refillPeriod);
    const refilledAt = account.refilledAt + periods * refillPeriod;
    if (account.balance >= baseBalance) return { ...account, refilledAt };
    return { balance: Math.min(baseBalance, account.balance + periods), refilledAt };
  }
}
