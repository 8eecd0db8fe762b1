// Event loop time by activity. On a VM that is short of processor time every request is late, and only this breakdown
// shows why.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/**
 * `datagrams`: sending and receiving gossip. `queue`: choosing servers for queued requests. `arrivals`: choosing
 * a server for a new request.
 */
export type Activity = 'datagrams' | 'queue' | 'arrivals';

/** Event loop time by activity. */
export type WorkTimes = Readonly<Record<Activity, Milliseconds>>;

/** Measures the time of synchronous work by activity. */
export class WorkTimer {
  #times: WorkTimes = { datagrams: 0, queue: 0, arrivals: 0 };
  /** Time of work nested in the current one. */
  #nested: Milliseconds = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WorkTimer {
    return new WorkTimer(clock);
  }

  /** Runs `work` and counts its time, without that of work nested in it. Passes errors on. */
  run<Value>(activity: Activity, work: () => Value): Value {
    const start = this.clock.now();
    const outer = this.#nested;
    this.#nested = 0;
    try {
      return work();
    } finally {
      const whole = this.clock.now() - start;
      const own = Math.max(0, whole - this.#nested);
      this.#times = { ...this.#times, [activity]: this.#times[activity] + own };
      this.#nested = outer + whole;
    }
  }

  /** Totals since the start of the process. */
  times(): WorkTimes {
    return this.#times;
  }
}
