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
export const silenceTimeout: Milliseconds = 1_500;
/**
 * A silent router still counts for shares of budgets for this long, since it may be running but partitioned.
 */
const removalTimeout: Milliseconds = 60_000;
/** Max routers that are known, far above the largest fleet; further ones are ignored. */
const maxRouters = 8_192;
/** Routers that read the store for the fleet. Three survive the loss of a VM and of a data centre. */
const storeReaderCount = 3;

/** Data of a router that are known without a heartbeat. */
export interface RegisteredRouter {
  readonly ip: string;
  /** Speed of its VM, in cores. */
  readonly capacity: number;
}

/** A router without a recent heartbeat. */
export interface SilentRouter {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string | undefined;
}

interface LastHeartbeat {
  readonly member: Member;
  readonly heard: Milliseconds;
}

/** Other routers of the fleet, by name. */
export class Members {
  readonly #heartbeats = new Map<string, LastHeartbeat>();
  #isComplete = false;
  #readerRanking: { readonly key: string; readonly order: readonly string[] } | undefined;
  /** Other routers that may be running, by name. */
  readonly #registered = new Map<string, RegisteredRouter>();

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
    const known = this.#heartbeats.get(member.name);
    if (known !== undefined && known.heard >= heard) return false;
    if (!this.#hasRoom(member.name)) return false;
    this.#heartbeats.set(member.name, { member, heard });
    const { name, ip, capacity } = member;
    this.#registered.set(name, { ip, capacity });
    return known === undefined || now - known.heard > silenceTimeout;
  }

  /** Time since the router's last heartbeat. */
  heartbeatAge(name: string): Milliseconds {
    return this.clock.now() - (this.#heartbeats.get(name)?.heard ?? -Infinity);
  }

  /** Adds a router that is registered in the store or reported by another router. */
  register(name: string, router: RegisteredRouter): void {
    if (name === this.self || this.#heartbeats.has(name) || !this.#hasRoom(name)) return;
    this.#registered.set(name, router);
  }

  /**
   * Records that all routers which were registered at some time since the start of this one have been added, from the store or
   * from a router that has read them there.
   */
  recordComplete(): void {
    this.#isComplete = true;
  }

  /** Whether this router knows the fleet, and not just the routers that it has met. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  #hasRoom(name: string): boolean {
    return this.#registered.has(name) || this.#registered.size < maxRouters;
  }

  /** Removes a router whose registration was removed. */
  unregister(name: string): void {
    this.#registered.delete(name);
    this.#heartbeats.delete(name);
  }

  /** Routers with a recent heartbeat. */
  alive(): readonly Member[] {
    const oldest = this.clock.now() - silenceTimeout;
    return [...this.#heartbeats.values()]
      .filter(({ heard }) => heard >= oldest)
      .map(({ member }) => member);
  }

  /** IP addresses of the routers with a heartbeat within the last `span`. */
  addressesHeardWithin(span: Milliseconds): readonly string[] {
    const oldest = this.clock.now() - span;
    return [...this.#heartbeats.values()]
      .filter(({ heard }) => heard >= oldest)
      .map(({ member }) => member.ip);
  }

  /** Routers that may be running but have no recent heartbeat, with their data centres if known. */
  silent(): readonly SilentRouter[] {
    const oldest = this.clock.now() - silenceTimeout;
    const silent: SilentRouter[] = [];
    for (const [name, { ip }] of this.#registered) {
      const heartbeat = this.#heartbeats.get(name);
      if (heartbeat === undefined) silent.push({ name, ip, dataCentre: undefined });
      else if (heartbeat.heard < oldest)
        silent.push({ name, ip, dataCentre: heartbeat.member.dataCentre });
    }
    return silent;
  }

  /** Other routers that may be running. */
  registered(): ReadonlyMap<string, RegisteredRouter> {
    return this.#registered;
  }

  /** Names of all routers that may be running, this one included. */
  names(): readonly string[] {
    const oldest = this.clock.now() - removalTimeout;
    for (const [name, { heard }] of this.#heartbeats) {
      if (heard < oldest) this.unregister(name);
    }
    return [this.self, ...this.#registered.keys()];
  }

  /**
   * Names of the routers that callers are sent to, silent ones included. Assumes that all of them are idle. Empty until this
   * router knows the fleet: what these routers share would be divided among too few.
   */
  entryRouters(): readonly string[] {
    if (!this.#isComplete) return [];
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
    const inContact = new Set<string>();
    const eligible: string[] = [];
    for (const { name, isLeaving } of this.alive()) {
      const heartbeat = this.#heartbeats.get(name);
      if (isLeaving || heartbeat === undefined) continue;
      eligible.push(name);
      if (heartbeat.member.storeAge + (now - heartbeat.heard) < limit) inContact.add(name);
    }
    const order = this.#readerOrder([this.self, ...eligible].sort());
    const preceding = order.slice(0, order.indexOf(this.self));
    return preceding.filter((name) => inContact.has(name)).length < storeReaderCount;
  }

  /** The ranking of readers, cached since it is needed often and rarely changes. */
  #readerOrder(names: readonly string[]): readonly string[] {
    const key = names.join();
    if (this.#readerRanking?.key !== key)
      this.#readerRanking = { key, order: ranking('readers', names) };
    return this.#readerRanking.order;
  }
}
