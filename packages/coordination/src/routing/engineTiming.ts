// Predicts the time to first token of an inference engine with continuous batching. The prefill rate is learned from
// responses, since servers do not state it.

import type { Milliseconds } from '@catkinwheel/state';

/** Initial prefill rate, in tokens a millisecond: that of the engines of the published deployments. */
const initialPrefillRate = 45;
/** Initial time to first token without prefill, of the same engines. */
const initialBaseTime: Milliseconds = 70;
/** Weight of one observation in the moving averages; they settle after about fifty requests. */
const observationWeight = 0.03;
/**
 * Min prefill, in tokens, to learn the rate from; a smaller one says more about the base time and is used for
 * that.
 */
const minRateSample = 6_000;
/**
 * Learned values stay within this factor of the initial ones, so that a stalled server does not distort them.
 */
const maxDeviationFactor = 3;

/** Learned timing of the engines of one service. Immutable. */
export class EngineTiming {
  static readonly initial = new EngineTiming(initialPrefillRate, initialBaseTime);

  private constructor(
    /** Prefill rate, in tokens a millisecond. */
    readonly prefillRate: number,
    /** Time to first token of a request without prefill, on an idle server. */
    readonly baseTime: Milliseconds,
  ) {}

  /** Time to prefill this many tokens. */
  prefillTime(tokens: number): Milliseconds {
    return tokens / this.prefillRate;
  }

  /** Predicted time to a first token that is preceded by the prefill of `unread` tokens. */
  timeToFirstToken(unread: number): Milliseconds {
    return this.baseTime + this.prefillTime(unread);
  }

  /**
   * Learns from a first token that arrived after `time`, with `unread` tokens to be prefilled before it.
   */
  observe(unread: number, time: Milliseconds): EngineTiming {
    if (unread < minRateSample) {
      const base =
        this.baseTime + observationWeight * (time - unread / this.prefillRate - this.baseTime);
      return new EngineTiming(
        this.prefillRate,
        Math.min(initialBaseTime * maxDeviationFactor, Math.max(0, base)),
      );
    }
    const measuredPrefill = Math.max(1, time - this.baseTime);
    const rate =
      this.prefillRate + observationWeight * (unread / measuredPrefill - this.prefillRate);
    const boundedRate = Math.min(
      initialPrefillRate * maxDeviationFactor,
      Math.max(initialPrefillRate / maxDeviationFactor, rate),
    );
    return new EngineTiming(boundedRate, this.baseTime);
  }
}
