// Outages of the platform. While it is unreachable a router may act without a lease, and when it is back the
// routers must not all renew at once. Both depend on when requests failed.

import type { Milliseconds } from '@catkinwheel/state';
import type { Random } from './ports.js';

/**
 * Time for which a failed request proves an outage. Another router that regains its lease takes over from
 * keepers after the same time and grants permits 2 s later; by then a holder that was paused with an older
 * proof has stopped, unused permits included.
 */
export const proofDuration: Milliseconds = 2_500;

/** An outage of the platform as one router observes it. */
export class Outage {
  readonly #random: Random;
  readonly #spread: Milliseconds;
  #failedAt: Milliseconds | undefined;
  #renewAt: Milliseconds | undefined;

  private constructor(random: Random, spread: Milliseconds) {
    this.#random = random;
    this.#spread = spread;
  }

  /** Renewals after an outage come at a random time within `spread`. */
  static create(random: Random, spread: Milliseconds): Outage {
    return new Outage(random, spread);
  }

  /** Whether a request failed since the last `reset`. */
  get hasFailed(): boolean {
    return this.#failedAt !== undefined;
  }

  /** When to renew after the platform answered again; undefined if that is not due. */
  get renewAt(): Milliseconds | undefined {
    return this.#renewAt;
  }

  /** Whether the platform is known to be unreachable now, directly and by relay. */
  isProven(now: Milliseconds): boolean {
    return this.#failedAt !== undefined && now - this.#failedAt <= proofDuration;
  }

  /**
   * Records that an attempt that began at `started` failed. One that took longer than a proof lasts was
   * interrupted by a pause of the process and proves nothing.
   */
  recordFailure(started: Milliseconds, now: Milliseconds): void {
    this.#renewAt = undefined;
    if (now - started <= proofDuration) this.#failedAt = now;
  }

  /** Records that the platform answered an attempt that began at `started`. True once a renewal is due. */
  recordSuccess(started: Milliseconds, now: Milliseconds): boolean {
    this.#renewAt ??= now + this.#random() * this.#spread;
    if (now >= this.#renewAt) {
      this.#renewAt = undefined;
      return true;
    }
    // Extends the proof until this router renews, so that it can act without a gap; not if a pause of the
    // process made the proof too old.
    if (this.isProven(started)) this.#failedAt = now;
    return false;
  }

  /** Resets the state once the lease is held. */
  reset(): void {
    this.#failedAt = undefined;
    this.#renewAt = undefined;
  }
}
