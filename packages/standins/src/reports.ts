// Load reports of stand-in servers lag behind what the server does, as those of real ones do.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { LoadReport } from '@catkinwheel/protocol';

/** Time between two samples of the load. */
const samplePeriod: Milliseconds = 50;

interface Sample {
  readonly at: Milliseconds;
  readonly running: number;
}

/** The load of a server as it was some time ago. */
export class LaggingLoad {
  readonly #clock: Clock;
  readonly #lag: Milliseconds;
  readonly #running: () => number;
  #samples: readonly Sample[] = [];

  private constructor(clock: Clock, lag: Milliseconds, running: () => number) {
    this.#clock = clock;
    this.#lag = lag;
    this.#running = running;
    this.#sample();
  }

  /** Samples `running` from now on and reports each value `lag` later. */
  static create(clock: Clock, lag: Milliseconds, running: () => number): LaggingLoad {
    const load = new LaggingLoad(clock, lag, running);
    setInterval(() => {
      load.#sample();
    }, samplePeriod).unref();
    return load;
  }

  /** Forgets earlier samples, after a restart. */
  reset(): void {
    this.#samples = [];
    this.#sample();
  }

  /** The newest sample that is at least the lag old, or the oldest one after a start. */
  report(boot: string, leaving: boolean, models: readonly string[]): LoadReport {
    const now = this.#clock.now();
    const old = this.#samples.filter((sample) => sample.at <= now - this.#lag);
    const sample = old.at(-1) ?? this.#samples[0] ?? { at: now, running: 0 };
    return {
      boot,
      running: sample.running,
      waiting: 0,
      leaving,
      models,
      age: Math.round(now - sample.at),
    };
  }

  #sample(): void {
    const now = this.#clock.now();
    const kept = this.#samples.filter((sample) => sample.at > now - 2 * this.#lag - samplePeriod);
    this.#samples = [...kept, { at: now, running: this.#running() }];
  }
}
