// A server that answers with a plain body promises no sign of life before its answer, so a connection
// that went silent looks like long work. The times of earlier answers tell the two apart well enough for
// one early repetition of work that may run twice.

import type { Milliseconds, ServiceName } from '@catkinwheel/state';

/** Shortest patience, that of streams. */
const shortest: Milliseconds = 2_000;
/** Patience as a multiple of the longest answer lately; answers differ by up to two orders of magnitude. */
const factor = 10;
/** Share of the longest answer that remains with each later one, so that one outlier is forgotten. */
const decay = 0.99;
/** Answers of a service before anything is concluded from them. */
const answersNeeded = 50;

interface Times {
  readonly count: number;
  readonly longest: Milliseconds;
}

/** How long a plain answer of each service may stay away before its connection is suspected. */
export class SilenceTimeouts {
  readonly #times = new Map<ServiceName, Times>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): SilenceTimeouts {
    return new SilenceTimeouts();
  }

  /** Notes the time that a whole answer took. */
  recordDuration(service: ServiceName, duration: Milliseconds): void {
    const { count, longest } = this.#times.get(service) ?? { count: 0, longest: 0 };
    this.#times.set(service, { count: count + 1, longest: Math.max(duration, longest * decay) });
  }

  /** Time without a byte after which the connection is suspected; undefined while too little is known. */
  timeout(service: ServiceName): Milliseconds | undefined {
    const times = this.#times.get(service);
    if (times === undefined || times.count < answersNeeded) return undefined;
    return Math.max(shortest, factor * times.longest);
  }
}
