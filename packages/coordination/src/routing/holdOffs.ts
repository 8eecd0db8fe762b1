// Servers that have asked this router for no requests for some time, as an overloaded server does with a refusal that says
// when to come back. What is asked holds for an instance and to its end: it is lost neither with the server's registration,
// which may lapse while the store is unreachable, nor by a request in flight that is answered meanwhile.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { ServerInstance } from './departures.js';

interface HoldOff {
  readonly born: number | undefined;
  readonly until: Milliseconds;
}

/** The times until which servers want no requests, by server id. */
export class HoldOffs {
  readonly #holdOffs = new Map<string, HoldOff>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): HoldOffs {
    return new HoldOffs(clock);
  }

  /**
   * Records that the instance wants no requests for `duration`. Of several times the latest counts. Returns whether the
   * instance wanted requests until now.
   */
  record({ id, born }: ServerInstance, duration: Milliseconds): boolean {
    const before = this.remaining({ id, born });
    if (duration > before) this.#holdOffs.set(id, { born, until: this.clock.now() + duration });
    return before === 0 && duration > 0;
  }

  /** Time until the instance wants requests again; 0 if it wants them now. */
  remaining({ id, born }: ServerInstance): Milliseconds {
    const holdOff = this.#holdOffs.get(id);
    if (holdOff === undefined || holdOff.born !== born) return 0;
    return Math.max(0, holdOff.until - this.clock.now());
  }

  /** Drops times that have passed. */
  expire(): void {
    const now = this.clock.now();
    for (const [id, { until }] of this.#holdOffs) if (until <= now) this.#holdOffs.delete(id);
  }
}
