// Limits the rate of requests to cold servers. A cold server tolerates a few requests a second from the whole
// fleet and crashes above that, and a whole data centre of servers may return cold while traffic is high. Routers
// split the rate by rendezvous hashing, which needs no messages and also holds for partitioned routers.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { ranking } from '../rendezvous.js';
import { InstanceMap, type ServerInstance } from './serverInstance.js';

/** Fraction of the bound that the fleet uses. The rest covers routers that disagree on the fleet's size. */
const usedFraction = 0.5;

/** The bound holds for each second; the margin covers requests that are delayed on their way. */
const period: Milliseconds = 1_150;

/**
 * The rate at which the fleet may send to a cold server: `factor` times the rate that it states, and `slack`
 * more.
 */
export interface ColdRateBound {
  readonly factor: number;
  /** Requests a second. */
  readonly slack: number;
}

/** The part of a cold server's rate that one router has. */
export interface ColdShare {
  /** Requests that it may send in each period. */
  readonly requests: number;
  /** Number of routers that share the rate, as far as it knows. */
  readonly routers: number;
}

/** Rate limiter of one router for cold servers. */
export class ColdStartLimiter {
  readonly #sent = InstanceMap.create<readonly Milliseconds[]>();

  private constructor(
    private readonly clock: Clock,
    private readonly bound: ColdRateBound,
    private readonly self: string,
    private readonly routers: () => readonly string[],
  ) {}

  /**
   * `routers` returns the names of the routers that share the rate. A router that is not among them sends nothing to cold
   * servers.
   */
  static create(
    clock: Clock,
    bound: ColdRateBound,
    self: string,
    routers: () => readonly string[],
  ): ColdStartLimiter {
    return new ColdStartLimiter(clock, bound, self, routers);
  }

  /**
   * Whether a request may be sent to the cold server now; `rate` is the number that it tolerates a second.
   */
  allows(server: ServerInstance, rate: number): boolean {
    return this.#recent(server).length < this.#share(server, rate);
  }

  /** By which share a request may be sent to the cold server; told in the log. */
  shareOf(server: ServerInstance, rate: number): ColdShare {
    return { requests: this.#share(server, rate), routers: this.routers().length };
  }

  /** Counts a request that is sent to the cold server. */
  recordSent(server: ServerInstance): void {
    this.#sent.set(server, [...this.#recent(server), this.clock.now()]);
  }

  /** Stops counting requests to an instance that another one has replaced. */
  forget(server: ServerInstance): void {
    this.#sent.delete(server);
  }

  /** Drops servers to which nothing was sent lately. */
  expire(): void {
    for (const [server] of [...this.#sent.entries()])
      if (this.#recent(server).length === 0) this.#sent.delete(server);
  }

  /** Requests that this router may send to the server in each period. */
  #share({ id }: ServerInstance, rate: number): number {
    const total = Math.floor(usedFraction * (rate * this.bound.factor + this.bound.slack));
    const routers = this.routers();
    if (!routers.includes(this.self)) return 0;
    if (routers.length <= total) return Math.floor(total / routers.length);
    return ranking(id, routers).slice(0, total).includes(this.self) ? 1 : 0;
  }

  #recent(server: ServerInstance): readonly Milliseconds[] {
    const start = this.clock.now() - period;
    return (this.#sent.get(server) ?? []).filter((time) => time > start);
  }
}
