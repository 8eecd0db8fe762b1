// Event-loop lag of the router. It is the only sign of requests that wait unread in sockets.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/**
 * Lag above which new requests are refused. Callers abandon plain requests after 1 s and must not be served half a second
 * after that; a healthy router lags by some tens of milliseconds.
 */
const maxLag: Milliseconds = 400;
/** Decay of the lag per measurement: it takes some measurements until the requests that arrived meanwhile are read. */
const decay = 0.5;

/** Measures the event-loop lag. */
export class EventLoopLag {
  #lag: Milliseconds = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly onChange: (isBehind: boolean, lag: Milliseconds) => void,
  ) {}

  /** Calls `onChange` when the router falls behind and when it has caught up. */
  static create(
    clock: Clock,
    onChange: (isBehind: boolean, lag: Milliseconds) => void = () => undefined,
  ): EventLoopLag {
    return new EventLoopLag(clock, onChange);
  }

  /** Sleeps for `duration` and records by how much the sleep was longer. */
  async sleep(duration: Milliseconds, signal: AbortSignal): Promise<void> {
    const due = this.clock.now() + duration;
    await this.clock.sleep(duration, signal);
    this.record(this.clock.now() - due);
  }

  /** Records by how much a timer was late. */
  record(lag: Milliseconds): void {
    const wasBehind = this.isBehind;
    this.#lag = Math.max(lag, this.#lag * decay);
    if (this.isBehind !== wasBehind) this.onChange(this.isBehind, this.#lag);
  }

  /** Decaying maximum of the recorded lags. */
  get late(): Milliseconds {
    return this.#lag;
  }

  get isBehind(): boolean {
    return this.#lag > maxLag;
  }
}
