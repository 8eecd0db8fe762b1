// Registered servers, and which of them are cold: recently started or back in service, so that they tolerate fewer
// requests at first. A registration that expires while the store of registrations is unreachable does not mean that its
// server is gone.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { Departures } from './departures.js';
import type { Server } from './model.js';
import {
  InstanceMap,
  isOlderInstance,
  isSameInstance,
  type ServerInstance,
} from './serverInstance.js';

/**
 * Time for which a server is kept after its registration was found missing because the store was unreachable. Within
 * this time after the store's return, servers renew registrations that expired during the outage.
 */
const renewalTimeout: Milliseconds = 2_000;

/**
 * A server that leaves as planned goes on for at least the drain time of two seconds after its registration is gone. One that ends
 * sooner has crashed.
 */
const minDrainTime: Milliseconds = 1_000;
/**
 * Time after which a registration with an earlier start time than one known is believed: it was not written late, since the later
 * instance would have written again or its registration would have expired, so the clocks of the two machines differ.
 */
const lateWriteTime: Milliseconds = 4_000;
/** Time for which it is remembered when a registration went. */
const removalMemory: Milliseconds = 60_000;

/** A registered server with this router's additions. */
export interface KnownServer extends Server {
  /** End of its time as a cold server, on the router's clock. */
  readonly coldUntil: Milliseconds;
  /**
   * When the server counts as gone, if its registration expired while the store was unreachable; otherwise
   * undefined.
   */
  readonly lapses: Milliseconds | undefined;
}

/** A registration with an earlier start time than one known, and since when it has been the one in the store. */
interface EarlierStart {
  readonly server: Server;
  readonly since: Milliseconds;
}

/** The present instance of each id. Changed only by `update`, `recordLeaving`, `markCold` and `expire`. */
export class ServerTable {
  #servers: ReadonlyMap<string, KnownServer> = new Map();
  readonly #departures: Departures;
  /** When the registrations of instances went. */
  readonly #removals = InstanceMap.create<Milliseconds>();
  /** What `update` was called with last. */
  #registrations: readonly [present: readonly Server[], storeAway: boolean] = [[], false];
  /** By id. */
  #earlierStarts: ReadonlyMap<string, EarlierStart> = new Map();

  private constructor(private readonly clock: Clock) {
    this.#departures = Departures.create(clock);
  }

  static create(clock: Clock): ServerTable {
    return new ServerTable(clock);
  }

  /**
   * Replaces the set of registrations. `storeAway`: the store has recently been unreachable. Returns the instances
   * that are gone or that another one has replaced; what was learned about these no longer holds.
   */
  update(present: readonly Server[], storeAway: boolean): readonly ServerInstance[] {
    const now = this.clock.now();
    const next = new Map<string, KnownServer>();
    const stale: ServerInstance[] = [];
    const earlierStarts = new Map<string, EarlierStart>();
    for (const server of present) {
      const known = this.#servers.get(server.id);
      if (this.#startsEarlier(server, known)) {
        const before = this.#earlierStarts.get(server.id);
        const isSame = before !== undefined && isSameInstance(before.server, server);
        const since = isSame ? before.since : now;
        if (now - since < lateWriteTime) {
          earlierStarts.set(server.id, { server, since });
          if (known !== undefined) next.set(known.id, known);
          continue;
        }
        this.#removals.deleteId(server.id);
        this.#departures.forget(server.id);
      }
      const isRestarted = known !== undefined && !isSameInstance(known, server);
      if (isRestarted) stale.push(known);
      const isChanged = known === undefined || isRestarted || known.coldLeft !== server.coldLeft;
      const coldUntil = isChanged ? now + server.coldLeft : known.coldUntil;
      if (server.isLeaving) this.#departures.record(server, 'registration');
      const isLeaving = this.#departures.has(server);
      next.set(server.id, { ...server, isLeaving, coldUntil, lapses: undefined });
    }
    for (const known of this.#servers.values()) {
      if (next.has(known.id)) continue;
      if (storeAway && !known.isLeaving) {
        next.set(known.id, { ...known, lapses: known.lapses ?? now + renewalTimeout });
      } else {
        stale.push(known);
        this.#removals.set(known, now);
      }
    }
    this.#servers = next;
    this.#earlierStarts = earlierStarts;
    this.#registrations = [present, storeAway];
    return stale;
  }

