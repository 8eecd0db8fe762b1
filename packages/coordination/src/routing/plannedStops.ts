// When planned stops end the connections of callers, and which requests are still taken until then. Load pattern: callers keep
// asking a router after its SIGTERM, on kept connections and because they know the directory's answer of before, and some
// requests take longer than what is left of the grace time.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/**
 * Time after SIGTERM in which a router still takes requests that it can answer before its end: until then most callers have a
 * directory response without it.
 */
const lameDuckDuration: Milliseconds = 3_000;
/** The last answers of a stopping router are sent this long before SIGKILL; less if the grace time is short. */
const maxExitMargin: Milliseconds = 700;
const exitMarginFraction = 1 / 8;
/** Time after SIGTERM within which other routers have heard of the stop, if a datagram is lost too. */
const noticeTime: Milliseconds = 300;
/** Time for which the stop of a router is remembered after its end; datagrams from before it come sooner. */
const retention: Milliseconds = 60_000;

interface Stop {
  /** Until when requests are taken at all. */
  readonly takesUntil: Milliseconds;
  /** When all responses have to be complete. */
  readonly endsAt: Milliseconds;
}

/** Bounds on planned stops, the same for all routers. */
export interface StopBounds {
  /** Time from SIGTERM to SIGKILL. */
  readonly grace: Milliseconds;
}

/** The planned stops of this router and of those that hold callers' connections for it. */
export class PlannedStops {
  #own: Stop | undefined;
  /** By the IP address of the router. */
  readonly #others = new Map<string, Stop>();
  readonly #listeners = new Set<() => void>();

  private constructor(
    private readonly clock: Clock,
    private readonly bounds: StopBounds,
  ) {}

  /** `bounds` are read whenever a stop becomes known. */
  static create(clock: Clock, bounds: StopBounds): PlannedStops {
    return new PlannedStops(clock, bounds);
  }

  /** Whether this router is stopping. */
  get isStopping(): boolean {
    return this.#own !== undefined;
  }

  /** Records that this router was asked to stop. */
  begin(): void {
    if (this.#own !== undefined) return;
    this.#own = this.#stopAt(this.clock.now());
    this.#notify();
  }

  /** Records what a heartbeat of another router, received `age` ago, says about its stop. */
  recordHeartbeat(ip: string, isLeaving: boolean, age: Milliseconds): void {
    if (!isLeaving) {
      this.#others.delete(ip);
      return;
    }
    if (this.#others.has(ip)) return;
    this.#forgetEnded();
    this.#others.set(ip, this.#stopAt(this.clock.now() - age - noticeTime));
    this.#notify();
  }

  #forgetEnded(): void {
    const oldest = this.clock.now() - retention;
    for (const [ip, { endsAt }] of this.#others) if (endsAt < oldest) this.#others.delete(ip);
  }

  /**
   * When the responses on a connection have to be complete; infinite while neither this router stops nor the one at `via`,
   * which holds the connection for it.
   */
  endOf(via: string | undefined): Milliseconds {
    return Math.min(...this.#stopsOf(via).map(({ endsAt }) => endsAt));
  }

  /** Whether a new request on such a connection may be taken, if it can be answered by `endOf`. */
  takesRequests(via: string | undefined): boolean {
    const now = this.clock.now();
    return this.#stopsOf(via).every(({ takesUntil }) => now <= takesUntil);
  }

  /** Whether responses on such a connection close it. */
  closesConnections(via: string | undefined): boolean {
    return this.#stopsOf(via).length > 0;
  }

  /** Calls the listener whenever a stop becomes known, until the returned function is called. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #stopsOf(via: string | undefined): readonly Stop[] {
    const other = via === undefined ? undefined : this.#others.get(via);
    return [this.#own, other].filter((stop) => stop !== undefined);
  }

  #stopAt(requestedAt: Milliseconds): Stop {
    const { grace } = this.bounds;
    const margin = Math.min(maxExitMargin, grace * exitMarginFraction);
    const endsAt = requestedAt + grace - margin;
    return { takesUntil: Math.min(requestedAt + lameDuckDuration, endsAt), endsAt };
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
