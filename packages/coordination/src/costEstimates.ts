// Estimates the remaining cost of a request, which is known only at its end, from the costs of earlier
// requests of the same entry and the service it has received so far.

import type { Cost, EntryName, ServiceName } from '@catkinwheel/state';

/** Samples per entry. Costs differ by two orders of magnitude, so a few samples are not enough. */
const maxSamples = 63;

/** Minimum number of larger samples for an estimate. */
const minLargerSamples = 3;

/** Estimate for the first request of a service if it has no hint. */
const defaultEstimate: Cost = 1;

class CostSamples {
  #costs: readonly Cost[] = [];
  #sorted: readonly Cost[] | undefined;
  /** Sum of the sorted costs from each index to the end. */
  #suffixSums: readonly Cost[] = [];

  add(cost: Cost): void {
    this.#costs = [...this.#costs.slice(1 - maxSamples), cost];
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
    if (larger === 0 || (received > 0 && larger < minLargerSamples)) return 0;
    return (this.#suffixSums[low] ?? 0) / larger - received;
  }

  #sort(): readonly Cost[] {
    const sorted = [...this.#costs].sort((a, b) => a - b);
    const suffixSums = [...sorted];
    for (let index = suffixSums.length - 2; index >= 0; index -= 1) {
      suffixSums[index] = (suffixSums[index] ?? 0) + (suffixSums[index + 1] ?? 0);
    }
    this.#suffixSums = suffixSums;
    return sorted;
  }
}

/** Cost estimates by entry, with the service's as fallback. */
export class CostEstimates {
  readonly #entries = new Map<EntryName, CostSamples>();
  readonly #services = new Map<ServiceName, CostSamples>();

  static create(): CostEstimates {
    return new CostEstimates();
  }

  /**
   * Expected remaining cost of a request of the entry that has received `received`: the mean remainder
   * of the larger recent costs of the entry, or of the whole service if the entry has none; 0 if too few
   * costs are larger. Before anything is received it is at most the hint. The hint alone is used only
   * without any samples: hints are rough, and one that is far too high holds a team back for as long as
   * its request runs.
   */
  remaining(entry: EntryName, service: ServiceName, hint: Cost | undefined, received: Cost): Cost {
    const usableHint = hint !== undefined && hint > 0 && hint < Infinity ? hint : undefined;
    const known = this.#entries.get(entry) ?? this.#services.get(service);
    if (known === undefined) return Math.max(0, (usableHint ?? defaultEstimate) - received);
    if (received > 0 || usableHint === undefined) return known.remaining(received);
    return Math.min(known.remaining(0), usableHint);
  }

  /** Adds the cost of a request that ran to its end. */
  recordCost(entry: EntryName, service: ServiceName, cost: Cost): void {
    samplesOf(this.#entries, entry).add(cost);
    samplesOf(this.#services, service).add(cost);
  }

  /** Drops the samples of entries that no longer exist. */
  retain(exists: (entry: EntryName) => boolean): void {
    for (const entry of this.#entries.keys()) {
      if (!exists(entry)) this.#entries.delete(entry);
    }
  }
}

function samplesOf(all: Map<string, CostSamples>, key: string): CostSamples {
  const known = all.get(key);
  if (known !== undefined) return known;
  const created = new CostSamples();
  all.set(key, created);
  return created;
}
