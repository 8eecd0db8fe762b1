// Divides the fleet-wide in-flight limit of a team among the routers that have requests of the team.

import type { Incarnation, Milliseconds } from '@catkinwheel/state';

/** Minimum time between two computations of the targets; each router reports every 100 ms. */
const minPlanInterval: Milliseconds = 50;

/** If more routers have requests than there are permits, the permits rotate at this interval. */
const rotationInterval: Milliseconds = 1_000;

/** Maximum number of unacknowledged shares that are kept per router. */
const maxUnacknowledgedShares = 16;

/** Need and usage of one router, from its report. */
export interface ShareReport {
  readonly sequence: number;
  readonly waiting: number;
  readonly inFlight: number;
  /** Share that the router uses at present. */
  readonly share: number;
  /** Sequence of the last reply that the router applied. */
  readonly acknowledged: number;
}

interface SentShare {
  readonly sequence: number;
  readonly share: number;
}

interface RouterShare {
  readonly report: ShareReport;
  /** Shares that were sent and that the router may still apply, in order of sending. */
  readonly sentShares: readonly SentShare[];
  /** Maximum number of requests that the router may have in flight until it applies the next reply. */
  readonly reserved: number;
}

/** Shares of one team's in-flight limit. All shares that routers may use never add up to more than it. */
export class Shares {
  readonly #routers = new Map<Incarnation, RouterShare>();
  #targets: ReadonlyMap<Incarnation, number> = new Map();
  #plannedAt: Milliseconds = -Infinity;
  #plannedLimit = -1;
  #reserved = 0;
  #waiting = 0;
  #inFlight = 0;

  static create(): Shares {
    return new Shares();
  }

  /** Sum of the requests that the routers may have in flight. */
  get reserved(): number {
    return this.#reserved;
  }

  /** Requests queued at the reporting routers. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Requests in flight at the reporting routers. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Handles a report and returns the share for the reply. With `mayGrow` false, the share is not raised,
   * because routers that did not report yet may hold the rest.
   */
  update(
    router: Incarnation,
    report: ShareReport,
    limit: number,
    mayGrow: boolean,
    now: Milliseconds,
  ): number {
    const known = this.#routers.get(router);
    const pending = (known?.sentShares ?? []).filter(
      ({ sequence }) => sequence >= report.acknowledged,
    );
    const used = Math.max(report.inFlight, report.share, ...pending.map(({ share }) => share));
    this.#store(router, { report, sentShares: pending, reserved: used });
    const isNew = known === undefined;
    if (isNew || limit !== this.#plannedLimit || now - this.#plannedAt >= minPlanInterval) {
      this.#plan(limit, now);
    }
    const target = this.#targets.get(router) ?? 0;
    const unreserved = Math.max(0, limit - (this.#reserved - used));
    const share = Math.min(target, unreserved, mayGrow ? Infinity : report.share);
    const sentShares = withSentShare(pending, { sequence: report.sequence, share });
    this.#store(router, { report, sentShares, reserved: Math.max(used, share) });
    return share;
  }

  /** Treats a router that stopped reporting as having no queued requests; it may still use its share. */
  clearWaiting(router: Incarnation): void {
    const routerShare = this.#routers.get(router);
    if (routerShare === undefined || routerShare.report.waiting === 0) return;
    this.#store(router, { ...routerShare, report: { ...routerShare.report, waiting: 0 } });
  }

  /** Removes a router whose share has expired there, as it was silent for too long. */
  remove(router: Incarnation): void {
    const routerShare = this.#routers.get(router);
    if (routerShare === undefined) return;
    this.#routers.delete(router);
    this.#addToTotals(routerShare, -1);
    this.#plannedAt = -Infinity;
  }

  #store(router: Incarnation, routerShare: RouterShare): void {
    const known = this.#routers.get(router);
    if (known !== undefined) this.#addToTotals(known, -1);
    this.#routers.set(router, routerShare);
    this.#addToTotals(routerShare, 1);
  }

  #addToTotals({ report, reserved }: RouterShare, sign: 1 | -1): void {
    this.#reserved += sign * reserved;
    this.#waiting += sign * report.waiting;
    this.#inFlight += sign * report.inFlight;
  }

  #plan(limit: number, now: Milliseconds): void {
    this.#plannedAt = now;
    this.#plannedLimit = limit;
    const needs = [...this.#routers].map(([router, { report }]) => ({
      router,
      need: report.waiting + report.inFlight,
    }));
    this.#targets = divide(limit, needs, Math.floor(now / rotationInterval));
  }
}

/** Adds a sent share. If there are too many, the oldest two are merged into one with the larger share. */
function withSentShare(pending: readonly SentShare[], added: SentShare): readonly SentShare[] {
  const [first, second, ...rest] = pending;
  if (first === undefined || second === undefined || pending.length < maxUnacknowledgedShares) {
    return [...pending, added];
  }
  const merged = { sequence: second.sequence, share: Math.max(first.share, second.share) };
  return [merged, ...rest, added];
}

interface Need {
  readonly router: Incarnation;
  readonly need: number;
}

/**
 * Max-min fair division of `limit` by need. The remainder is split evenly, so that routers can use a
 * little more without another report; one part is kept for a router that reports for the first time,
 * which would otherwise wait until others have released a part of their shares.
 */
export function divide(
  limit: number,
  needs: readonly Need[],
  rotation: number,
): ReadonlyMap<Incarnation, number> {
  const targets = new Map<Incarnation, number>(needs.map(({ router }) => [router, 0]));
  const order = needs.map((_, index) => needs[(index + rotation) % needs.length]);
  const needy = order.filter((need): need is Need => need !== undefined && need.need > 0);
  let remaining = Math.max(0, Math.floor(limit));
  // With fewer permits than routers, sorting by need would leave out the same routers every time.
  let unserved = limit < needy.length ? needy : [...needy].sort((a, b) => a.need - b.need);
  while (unserved.length > 0) {
    const [next, ...others] = unserved;
    if (next === undefined) break;
    const given = Math.min(next.need, Math.ceil(remaining / unserved.length));
    targets.set(next.router, given);
    remaining -= given;
    unserved = others;
  }
  const portions = needs.length + 1;
  order.forEach((need, index) => {
    if (need === undefined) return;
    const given = Math.floor(remaining / portions) + (index < remaining % portions ? 1 : 0);
    targets.set(need.router, (targets.get(need.router) ?? 0) + given);
  });
  return targets;
}
