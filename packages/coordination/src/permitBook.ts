// Counts the requests in flight on a server. Both sources are incomplete: the permits that the keeper
// granted or learned of from routers, and load reports, which lag. The larger number counts, so that an uncertain
// count never leads to a grant above the limit.

import type { Incarnation, Milliseconds, Permit, RouterName } from '@catkinwheel/state';

/** Time after a grant within which the request must be sent. */
export const permitExpiry: Milliseconds = 1_000;

/** A permit that its router has not confirmed for this long may be lost. */
const confirmAge: Milliseconds = 2_500;

/** A granted permit and the router that holds it. */
export interface HeldPermit {
  readonly permit: Permit;
  readonly to: RouterName;
  readonly incarnation: Incarnation;
  /** When it was granted, or when a new keeper learned of it from the router. */
  readonly since: Milliseconds;
  /** Whether the router is known to have received it. */
  readonly received: boolean;
}

/** Running and waiting requests in a load report, and the time on this router's clock that it describes. */
export interface ReportedCount {
  readonly count: number;
  readonly at: Milliseconds;
}

interface ReturnedPermit {
  readonly since: Milliseconds;
  readonly at: Milliseconds;
}

/** The granted permits of one server. */
export class PermitBook {
  readonly #held = new Map<string, HeldPermit>();
  readonly #countByRouter = new Map<RouterName, number>();
  /** By router: the time as of which its last `holding` message lists its permits. */
  readonly #confirmedAt = new Map<RouterName, Milliseconds>();
  /** Maximum number of requests on the server without a known permit. */
  #unattributed = 0;
  /** When permits of a lost router were last added to `#unattributed`. */
  #lastDroppedRouterAt = Number.NEGATIVE_INFINITY;
  #reported: ReportedCount | undefined;
  /** Number of held permits that were granted after the last load report. */
  #grantedSinceReport = 0;
  /** Permits returned since the last load report. */
  #returned: ReturnedPermit[] = [];
  /** Number of permits in `#returned` whose requests the last load report contains. */
  #returnedButReported = 0;

  static create(): PermitBook {
    return new PermitBook();
  }

  /** Requests that may be in flight by the keeper's own count, with and without a known permit. */
  ownCount(): number {
    return this.#held.size + this.#unattributed;
  }

