// CPU use of the router, taken from event-loop utilization. On a VM without spare CPU, callbacks take longer in wall-clock
// time, so the event loop then counts as fully busy.

import { performance, type EventLoopUtilization } from 'node:perf_hooks';
import type { Clock, Milliseconds } from '@catkinwheel/state';

/** Measurement interval of `usedCores`. */
const smoothingInterval: Milliseconds = 1_000;
/** Smoothing weight of the newest measurement: a burst of a second does not move callers to other routers. */
const smoothingWeight = 0.4;

/**
 * Measurement interval of `recentUtilization`, which decides whether new connections are handed over to other routers. It
 * is as short as the time in which a full accept queue is served.
 */
const recentInterval: Milliseconds = 300;

/** CPU use of this process. */
export class CpuUsage {
  #lastSample: EventLoopUtilization = performance.eventLoopUtilization();
  #sampledAt: Milliseconds;
  #smoothedUtilization = 0;
  #lastShortSample: EventLoopUtilization = this.#lastSample;
  #shortSampledAt: Milliseconds;
  #recentUtilization = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly capacity: number,
  ) {
    this.#sampledAt = clock.now();
    this.#shortSampledAt = this.#sampledAt;
  }

  /** `capacity` is the speed of the VM, in cores. */
  static create(clock: Clock, capacity: number): CpuUsage {
    return new CpuUsage(clock, capacity);
  }

  /** Cores in use, smoothed over some seconds. */
  usedCores(): number {
    const now = this.clock.now();
    if (now - this.#sampledAt >= smoothingInterval) {
      const current = performance.eventLoopUtilization();
      const { utilization } = performance.eventLoopUtilization(current, this.#lastSample);
      this.#smoothedUtilization += smoothingWeight * (utilization - this.#smoothedUtilization);
      this.#lastSample = current;
      this.#sampledAt = now;
    }
    return this.#smoothedUtilization * this.capacity;
  }

  /** Share of the VM's CPU in use, from 0 to 1, over the last interval of `recentInterval`. */
  recentUtilization(): number {
    const now = this.clock.now();
    if (now - this.#shortSampledAt >= recentInterval) {
      const current = performance.eventLoopUtilization();
      this.#recentUtilization = performance.eventLoopUtilization(
        current,
        this.#lastShortSample,
      ).utilization;
      this.#lastShortSample = current;
      this.#shortSampledAt = now;
    }
    return this.#recentUtilization;
  }
}
