// Membership of the fleet as one router sees it. Routers send one another heartbeats; the store only supplies
// addresses to start from.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { ranking } from '../rendezvous.js';
import { selectEntryRouters } from './entryRouters.js';

/** A router as described by its own heartbeat. */
export interface Member {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string;
  readonly isLeaving: boolean;
  /** Speed of its VM, in cores. */
  readonly capacity: number;
  /** Cores that it uses of these. */
  readonly used: number;
  /** Whether it had no requests in flight or queued at its last heartbeat. */
  readonly isIdle: boolean;
  /** Time since its own last contact with the store, as of its heartbeat; infinite while its calls fail. */
  readonly storeAge: Milliseconds;
}

/** A router that has been silent for longer is not offered to callers; a frozen VM often wakes up before. */
export const silenceLimit: Milliseconds = 1_500;
/**
 * A silent router still counts for shares of budgets for this long, since it may be running but partitioned.
 */
const forgetTime: Milliseconds = 60_000;
/** Routers that read the store for the fleet. Three survive the loss of a VM and of a data centre. */
const readerCount = 3;

/** Data of a router that are known without a heartbeat. */
export interface Registered {
  readonly ip: string;
  /** Speed of its VM, in cores. */
  readonly capacity: number;
}

/** A router without a recent heartbeat. */
export interface Silent {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string | undefined;
}

interface Seen {
  readonly member: Member;
  readonly heard: Milliseconds;
}

/** Other routers of the fleet, by name. */
export class Members {
  readonly #seen = new Map<string, Seen>();
  #ranked: { readonly key: string; readonly order: readonly string[] } | undefined;
  /** Other routers that may be running, by name. */
  readonly #registered = new Map<string, Registered>();

  private constructor(
    private readonly clock: Clock,
    private readonly self: string,
    private readonly capacity: number,
  ) {}

  /** `capacity` is the speed of this router's VM, in cores. */
  static create(clock: Clock, self: string, capacity: number): Members {
    return new Members(clock, self, capacity);
  }

  /**
   * Records a heartbeat, received directly or by another router `age` ago. Returns whether the router was silent or
   * unknown before. Ignores heartbeats older than the latest known one.
   */
  recordHeartbeat(member: Member, age: Milliseconds = 0): boolean {
    if (member.name === this.self) return false;
    const now = this.clock.now();
    const heard = now - age;
    const known = this.#seen.get(member.name);
    if (known !== undefined && known.heard >= heard) return false;
    this.#seen.set(member.name, { member, heard });
    const { name, ip, capacity } = member;
    this.#registered.set(name, { ip, capacity });
    return known === undefined || now - known.heard > silenceLimit;
  }

  /** Time since the router's last heartbeat. */
  heartbeatAge(name: string): Milliseconds {
    return this.clock.now() - (this.#seen.get(name)?.heard ?? -Infinity);
  }

  /** Adds a router that is registered in the store or reported by another router. */
  register(name: string, router: Registered): void {
    if (name !== this.self && !this.#seen.has(name)) this.#registered.set(name, router);
  }

  /** Removes a router whose registration was removed. */
  unregister(name: string): void {
    this.#registered.delete(name);
    this.#seen.delete(name);
  }

  /** Routers with a recent heartbeat. */
  alive(): readonly Member[] {
    const oldest = this.clock.now() - silenceLimit;
    return [...this.#seen.values()]
      .filter(({ heard }) => heard >= oldest)
      .map(({ member }) => member);
  }

  /** IP addresses of the routers with a heartbeat within the last `span`. */
  addressesHeardWithin(span: Milliseconds): readonly string[] {
    const oldest = this.clock.now() - span;
    return [...this.#seen.values()]
      .filter(({ heard }) => heard >= oldest)
      .map(({ member }) => member.ip);
  }

  /** Routers that may be running but have no recent heartbeat, with their data centres if known. */
  silent(): readonly Silent[] {
    const oldest = this.clock.now() - silenceLimit;
    const silent: Silent[] = [];
    for (const [name, { ip }] of this.#registered) {
      const seen = this.#seen.get(name);
      if (seen === undefined) silent.push({ name, ip, dataCentre: undefined });
      else if (seen.heard < oldest) silent.push({ name, ip, dataCentre: seen.member.dataCentre });
    }
    return silent;
  }

  /** Other routers that may be running. */
  registered(): ReadonlyMap<string, Registered> {
    return this.#registered;
  }

  /** Names of all routers that may be running, this one included. */
  names(): readonly string[] {
    const oldest = this.clock.now() - forgetTime;
    for (const [name, { heard }] of this.#seen) {
      if (heard < oldest) this.unregister(name);
    }
    return [this.self, ...this.#registered.keys()];
  }

  /**
   * Names of the routers that callers are sent to, silent ones included. Assumes that all of them are idle.
   */
  entryRouters(): readonly string[] {
    const all = this.names().map((name) => {
      const capacity = this.#registered.get(name)?.capacity ?? this.capacity;
      return { name, capacity, used: 0 };
    });
    return selectEntryRouters(all).map(({ name }) => name);
  }

  /**
   * Whether this router reads the store for the fleet: fewer than three of the routers that precede it in the
   * ranking have had contact with the store within `limit`. When readers fail, the next in the ranking start
   * reading, and stop when the failed ones recover.
   */
  isStoreReader(limit: Milliseconds): boolean {
    const now = this.clock.now();
    const working = new Set<string>();
    const fit: string[] = [];
    for (const { name, isLeaving } of this.alive()) {
      const seen = this.#seen.get(name);
      if (isLeaving || seen === undefined) continue;
      fit.push(name);
      if (seen.member.storeAge + (now - seen.heard) < limit) working.add(name);
    }
    const order = this.#readerOrder([this.self, ...fit].sort());
    const before = order.slice(0, order.indexOf(this.self));
    return before.filter((name) => working.has(name)).length < readerCount;
  }

  /** The ranking of readers, cached since it is needed often and rarely changes. */
  #readerOrder(names: readonly string[]): readonly string[] {
    const key = names.join();
    if (this.#ranked?.key !== key) this.#ranked = { key, order: ranking('readers', names) };
    return this.#ranked.order;
  }
}
