// How much of its VM's processor the router uses. On a VM that has no more to give, callbacks take longer by the
// clock, so the event loop counts as busy all the time.

import { performance, type EventLoopUtilization } from 'node:perf_hooks';
import type { Clock, Milliseconds } from '@catkinwheel/state';

/** Time over which use is measured. */
const span: Milliseconds = 1_000;
/** Weight of the newest measurement; a burst of a second does not move callers to other routers. */
const newest = 0.4;

/**
 * Time over which a shortage is measured. New connections are handed on after it, so it is as short as what the queue of
 * connections holds.
 */
const shortSpan: Milliseconds = 300;

/** Use of the processor by this process. */
export class CpuUsage {
  #last: EventLoopUtilization = performance.eventLoopUtilization();
  #measured: Milliseconds;
  #part = 0;
  #lastShort: EventLoopUtilization = this.#last;
  #measuredShort: Milliseconds;
  #recentPart = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly capacity: number,
  ) {
    this.#measured = clock.now();
    this.#measuredShort = this.#measured;
  }

  /** `capacity` is the speed of the VM, in cores. */
  static create(clock: Clock, capacity: number): CpuUsage {
    return new CpuUsage(clock, capacity);
  }

  /** Cores in use lately. */
  cores(): number {
    const now = this.clock.now();
    if (now - this.#measured >= span) {
      const current = performance.eventLoopUtilization();
      const { utilization } = performance.eventLoopUtilization(current, this.#last);
      this.#part += newest * (utilization - this.#part);
      this.#last = current;
      this.#measured = now;
    }
    return this.#part * this.capacity;
  }

  /** Part of the VM that was in use in the last third of a second. */
  recentPart(): number {
    const now = this.clock.now();
    if (now - this.#measuredShort >= shortSpan) {
      const current = performance.eventLoopUtilization();
      this.#recentPart = performance.eventLoopUtilization(current, this.#lastShort).utilization;
      this.#lastShort = current;
      this.#measuredShort = now;
    }
    return this.#recentPart;
  }
}
