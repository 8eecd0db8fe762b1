// How much a stand-in server can bear: little while it is cold, and what happens above that. The
// counts kept here are the evidence for the cold limit and the utilisation of servers.

import type { Clock, Milliseconds } from '@catkinwheel/state';

export interface CapacitySettings {
  /** Requests that the server bears while it is cold. */
  readonly cold: number;
  /** Requests that it serves at full speed when it is warm. */
  readonly warm: number;
  /** Time after which a cold server is warm. */
  readonly coldFor: Milliseconds;
  /**
   * Number of requests begun and served while cold after which it is warm. Not above the run of
   * successes after which a keeper lets a cold server grow, twice the cold limit.
   */
  readonly coldRequests: number;
  /**
   * Time that a server that turned cold while it was serving still bears what it has: the target
   * for the reaction of a keeper to the first sign, and the way of the reaction to the server.
   */
  readonly grace: Milliseconds;
}

export const capacityDefaults: CapacitySettings = {
  cold: 2,
  warm: 16,
  coldFor: 3_000,
  coldRequests: 4,
  grace: 1_500,
};

export interface CapacityStats {
  readonly running: number;
  readonly phase: 'cold' | 'warm';
  /** Times that the server was given more than it could bear while cold. */
  readonly overloads: number;
  readonly maxRunningWhileCold: number;
  /** Integral of the used slots over time, in slot milliseconds; at most `bearable`. */
  readonly busy: Milliseconds;
  /** Integral of the slots that could have been used, in slot milliseconds. */
  readonly bearable: Milliseconds;
}

/** What made a server cold: its start, a restart in service, or a loss of caches without one. */
export type ColdCause = 'started' | 'restarted' | 'turned';

/** Requests in service of one server. */
export class Capacity {
  readonly #settings: CapacitySettings;
  readonly #clock: Clock;
  #running = 0;
  #coldUntil: Milliseconds;
  #graceUntil: Milliseconds;
  #cause: ColdCause = 'started';
  #coldServed = 0;
  #overloads = 0;
  #maxCold = 0;
  #busy = 0;
  #bearable = 0;
  #counted: Milliseconds;

  private constructor(settings: CapacitySettings, clock: Clock) {
    this.#settings = settings;
    this.#clock = clock;
    this.#counted = clock.now();
    this.#coldUntil = this.#counted + settings.coldFor;
    this.#graceUntil = this.#counted;
  }

  /** A server that has just started, cold. */
  static create(settings: CapacitySettings, clock: Clock): Capacity {
    return new Capacity(settings, clock);
  }

  get running(): number {
    return this.#running;
  }

  get isCold(): boolean {
    return this.#clock.now() < this.#coldUntil && this.#coldServed < this.#settings.coldRequests;
  }

  /** What made the server cold last. */
  get cause(): ColdCause {
    return this.#cause;
  }

  /** Requests that can be served at full speed now. */
  get limit(): number {
    return this.isCold ? this.#settings.cold : this.#settings.warm;
  }

  /** Share of the full speed at which each request is served. */
  get speed(): number {
    return Math.min(1, this.#settings.warm / Math.max(1, this.#running));
  }

  /** Starts a request; true if it begins cold. */
  enter(): boolean {
    this.count();
    this.#running += 1;
    const isCold = this.isCold;
    if (isCold && !this.#isInGrace()) this.#maxCold = Math.max(this.#maxCold, this.#running);
    return isCold;
  }

  /** Ends a request; `wasServed` says that it began cold and ran to its end. */
  leave(wasServed: boolean): void {
    this.count();
    this.#running -= 1;
    if (wasServed && this.isCold) this.#coldServed += 1;
  }

  /** Whether more runs than a cold server bears; the caller then makes it fall over. */
  isOverloaded(): boolean {
    return this.isCold && !this.#isInGrace() && this.#running > this.#settings.cold;
  }

  /** Records that the server fell over; it starts again cold, with nothing running. */
  overload(): void {
    this.#overloads += 1;
    this.restart();
  }

  /** Starts again cold, with nothing running. */
  restart(): void {
    this.count();
    this.#running = 0;
    this.#turnCold('restarted', this.#clock.now() + this.#settings.grace);
  }

  /** Turns cold without a restart. The time of grace starts with the first sign that callers see. */
  turnCold(): void {
    this.count();
    this.#turnCold('turned', Infinity);
  }

  /** Records that a caller has seen an answer that shows that the server is cold. */
  showSign(): void {
    if (this.#graceUntil === Infinity) {
      this.#graceUntil = this.#clock.now() + this.#settings.grace;
    }
  }

  /** Adds the time since the last call to the integrals. */
  count(): void {
    const now = this.#clock.now();
    const limit = this.limit;
    this.#busy += (now - this.#counted) * Math.min(this.#running, limit);
    this.#bearable += (now - this.#counted) * limit;
    this.#counted = now;
  }

  stats(): CapacityStats {
    this.count();
    return {
      running: this.#running,
      phase: this.isCold ? 'cold' : 'warm',
      overloads: this.#overloads,
      maxRunningWhileCold: this.#maxCold,
      busy: this.#busy,
      bearable: this.#bearable,
    };
  }

  #turnCold(cause: ColdCause, graceUntil: Milliseconds): void {
    this.#cause = cause;
    this.#coldUntil = this.#clock.now() + this.#settings.coldFor;
    this.#coldServed = 0;
    this.#graceUntil = graceUntil;
  }

  #isInGrace(): boolean {
    return this.#clock.now() < this.#graceUntil;
  }
}
