// Counts the turns of the event loop. A turn accepts one connection, and a request takes several turns to reach a server, so their
// length bounds both however much processor time is left over the day.

import { performance, type EventLoopUtilization } from 'node:perf_hooks';
import type { Milliseconds } from '@catkinwheel/state';

/** Turns of some span of time. */
export interface TurnCount {
  readonly turns: number;
  /** Time that they took, without waiting for events. */
  readonly busy: Milliseconds;
}

/** The turns of this process's event loop since the last call of `take`. */
export class LoopTurns {
  #count = loopCount();
  #utilization: EventLoopUtilization = performance.eventLoopUtilization();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): LoopTurns {
    return new LoopTurns();
  }

  /** The turns since the last call, and starts anew. */
  take(): TurnCount {
    const [count, utilization] = [loopCount(), performance.eventLoopUtilization()];
    const turns = count - this.#count;
    const busy = performance.eventLoopUtilization(utilization, this.#utilization).active;
    this.#count = count;
    this.#utilization = utilization;
    return { turns, busy };
  }
}

/** Turns since the start of the process. */
function loopCount(): number {
  return performance.nodeTiming.uvMetricsInfo.loopCount;
}
