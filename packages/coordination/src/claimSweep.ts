// Deletes expired claims, since the rows of the table service have no expiry of their own.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { Claims } from './claims.js';
import type { CatalogueView, MemberView } from './ports.js';
import { owner } from './rendezvous.js';

/** Time between two sweeps; a claim may outlive its expiry by up to this much. */
const sweepPeriod: Milliseconds = 60 * 60 * 1_000;

export interface ClaimSweepOptions {
  readonly claims: Claims;
  readonly catalogue: CatalogueView;
  readonly members: MemberView;
  readonly clock: Clock;
}

/** Deletes expired claims; each entry is swept by one router. */
export class ClaimSweep {
  readonly #options: ClaimSweepOptions;

  private constructor(options: ClaimSweepOptions) {
    this.#options = options;
  }

  static create(options: ClaimSweepOptions): ClaimSweep {
    return new ClaimSweep(options);
  }

  /** Sweeps once per hour until `signal` aborts. Deletions that fail are left for the next sweep. */
  async run(signal: AbortSignal): Promise<void> {
    const { claims, catalogue, members, clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(sweepPeriod, signal);
      const names = members.alive().map(({ name }) => name);
      for (const [entry, { idempotent }] of Object.entries(catalogue.current().entries)) {
        const isOwn = owner(`claims ${entry}`, names) === members.self.name;
        if (isOwn && !idempotent) await claims.sweep(entry);
      }
    }
  }
}
