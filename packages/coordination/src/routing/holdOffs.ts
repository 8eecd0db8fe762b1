// Servers that have asked this router for no requests for some time, as an overloaded server does with a refusal that says
// when to come back. What is asked holds for an instance and to its end: it is lost neither with the server's registration,
// which may lapse while the store is unreachable, nor by a request in flight that is answered meanwhile.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { InstanceMap, type ServerInstance } from './serverInstance.js';

/** The times until which servers want no requests. */
export class HoldOffs {
  readonly #holdOffs = InstanceMap.create<Milliseconds>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): HoldOffs {
    return new HoldOffs(clock);
  }

  /**
   * Records that the instance wants no requests for `duration`. Of several times the latest counts. Returns whether the
   * instance wanted requests until now.
   */
  record(instance: ServerInstance, duration: Milliseconds): boolean {
    const before = this.remaining(instance);
    if (duration > before) this.#holdOffs.set(instance, this.clock.now() + duration);
    return before === 0 && duration > 0;
  }

  /** Time until the instance wants requests again; 0 if it wants them now. */
  remaining(instance: ServerInstance): Milliseconds {
    const until = this.#holdOffs.get(instance);
    return until === undefined ? 0 : Math.max(0, until - this.clock.now());
  }

  /** Drops the time of an instance that another one has replaced. */
  forget(instance: ServerInstance): void {
    this.#holdOffs.delete(instance);
  }

  /** Drops times that have passed. */
  expire(): void {
    const now = this.clock.now();
    for (const [instance, until] of this.#holdOffs.entries())
      if (until <= now) this.#holdOffs.delete(instance);
  }
}
