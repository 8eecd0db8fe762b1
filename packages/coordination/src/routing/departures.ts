// Server instances that are leaving. A server says so in its responses, which reach a router sooner than its registration
// and also while the store is unreachable. A registration of the same instance that is read later may have been written
// earlier, so an instance that is leaving stays so.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** One run of a server process; the next one may have the same id and address. */
export interface ServerInstance {
  readonly id: string;
  /** Wall clock time of its start in milliseconds; undefined if its registration lacks it. */
  readonly born: number | undefined;
}

/** Where it is known from that an instance is leaving: its own responses, or its registration. */
export type DepartureSource = 'response' | 'registration';

interface Departure extends ServerInstance {
  readonly source: DepartureSource;
  readonly at: Milliseconds;
}

/**
 * Time for which a departure is remembered after its instance was registered last. Registrations that lapse while the
 * store is unreachable return much sooner, and servers that leave have ended by then.
 */
const retention: Milliseconds = 600_000;

/** The departures that one router knows, by server id. Only the newest instance of an id counts. */
export class Departures {
  readonly #departures = new Map<string, Departure>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Departures {
    return new Departures(clock);
  }

  /** Records that the instance is leaving. Returns whether that is news. */
  record({ id, born }: ServerInstance, source: DepartureSource): boolean {
    const known = this.#departures.get(id);
    if (known !== undefined && (known.born ?? 0) > (born ?? 0)) return false;
    const isNews = known?.born !== born || known === undefined;
    if (!isNews && known.source === 'response') return false;
    this.#departures.set(id, { id, born, source, at: this.clock.now() });
    return isNews;
  }

  has({ id, born }: ServerInstance): boolean {
    const known = this.#departures.get(id);
    return known !== undefined && known.born === born;
  }

  /** Instances that are known to leave from responses, the latest first. */
  announced(): readonly ServerInstance[] {
    return [...this.#departures.values()]
      .filter(({ source }) => source === 'response')
      .sort((a, b) => b.at - a.at)
      .map(({ id, born }) => ({ id, born }));
  }

  /** Drops old departures of servers for which `isRegistered` is false. */
  expire(isRegistered: (id: string) => boolean): void {
    const oldest = this.clock.now() - retention;
    for (const [id, { at }] of this.#departures)
      if (at < oldest && !isRegistered(id)) this.#departures.delete(id);
  }
}
