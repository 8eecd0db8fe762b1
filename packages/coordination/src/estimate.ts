// Estimates the remaining cost of a request, which is known only at its end, from the costs of earlier
// requests of the same entry and the service it has received so far.

import type { Cost, EntryName, ServiceName } from '@catkinwheel/state';

/** Samples per entry. Costs differ by two orders of magnitude, so a few samples are not enough. */
const remembered = 63;

/** Minimum number of larger samples for an estimate. */
const leastLarger = 3;

/** Estimate for the first request of a service if it has no hint. */
const firstEstimate: Cost = 1;

class RecentCosts {
  #costs: readonly Cost[] = [];
  #sorted: readonly Cost[] | undefined;
  /** Sum of the sorted costs from each index to the end. */
  #tails: readonly Cost[] = [];

  add(cost: Cost): void {
    this.#costs = [...this.#costs.slice(1 - remembered), cost];
    this.#sorted = undefined;
  }

  /** Mean of `sample - received` over the samples above `received`; 0 if there are too few. */
  remaining(received: Cost): Cost {
    const sorted = (this.#sorted ??= this.#sort());
    let low = 0;
    let high = sorted.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((sorted[middle] ?? 0) > received) high = middle;
      else low = middle + 1;
    }
    const larger = sorted.length - low;
    if (larger === 0 || (received > 0 && larger < leastLarger)) return 0;
    return (this.#tails[low] ?? 0) / larger - received;
  }

  #sort(): readonly Cost[] {
    const sorted = [...this.#costs].sort((a, b) => a - b);
    const tails = [...sorted];
    for (let index = tails.length - 2; index >= 0; index -= 1) {
      tails[index] = (tails[index] ?? 0) + (tails[index + 1] ?? 0);
    }
    this.#tails = tails;
    return sorted;
  }
}

/** Cost estimates by entry, with the service's as fallback. */
export class Estimates {
  readonly #entries = new Map<EntryName, RecentCosts>();
  readonly #services = new Map<ServiceName, RecentCosts>();

  static create(): Estimates {
    return new Estimates();
  }

  /**
   * Expected remaining cost of a request of the entry that has received `received`: the mean remainder
   * of the larger recent costs of the entry, or of the whole service if the entry has none; 0 if too few
   * costs are larger. Before anything is received it is at most the hint. The hint alone is used only
   * without any samples: hints are rough, and one that is far too high holds a team back for as long as
   * its request runs.
   */
  remaining(entry: EntryName, service: ServiceName, given: Cost | undefined, received: Cost): Cost {
    const hint = given !== undefined && given > 0 && given < Infinity ? given : undefined;
    const known = this.#entries.get(entry) ?? this.#services.get(service);
    if (known === undefined) return Math.max(0, (hint ?? firstEstimate) - received);
    if (received > 0 || hint === undefined) return known.remaining(received);
    return Math.min(known.remaining(0), hint);
  }

  /** Adds the cost of a request that ran to its end. */
  learn(entry: EntryName, service: ServiceName, cost: Cost): void {
    recentOf(this.#entries, entry).add(cost);
    recentOf(this.#services, service).add(cost);
  }

  /** Drops the samples of entries that no longer exist. */
  retain(exists: (entry: EntryName) => boolean): void {
    for (const entry of this.#entries.keys()) {
      if (!exists(entry)) this.#entries.delete(entry);
    }
  }
}

function recentOf(all: Map<string, RecentCosts>, key: string): RecentCosts {
  const known = all.get(key);
  if (known !== undefined) return known;
  const created = new RecentCosts();
  all.set(key, created);
  return created;
}
