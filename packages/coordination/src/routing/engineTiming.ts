// Predicts the time to first token of an inference engine with continuous batching. Base time and prefill rate are learned from
// responses, since servers do not state them: a straight line through the latest first tokens, whatever their prefill.

import type { Milliseconds } from '@catkinwheel/state';

/** Initial prefill rate, in tokens a millisecond: that of the engines of the published deployments. */
const initialPrefillRate = 45;
/** Initial time to first token without prefill, of the same engines. */
const initialBaseTime: Milliseconds = 70;
/** The initial values count as much as this many observations, half of them without prefill and half with `initialPrefill`. */
const initialWeight = 12;
/** In tokens. */
const initialPrefill = 8_000;
/** Weight that earlier observations keep with each new one; the latest fifty count most. */
const retention = 0.98;
/** Learned values stay within this factor of the initial ones, so that a stalled server does not distort them. */
const maxDeviationFactor = 3;

/** Weighted sums of observations: tokens of prefill as x, time as y. */
interface Sums {
  readonly weight: number;
  readonly x: number;
  readonly y: number;
  readonly xx: number;
  readonly xy: number;
}

/** Learned timing of the engines of one service. Immutable. */
export class EngineTiming {
  static readonly initial = new EngineTiming(
    addPoint(
      addPoint({ weight: 0, x: 0, y: 0, xx: 0, xy: 0 }, 0, initialBaseTime, initialWeight / 2),
      initialPrefill,
      initialBaseTime + initialPrefill / initialPrefillRate,
      initialWeight / 2,
    ),
  );

  /** Prefill rate, in tokens a millisecond. */
  readonly prefillRate: number;
  /** Time to first token of a request without prefill, on an idle server. */
  readonly baseTime: Milliseconds;

  private constructor(private readonly sums: Sums) {
    const { weight, x, y, xx, xy } = sums;
    const spread = weight * xx - x * x;
    const slope = spread > 0 ? (weight * xy - x * y) / spread : 1 / initialPrefillRate;
    this.prefillRate = Math.min(
      initialPrefillRate * maxDeviationFactor,
      Math.max(initialPrefillRate / maxDeviationFactor, slope > 0 ? 1 / slope : Infinity),
    );
    const base = (y - x / this.prefillRate) / weight;
    this.baseTime = Math.min(initialBaseTime * maxDeviationFactor, Math.max(0, base));
  }

  /** Time to prefill this many tokens. */
  prefillTime(tokens: number): Milliseconds {
    return tokens / this.prefillRate;
  }

  /** Predicted time to a first token that is preceded by the prefill of `unread` tokens. */
  timeToFirstToken(unread: number): Milliseconds {
    return this.baseTime + this.prefillTime(unread);
  }

  /**
   * Learns from a first token that arrived after `time`, with `unread` tokens to be prefilled before it. A time that is far
   * from the prediction counts as a moderate one: servers stall, and the backlog of a server is not known in full.
   */
  observe(unread: number, time: Milliseconds): EngineTiming {
    const predicted = this.timeToFirstToken(unread);
    const bounded = Math.min(time, predicted * maxDeviationFactor);
    const { weight, x, y, xx, xy } = this.sums;
    const faded = {
      weight: weight * retention,
      x: x * retention,
      y: y * retention,
      xx: xx * retention,
      xy: xy * retention,
    };
    return new EngineTiming(addPoint(faded, unread, bounded, 1));
  }
}

function addPoint(sums: Sums, x: number, y: number, weight: number): Sums {
  return {
    weight: sums.weight + weight,
    x: sums.x + weight * x,
    y: sums.y + weight * y,
    xx: sums.xx + weight * x * x,
    xy: sums.xy + weight * x * y,
  };
}
