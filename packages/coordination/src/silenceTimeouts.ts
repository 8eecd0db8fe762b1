// A server with plain responses sends nothing before its response, so a broken connection looks like a long
// request. The durations of earlier responses tell the two apart well enough to retry idempotent requests
// early once.

import type { Milliseconds, ServiceName } from '@catkinwheel/state';

/** Minimum timeout, the one of streams. */
const minTimeout: Milliseconds = 2_000;
/**
 * The timeout as a multiple of the longest recent response; durations differ by up to two orders of
 * magnitude.
 */
const timeoutFactor = 10;
/** Decay of the longest duration with each later response, so that an outlier loses its effect. */
const decayFactor = 0.99;
/** Minimum number of responses of a service for a timeout. */
const minResponses = 50;

interface Durations {
  readonly count: number;
  readonly longest: Milliseconds;
}

/** Silence timeout of plain responses per service, after which the connection counts as broken. */
export class SilenceTimeouts {
  readonly #durations = new Map<ServiceName, Durations>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): SilenceTimeouts {
    return new SilenceTimeouts();
  }

  /** Records the duration of a complete response. */
  recordDuration(service: ServiceName, duration: Milliseconds): void {
    const { count, longest } = this.#durations.get(service) ?? { count: 0, longest: 0 };
    this.#durations.set(service, {
      count: count + 1,
      longest: Math.max(duration, longest * decayFactor),
    });
  }

  /** The timeout; undefined before there are enough responses. */
  timeout(service: ServiceName): Milliseconds | undefined {
    const durations = this.#durations.get(service);
    if (durations === undefined || durations.count < minResponses) return undefined;
    return Math.max(minTimeout, timeoutFactor * durations.longest);
  }
}