  /**
   * Requests that may be in flight: the larger of the own count and the last load report, corrected for
   * the grants and returns since.
   */
  inFlight(): number {
    const updated =
      (this.#reported?.count ?? 0) - this.#returnedButReported + this.#grantedSinceReport;
    return Math.max(this.ownCount(), updated);
  }

  /** Adds a permit unless it is known already. */
  add(held: HeldPermit): void {
    if (this.#held.has(held.permit.id)) return;
    this.#held.set(held.permit.id, held);
    this.#countByRouter.set(held.to, (this.#countByRouter.get(held.to) ?? 0) + 1);
    if (this.#isAfterReport(held.since)) this.#grantedSinceReport += 1;
  }

  /** The router that holds the permit; undefined if none does. */
  holder(id: string): RouterName | undefined {
    return this.#held.get(id)?.to;
  }

  /** Removes a permit that `from` returned; undefined if `from` does not hold it. */
  remove(id: string, from: RouterName, used: boolean, now: Milliseconds): HeldPermit | undefined {
    const held = this.#held.get(id);
    if (held?.to !== from) return undefined;
    this.#drop(held);
    if (!used) return held;
    if (!this.#isAfterReport(held.since)) this.#returnedButReported += 1;
    this.#returned.push({ since: held.since, at: now });
    return held;
  }

  /**
   * Applies a load report. `maxUnusedTime` is the age up to which a permit may still be unused, so
   * that it does not explain a reported request; it is 0 on a warm server.
   */
  report(reported: ReportedCount, maxUnusedTime: Milliseconds): void {
    this.#reported = reported;
    this.#returned = this.#returned.filter(({ at }) => at >= reported.at);
    this.#returnedButReported = this.#returned.filter(({ since }) => since < reported.at).length;
    this.#grantedSinceReport = 0;
    for (const { since } of this.#held.values())
      if (this.#isAfterReport(since)) this.#grantedSinceReport += 1;
    // A grant to a lost router may have reached its next incarnation, which can use it until it expires. The
    // count must not fall before.
    if (reported.at < this.#lastDroppedRouterAt + permitExpiry) return;
    this.#unattributed = Math.min(this.#unattributed, this.unattributedRequests(maxUnusedTime));
  }

  /** Sets the own count of requests without a known permit to the reported one. */
  countUnattributed(maxUnusedTime: Milliseconds): void {
    this.#unattributed = this.unattributedRequests(maxUnusedTime);
  }

  /** Reported requests beyond the permits that had certainly been used by the time of the report. */
  unattributedRequests(maxUnusedTime: Milliseconds): number {
    if (this.#reported === undefined) return 0;
    return Math.max(
      0,
      this.#reported.count - this.#countGrantedUntil(this.#reported.at - maxUnusedTime),
    );
  }

  /**
   * Routers whose permits may be lost: all holders if the load report shows fewer requests than there
   * are permits that must have been used or returned, else those with a permit that was neither granted
   * nor confirmed within `confirmAge`. The load report alone is not enough: each running request
   * of a younger permit makes up for a lost one in the count, which left up to half of a server unused.
   */
  routersToQuery(now: Milliseconds): readonly RouterName[] {
    const reported = this.#reported;
    if (reported === undefined) return [];
    if (this.#countGrantedUntil(reported.at - permitExpiry) > reported.count) return this.routers();
    const unconfirmed = new Set<RouterName>();
    for (const { to, since } of this.#held.values()) {
      const confirmed = Math.max(since, this.#confirmedAt.get(to) ?? since);
      if (now - confirmed >= confirmAge) unconfirmed.add(to);
    }
    return [...unconfirmed];
  }

  /**
   * Drops the lost permits of a live router: those that are not in `known`, the permits in its `holding`
   * message, although it had received them or they were granted before `time`, the time as of which the
   * message lists them. Returns their number.
   */
  dropLost(router: RouterName, known: ReadonlySet<string>, time: Milliseconds): number {
    const lost = [...this.#held.values()].filter(
      ({ permit, to, since, received }) =>
        to === router && (received || since < time) && !known.has(permit.id),
    );
    for (const held of lost) this.#drop(held);
    if (this.#countByRouter.has(router)) this.#confirmedAt.set(router, time);
    return lost.length;
  }

  /**
   * Counts the permits of a lost router as requests without a known permit until load reports show that they
   * ended.
   * Those of the incarnation `kept` stay. Returns their number.
   */
  dropRouter(router: RouterName, kept: Incarnation | undefined, now: Milliseconds): number {
    const dropped = [...this.#held.values()].filter(
      ({ to, incarnation }) => to === router && incarnation !== kept,
    );
    for (const held of dropped) this.#drop(held);
    this.#unattributed += dropped.length;
    if (dropped.length > 0) this.#lastDroppedRouterAt = now;
    return dropped.length;
  }

  /** The newest `count` permits: revoking these wastes the least service. */
  newest(count: number): readonly HeldPermit[] {
    return count <= 0 ? [] : [...this.#held.values()].slice(-count);
  }

  /** Every known permit, oldest first. */
  all(): readonly HeldPermit[] {
    return [...this.#held.values()];
  }

  /** Routers that hold permits. */
  routers(): readonly RouterName[] {
    return [...this.#countByRouter.keys()];
  }

  #drop(held: HeldPermit): void {
    this.#held.delete(held.permit.id);
    if (this.#isAfterReport(held.since)) this.#grantedSinceReport -= 1;
    const rest = (this.#countByRouter.get(held.to) ?? 1) - 1;
    if (rest === 0) {
      this.#countByRouter.delete(held.to);
      this.#confirmedAt.delete(held.to);
    } else this.#countByRouter.set(held.to, rest);
  }

  #isAfterReport(since: Milliseconds): boolean {
    return this.#reported === undefined || since >= this.#reported.at;
  }

  #countGrantedUntil(time: Milliseconds): number {
    let count = 0;
    for (const { since } of this.#held.values()) if (since <= time) count += 1;
    return count;
  }
}
