// How far the router is behind: a request that waits unread in a socket has no other sign.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/**
 * Behind by more than this, new requests are refused. Callers leave plain requests after 1 s and must not be
 * served half a second after that; a router that is well is behind by some tens of milliseconds.
 */
const lagLimit: Milliseconds = 400;
/** Part of an earlier lag that still counts at the next look; what came meanwhile is read in some looks. */
const kept = 0.5;

/** Lateness of this process. */
export class EventLoopLag {
  #lag: Milliseconds = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly onChange: (isBehind: boolean, late: Milliseconds) => void,
  ) {}

  /** Calls `onChange` when the router falls behind and when it has caught up. */
  static create(
    clock: Clock,
    onChange: (isBehind: boolean, late: Milliseconds) => void = () => undefined,
  ): EventLoopLag {
    return new EventLoopLag(clock, onChange);
  }

  /** Sleeps for `duration` and notes by how much it was longer. */
  async sleep(duration: Milliseconds, signal: AbortSignal): Promise<void> {
    const due = this.clock.now() + duration;
    await this.clock.sleep(duration, signal);
    this.note(this.clock.now() - due);
  }

  /** Takes how much later than due something was done. */
  note(late: Milliseconds): void {
    const wasBehind = this.isBehind;
    this.#lag = Math.max(late, this.#lag * kept);
    if (this.isBehind !== wasBehind) this.onChange(this.isBehind, this.#lag);
  }

  /** How late this process was lately. */
  get late(): Milliseconds {
    return this.#lag;
  }

  get isBehind(): boolean {
    return this.#lag > lagLimit;
  }
}
