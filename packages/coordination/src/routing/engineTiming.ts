// Predicts the time to first token of an inference engine with continuous batching. The prefill rate is learned from
// responses, since servers do not state it.

import type { Milliseconds } from '@catkinwheel/state';

/** Initial prefill rate, in tokens a millisecond: that of the engines of the published deployments. */
const startRate = 45;
/** Initial time to first token without prefill, of the same engines. */
const startBase: Milliseconds = 70;
/** Weight of one observation in the moving averages; they settle after about fifty requests. */
const learning = 0.03;
/**
 * Min prefill, in tokens, to learn the rate from; a smaller one says more about the base time and is used for
 * that.
 */
const rateSample = 6_000;
/**
 * Learned values stay within this factor of the initial ones, so that a stalled server does not distort them.
 */
const rateRange = 3;

/** Learned timing of the engines of one service. Immutable. */
export class EngineModel {
  static readonly initial = new EngineModel(startRate, startBase);

  private constructor(
    /** Prefill rate, in tokens a millisecond. */
    readonly rate: number,
    /** Time to first token of a request without prefill, on an idle server. */
    readonly base: Milliseconds,
  ) {}

  /** Time to prefill this many tokens. */
  reading(tokens: number): Milliseconds {
    return tokens / this.rate;
  }

  /** Predicted time to a first token that is preceded by the prefill of `unread` tokens. */
  firstToken(unread: number): Milliseconds {
    return this.base + this.reading(unread);
  }

  /**
   * Learns from a first token that arrived after `time`, with `unread` tokens to be prefilled before it.
   */
  observe(unread: number, time: Milliseconds): EngineModel {
    if (unread < rateSample) {
      const base = this.base + learning * (time - unread / this.rate - this.base);
      return new EngineModel(this.rate, Math.min(startBase * rateRange, Math.max(0, base)));
    }
    const reading = Math.max(1, time - this.base);
    const rate = this.rate + learning * (unread / reading - this.rate);
    const bounded = Math.min(startRate * rateRange, Math.max(startRate / rateRange, rate));
    return new EngineModel(bounded, this.base);
  }
}
