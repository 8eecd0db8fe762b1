// Server instances that are leaving. A server says so in its responses, which reach a router sooner than its registration
// and also while the store is unreachable. A registration of the same instance that is read later may have been written
// earlier, so an instance that is leaving stays so.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { InstanceMap, type ServerInstance } from './serverInstance.js';

/** Where it is known from that an instance is leaving: its own responses, or its registration. */
export type DepartureSource = 'response' | 'registration';

interface Departure {
  readonly source: DepartureSource;
  readonly at: Milliseconds;
}

/**
 * Time for which a departure is remembered after its instance was registered last. Registrations that lapse while the
 * store is unreachable return much sooner, and servers that leave have ended by then.
 */
const retention: Milliseconds = 600_000;
/** Max departures that are remembered; the first ones are dropped first. */
const maxDepartures = 8_192;

/** The departures that one router knows. Only the newest instance of an id counts. */
export class Departures {
  readonly #departures = InstanceMap.create<Departure>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Departures {
    return new Departures(clock);
  }

  /** Records that the instance is leaving. Returns whether that is news. */
  record(instance: ServerInstance, source: DepartureSource): boolean {
    const known = this.#departures.get(instance);
    if (known?.source === 'response') return false;
    this.#departures.delete(instance);
    const isRecorded = this.#departures.set(instance, { source, at: this.clock.now() });
    const [first] = this.#departures.entries();
    if (first !== undefined && this.#departures.size > maxDepartures)
      this.#departures.delete(first[0]);
    return isRecorded && known === undefined;
  }

  /** Forgets the departure of whichever instance has the id. */
  forget(id: string): void {
    this.#departures.deleteId(id);
  }

  has(instance: ServerInstance): boolean {
    return this.#departures.get(instance) !== undefined;
  }

  /** Instances that are known to leave from responses, the latest first. */
  announced(): readonly ServerInstance[] {
    return [...this.#departures.entries()]
      .filter(([, { source }]) => source === 'response')
      .sort(([, a], [, b]) => b.at - a.at)
      .map(([instance]) => instance);
  }

  /** Drops old departures of servers for which `isRegistered` is false. */
  expire(isRegistered: (id: string) => boolean): void {
    const oldest = this.clock.now() - retention;
    for (const [instance, { at }] of this.#departures.entries())
      if (at < oldest && !isRegistered(instance.id)) this.#departures.delete(instance);
  }
}
