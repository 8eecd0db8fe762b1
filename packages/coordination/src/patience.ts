// A server with plain answers sends nothing before its answer, so a broken connection looks like a long
// request. The durations of earlier answers tell the two apart well enough to repeat idempotent requests
// early once.

import type { Milliseconds, ServiceName } from '@catkinwheel/state';

/** Minimum timeout, the one of streams. */
const shortest: Milliseconds = 2_000;
/**
 * The timeout as a multiple of the longest recent answer; durations differ by up to two orders of
 * magnitude.
 */
const factor = 10;
/** Decay of the longest duration with each later answer, so that an outlier loses its effect. */
const decay = 0.99;
/** Minimum number of answers of a service for a timeout. */
const answersNeeded = 50;

interface Times {
  readonly count: number;
  readonly longest: Milliseconds;
}

/** Silence timeout of plain answers per service, after which the connection counts as broken. */
export class Patience {
  readonly #times = new Map<ServiceName, Times>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): Patience {
    return new Patience();
  }

  /** Records the duration of a complete answer. */
  note(service: ServiceName, duration: Milliseconds): void {
    const { count, longest } = this.#times.get(service) ?? { count: 0, longest: 0 };
    this.#times.set(service, { count: count + 1, longest: Math.max(duration, longest * decay) });
  }

  /** The timeout; undefined before there are enough answers. */
  limit(service: ServiceName): Milliseconds | undefined {
    const times = this.#times.get(service);
    if (times === undefined || times.count < answersNeeded) return undefined;
    return Math.max(shortest, factor * times.longest);
  }
}
