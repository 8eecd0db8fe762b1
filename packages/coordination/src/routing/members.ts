// Which routers there are. Routers hear one another directly; the store only says where to begin.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { ranking } from '../rendezvous.js';
import { selectEntryRouters } from './entryRouters.js';

/** A router as it tells of itself. */
export interface Member {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string;
  readonly isLeaving: boolean;
  /** Speed of its VM, in cores. */
  readonly capacity: number;
  /** Cores that it uses of that. */
  readonly used: number;
  /** Whether it had no request under way or waiting when it was heard. */
  readonly isIdle: boolean;
  /** Time since it last heard from the store itself, when it said so; infinite if its calls fail. */
  readonly storeAge: Milliseconds;
}

/** A silent router is not named to callers after this time; a frozen VM often wakes within it. */
export const silenceLimit: Milliseconds = 1_500;
/** A silent router counts for shares of budgets for this long, since it may be cut off and running. */
const forgetTime: Milliseconds = 60_000;
/** Routers that read the store for all. Three survive the loss of a VM and of a data centre. */
const readerCount = 3;

/** What is known of a router before it was heard. */
export interface Registered {
  readonly ip: string;
  /** Speed of its VM, in cores. */
  readonly capacity: number;
}

/** A router that was not heard lately. */
export interface Silent {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string | undefined;
}

interface Seen {
  readonly member: Member;
  readonly heard: Milliseconds;
}

/** Routers by name, the own one not included. */
export class Members {
  readonly #seen = new Map<string, Seen>();
  #ranked: { readonly key: string; readonly order: readonly string[] } | undefined;
  /** Routers that may be running, by name. */
  readonly #registered = new Map<string, Registered>();

  private constructor(
    private readonly clock: Clock,
    private readonly self: string,
    private readonly capacity: number,
  ) {}

  /** `capacity` is the speed of the own VM, in cores. */
  static create(clock: Clock, self: string, capacity: number): Members {
    return new Members(clock, self, capacity);
  }

  /**
   * A router was heard, or another one has heard it `age` ago. Returns whether it was silent or unknown
   * before. Older news than what is known changes nothing.
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

  /** Time since the router was last heard. */
  heartbeatAge(name: string): Milliseconds {
    return this.clock.now() - (this.#seen.get(name)?.heard ?? -Infinity);
  }

  /** A registration in the store, or another router, tells of a router. */
  register(name: string, router: Registered): void {
    if (name !== this.self && !this.#seen.has(name)) this.#registered.set(name, router);
  }

  /** A registration was removed. */
  unregister(name: string): void {
    this.#registered.delete(name);
    this.#seen.delete(name);
  }

  /** Routers heard lately. */
  alive(): readonly Member[] {
    const oldest = this.clock.now() - silenceLimit;
    return [...this.#seen.values()]
      .filter(({ heard }) => heard >= oldest)
      .map(({ member }) => member);
  }

  /** IP addresses of the routers that were heard within the last `span`. */
  addressesHeardWithin(span: Milliseconds): readonly string[] {
    const oldest = this.clock.now() - span;
    return [...this.#seen.values()]
      .filter(({ heard }) => heard >= oldest)
      .map(({ member }) => member.ip);
  }

  /** Routers that may be running and were not heard lately; the data centre if it is known. */
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

  /** Routers that may be running, the own one not included. */
  registered(): ReadonlyMap<string, Registered> {
    return this.#registered;
  }

  /** Names of all routers that may be running, the own one included. */
  names(): readonly string[] {
    const oldest = this.clock.now() - forgetTime;
    for (const [name, { heard }] of this.#seen) {
      if (heard < oldest) this.unregister(name);
    }
    return [this.self, ...this.#registered.keys()];
  }

  /** Names of the routers to which callers are sent while they have room, whether they are heard or not. */
  entryRouters(): readonly string[] {
    const all = this.names().map((name) => {
      const capacity = this.#registered.get(name)?.capacity ?? this.capacity;
      return { name, capacity, used: 0 };
    });
    return selectEntryRouters(all).map(({ name }) => name);
  }

  /**
   * Whether this router reads the store for all: fewer than three of the routers ranked before it have heard
   * from the store within `limit`. When readers fail, those ranked next begin, and stop when they are back.
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

  /** The ranking of readers, which is asked for often and changes seldom. */
  #readerOrder(names: readonly string[]): readonly string[] {
    const key = names.join();
    if (this.#ranked?.key !== key) this.#ranked = { key, order: ranking('readers', names) };
    return this.#ranked.order;
  }
}
