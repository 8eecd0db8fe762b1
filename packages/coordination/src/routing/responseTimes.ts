// How long the responses of a route take, learned from those that were complete. Admission needs it to tell whether a response
// can be complete by a deadline, or before a stopping router ends.

import type { Milliseconds } from '@catkinwheel/state';

/**
 * Weights of one observation in the mean and in the deviation, and the deviations of an upper bound: after RFC 6298, section 2,
 * with half of its weights, since responses vary more than round trips.
 */
const meanWeight = 1 / 16;
const deviationWeight = 1 / 8;
const boundDeviations = 4;

/** A mean of observations and their mean deviation from it. Immutable. */
export class SmoothedValue {
  private constructor(
    readonly mean: number,
    private readonly deviation: number,
  ) {}

  /** Takes an observation into `known`, which is undefined before the first one. */
  static observe(known: SmoothedValue | undefined, value: number): SmoothedValue {
    if (known === undefined) return new SmoothedValue(value, value / 2);
    const error = value - known.mean;
    return new SmoothedValue(
      known.mean + meanWeight * error,
      known.deviation + deviationWeight * (Math.abs(error) - known.deviation),
    );
  }

  /** Hardly any observation is larger while they are spread as before. */
  get upperBound(): number {
    return this.mean + boundDeviations * this.deviation;
  }
}

/** How long a response takes after its first event if it is a stream, otherwise in all. */
export interface ResponseDuration {
  readonly expected: Milliseconds;
  /** Hardly any response takes longer, its first event included where that comes later than predicted. */
  readonly atMost: Milliseconds;
}

/** Learned response times of one route. Immutable. */
export class ResponseTimes {
  static readonly unknown = new ResponseTimes(undefined, undefined, undefined);

  private constructor(
    /** Time of a response that is not generated token by token. */
    private readonly whole: SmoothedValue | undefined,
    /** Time for each token of the output limit, after the first event. */
    private readonly perToken: SmoothedValue | undefined,
    /** Time by which first events come later than predicted. */
    private readonly lateness: SmoothedValue | undefined,
  ) {}

  /** Learns from a complete response of `duration`. */
  observeWhole(duration: Milliseconds): ResponseTimes {
    const whole = SmoothedValue.observe(this.whole, duration);
    return new ResponseTimes(whole, this.perToken, this.lateness);
  }

  /**
   * Learns from a complete stream: `duration` from its first event to its end, with at most `outputLimit` tokens, after a first
   * event that came `lateness` later than predicted.
   */
  observeStream(
    duration: Milliseconds,
    outputLimit: number,
    lateness: Milliseconds,
  ): ResponseTimes {
    return new ResponseTimes(
      this.whole,
      SmoothedValue.observe(this.perToken, duration / Math.max(1, outputLimit)),
      SmoothedValue.observe(this.lateness, Math.max(0, lateness)),
    );
  }

  /** Duration of a response with at most `outputLimit` tokens, or of one that has no tokens; undefined before the first. */
  durationOf(outputLimit: number | undefined): ResponseDuration | undefined {
    if (outputLimit === undefined) {
      if (this.whole === undefined) return undefined;
      return { expected: this.whole.mean, atMost: this.whole.upperBound };
    }
    if (this.perToken === undefined) return undefined;
    return {
      expected: this.perToken.mean * outputLimit,
      atMost: this.perToken.upperBound * outputLimit + (this.lateness?.upperBound ?? 0),
    };
  }
}
