// Where the time of the event loop goes. On a VM without processor time to spare every request is late, and only
// the division of that time by activity tells why.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/**
 * `datagrams`: telling other routers and taking what they tell. `queue`: looking for servers for what waits.
 * `arrivals`: looking for a server for a new request.
 */
export type Activity = 'datagrams' | 'queue' | 'arrivals';

/** Time by activity. */
export type WorkTimes = Readonly<Record<Activity, Milliseconds>>;

/** Sums the time of synchronous work by activity. */
export class WorkTimer {
  #times: WorkTimes = { datagrams: 0, queue: 0, arrivals: 0 };
  /** Time of the work that ran inside the present one. */
  #inner: Milliseconds = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WorkTimer {
    return new WorkTimer(clock);
  }

  /** Does `work` and counts its time, less that of other work inside it. Errors are passed on. */
  run<Value>(activity: Activity, work: () => Value): Value {
    const start = this.clock.now();
    const outer = this.#inner;
    this.#inner = 0;
    try {
      return work();
    } finally {
      const whole = this.clock.now() - start;
      const own = Math.max(0, whole - this.#inner);
      this.#times = { ...this.#times, [activity]: this.#times[activity] + own };
      this.#inner = outer + whole;
    }
  }

  /** Time since the start of the process. */
  times(): WorkTimes {
    return this.#times;
  }
}
