// A model of a batching engine: how long a prompt waits and how fast tokens come. The rates are learned
// from answers, since no server states them.

import type { Milliseconds } from '@catkinwheel/state';

/** Rate at which engines of the published deployments read prompts, in tokens a millisecond. */
const startRate = 45;
/** Time to a first token beside reading, of the same engines. */
const startBase: Milliseconds = 70;
/** Weight of one observation in the learned rates; about fifty requests settle them. */
const learning = 0.03;
/** Reading of fewer tokens says more about the base time than about the rate, and of more the reverse. */
const rateSample = 6_000;
/** The learned rate stays within this factor of the start, so that a stalled server does not spoil it. */
const rateRange = 3;

/** Learned timing of the engines of one service. Immutable. */
export class EngineModel {
  static readonly initial = new EngineModel(startRate, startBase);

  private constructor(
    /** Tokens of prompts read in a millisecond. */
    readonly rate: number,
    /** Time to the first token of a prompt that needs no reading, on an idle server. */
    readonly base: Milliseconds,
  ) {}

  /** Time to read so many tokens. */
  reading(tokens: number): Milliseconds {
    return tokens / this.rate;
  }

  /** Predicted time to a first token before which so many tokens have to be read. */
  firstToken(unread: number): Milliseconds {
    return this.base + this.reading(unread);
  }

  /** Learns from a first token that came after `time`; `unread` tokens were to be read until then. */
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