  /** Records that the instance has said that it is leaving. Returns whether that is news. */
  recordLeaving(instance: ServerInstance): boolean {
    if (this.isReplaced(instance) || !this.#departures.record(instance, 'response')) return false;
    const known = this.#current(instance);
    if (known !== undefined)
      this.#servers = new Map(this.#servers).set(known.id, { ...known, isLeaving: true });
    return true;
  }

  /** Registered instances that are known to leave from responses, the latest first. */
  announcedLeaving(): readonly ServerInstance[] {
    return this.#departures.announced().filter((instance) => this.isRegistered(instance));
  }

  /** Treats the instance as cold for at least `duration`. */
  markCold(instance: ServerInstance, duration: Milliseconds): void {
    const known = this.#current(instance);
    if (known === undefined) return;
    const coldUntil = Math.max(known.coldUntil, this.clock.now() + duration);
    this.#servers = new Map(this.#servers).set(known.id, { ...known, coldUntil });
  }

  /**
   * Drops servers whose registrations were not renewed in time, and instances whose registrations have long named an earlier start;
   * returns these instances.
   */
  expire(): readonly ServerInstance[] {
    const now = this.clock.now();
    this.#departures.expire((id) => this.#servers.has(id));
    for (const [instance, at] of this.#removals.entries())
      if (at < now - removalMemory) this.#removals.delete(instance);
    const isDue = [...this.#earlierStarts.values()].some(
      ({ since }) => now - since >= lateWriteTime,
    );
    const replaced = isDue ? this.update(...this.#registrations) : [];
    const expired = [...this.#servers.values()].filter((server) => this.hasLapsed(server));
    if (expired.length === 0) return replaced;
    const next = new Map(this.#servers);
    for (const { id } of expired) next.delete(id);
    this.#servers = next;
    return [...replaced, ...expired];
  }

  /** Whether the time to renew the server's registration has passed. It stays in the table until `expire` is called. */
  hasLapsed({ lapses }: KnownServer): boolean {
    return lapses !== undefined && lapses <= this.clock.now();
  }

  /** Whether the instance may end now as planned: it has said that it leaves, or has been off the list for long enough. */
  mayEnd(instance: ServerInstance): boolean {
    if (this.#departures.has(instance)) return true;
    if (this.#servers.has(instance.id)) return false;
    const removedAt = this.#removals.get(instance);
    return removedAt !== undefined && this.clock.now() - removedAt > minDrainTime;
  }

  isRegistered(instance: ServerInstance): boolean {
    return this.#current(instance) !== undefined;
  }

  /** Whether another instance is registered under the id. */
  isReplaced(instance: ServerInstance): boolean {
    return this.#servers.has(instance.id) && !this.isRegistered(instance);
  }

  /** The registered instance with this id and start time, by which other routers name it; undefined if there is none. */
  find(id: string, born: number | undefined): ServerInstance | undefined {
    const known = this.#servers.get(id);
    return known?.born === born ? known : undefined;
  }

  /** The id of the server that is registered at the address; undefined if there is none. */
  idAt(address: string): string | undefined {
    return this.all().find((server) => server.address === address)?.id;
  }

  get(id: string): KnownServer | undefined {
    return this.#servers.get(id);
  }

  all(): readonly KnownServer[] {
    return [...this.#servers.values()];
  }

  isCold(server: KnownServer): boolean {
    return server.coldUntil > this.clock.now();
  }

  #current(instance: ServerInstance): KnownServer | undefined {
    const known = this.#servers.get(instance.id);
    return known !== undefined && isSameInstance(known, instance) ? known : undefined;
  }

  /** Whether a later instance is registered under the id or was lately: a write of the former one may come last. */
  #startsEarlier(server: Server, known: KnownServer | undefined): boolean {
    const isOlder = known !== undefined && isOlderInstance(server, known);
    return isOlder || this.#removals.hasLater(server);
  }
}
