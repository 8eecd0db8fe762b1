// The keeper of a server is the router that holds the server's lease and alone grants permits for it, each
// for one request in flight. It never grants above the server's limit, even if messages are lost, late or
// repeated, because it counts every permit whose state is unknown as in flight.

import type {
  Authority,
  HeldPermits,
  KeeperState,
  LoadReport,
  ServerPhase,
} from '@catkinwheel/protocol';
import type {
  Clock,
  FencingToken,
  Incarnation,
  Milliseconds,
  Permit,
  Release,
  FirstByteReport,
  Router,
  RouterName,
  ServerName,
  ServiceName,
} from '@catkinwheel/state';
import type { NextGrant } from './demandBook.js';
import { assertInvariant } from './invariant.js';
import type { Metrics } from './ports.js';
import type { HeldPermit } from './permitBook.js';
import { PermitBook, permitExpiry } from './permitBook.js';
import type { Inheritance, ServerLimits, Observation } from './serverLimit.js';
import { ServerLimit } from './serverLimit.js';

/**
 * Time after which a new keeper stops waiting for `holding` messages: the expiry of unused permits plus
 * the lag of load reports.
 */
export const takeoverTimeout: Milliseconds = 2_000;
/** A server without a load report for this long is suspect. */
const suspectTimeout: Milliseconds = 2_000;
/**
 * Age at which a permit was certainly received and then used or returned: the time until a broken link
 * is detected plus the permit expiry.
 */
const maxPermitTransit: Milliseconds = 1_500 + permitExpiry;

export interface KeeperDependencies {
  readonly self: Router;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly server: ServerName;
  readonly service: ServiceName;
  readonly limits: ServerLimits;
  /** Model that the server must have loaded; undefined for a plain service. */
  readonly model: string | undefined;
  readonly fence: FencingToken;
  readonly inherited: Inheritance | undefined;
  /** Returns a number that is unique among the grants of this router's incarnation. */
  readonly nextId: () => number;
  /** The present authority of this router over the server with this fence, in the given phase. */
  readonly authority: (phase: ServerPhase) => Authority;
}

/** Progress of counting the requests in flight, which is due before the first grant. */
type CountState =
  /** Waiting for the `holding` messages of the routers in `pending`. */
  | { readonly kind: 'asking'; readonly since: Milliseconds; readonly pending: Set<RouterName> }
  /** All routers replied or timed out; a load report newer than `at` is still needed. */
  | { readonly kind: 'answered'; readonly at: Milliseconds }
  | { readonly kind: 'counted' };

/** The keeper of one server. It makes no requests itself; times are on this router's clock. */
export class Keeper {
  readonly #dependencies: KeeperDependencies;
  readonly #permits = PermitBook.create();
  #limit: ServerLimit;
  #count: CountState = { kind: 'answered', at: Infinity };
  /** When each router was last asked for its permits. */
  readonly #queriedAt = new Map<RouterName, Milliseconds>();
  #authority: Authority = 'none';
  #lastReportAt: Milliseconds;
  #isReportedLeaving = false;
  /** When the last load report was requested. */
  #lastReportRequestedAt: Milliseconds = 0;
  /**
   * When the server last refused a request. Nothing is granted until a later load report shows that the
   * server is up: all permits of a dead server are free, so it would attract every request.
   */
  #refusedAt = Number.NEGATIVE_INFINITY;
  /** Start of the present run of slow first bytes. */
  #slowSince = Number.NEGATIVE_INFINITY;
  #isOutOfService = false;
  #lacksModel = false;
  /** The server turned cold with more requests in flight than its cold limit. */
  #hasExcessPermits = false;
  #isFrozen = false;

  private constructor(dependencies: KeeperDependencies) {
    this.#dependencies = dependencies;
    this.#limit = ServerLimit.create(dependencies.limits, dependencies.inherited);
    this.#lastReportAt = dependencies.clock.now();
  }

  /** A keeper that grants nothing until `startCount` was called and the count is finished. */
  static create(dependencies: KeeperDependencies): Keeper {
    return new Keeper(dependencies);
  }

  get server(): ServerName {
    return this.#dependencies.server;
  }

  get service(): ServiceName {
    return this.#dependencies.service;
  }

  get fence(): FencingToken {
    return this.#dependencies.fence;
  }

  state(): KeeperState {
    return {
      server: this.server,
      service: this.service,
      fence: this.fence,
      authority: this.#dependencies.authority(this.#limit.phase),
      phase: this.#limit.phase,
      limit: this.#limit.limit,
      inFlight: this.#permits.inFlight(),
      boot: this.#limit.boot,
    };
  }

  /** Granted permits that were not returned, for a handover. */
  permits(): readonly Permit[] {
    return this.#permits.all().map(({ permit }) => permit);
  }

  /** Number of permits that may be granted now; 0 without authority or before the count is finished. */
  free(): number {
    if (this.#isFrozen || this.#lacksModel || this.#count.kind !== 'counted') return 0;
    if (this.#refusedAt >= this.#lastReportRequestedAt) return 0;
    if (this.#authority === 'none') return 0;
    if (this.#dependencies.authority(this.#limit.phase) === 'none') return 0;
    return Math.max(0, this.#limit.limit - this.#permits.inFlight());
  }

  /** Grants one permit. Throws `InvariantViolation` if none is free; callers check `free` first. */
  grant({ to, team, sequence }: NextGrant, incarnation: Incarnation): Permit {
    const { self, clock, nextId } = this.#dependencies;
    this.#assertMayGrant();
    const permit: Permit = {
      id: `${self.incarnation}-${nextId()}`,
      server: this.server,
      fence: this.fence,
      service: this.service,
      team,
      sequence,
    };
    this.#permits.add({ permit, to, incarnation, since: clock.now(), received: false });
    this.#dependencies.metrics.count('keeper.grant');
    return permit;
  }

  /** Records a slow first byte of a running request; ignored if `from` does not hold the permit. */
  recordSlowFirstByte(from: RouterName, { id, firstByte }: FirstByteReport): void {
    if (this.#permits.holder(id) !== from) return;
    this.#observe({ kind: 'started', firstByte });
  }

  /** Removes a returned permit; undefined if `from` does not hold it. */
  release(from: RouterName, release: Release): HeldPermit | undefined {
    const used = release.outcome !== 'unused';
    const held = this.#permits.remove(release.id, from, used, this.#dependencies.clock.now());
    if (held === undefined) {
      this.#dependencies.metrics.count('keeper.unknownRelease');
      return undefined;
    }
    if (release.outcome === 'refused') this.#refusedAt = this.#dependencies.clock.now();
    // The first byte of a request from before the first slow one does not show the server's present state.
    const isOld = this.#limit.isSlowing && held.since <= this.#slowSince;
    this.#observeOutcome(isOld ? { ...release, firstByte: null } : release);
    return held;
  }

  /** Starts to count the requests in flight. The caller sends `takeover` to `routers`. */
  startCount(routers: readonly RouterName[]): void {
    const since = this.#dependencies.clock.now();
    this.#count = { kind: 'asking', since, pending: new Set(routers) };
    this.markQueried(routers);
    this.#finishQuery();
  }

  /** Records that `routers` were asked for their permits again, to find lost ones. */
  markQueried(routers: readonly RouterName[]): void {
    for (const router of routers) this.#queriedAt.set(router, this.#dependencies.clock.now());
  }

  /** Handles a reply to `takeover`. Only the first one adds permits; a repeated one may be outdated. */
  applyHolding(from: RouterName, incarnation: Incarnation, { fence, permits }: HeldPermits): void {
    const queriedAt = this.#queriedAt.get(from);
    if (fence !== this.fence || queriedAt === undefined) return;
    this.#queriedAt.delete(from);
    const { clock, metrics } = this.#dependencies;
    const known = new Set(permits.map(({ id }) => id));
    const lost = this.#permits.dropLost(from, known, queriedAt - maxPermitTransit);
    for (let index = 0; index < lost; index += 1) metrics.count('keeper.lostPermit');
    if (this.#count.kind === 'counted') return;
    const since = clock.now();
    for (const permit of permits) {
      this.#permits.add({ permit, to: from, incarnation, since, received: true });
    }
    if (this.#count.kind === 'asking') this.#count.pending.delete(from);
    this.#finishQuery();
  }

  /** Handles a load report that was requested at `sent`. */
  applyLoadReport(load: LoadReport, sent: Milliseconds): void {
    const at = sent - load.age;
    this.#lastReportAt = this.#dependencies.clock.now();
    this.#lastReportRequestedAt = sent;
    this.#isReportedLeaving = load.leaving;
    const leaving = load.leaving || this.#isOutOfService;
    this.#observe({ kind: 'reported', boot: load.boot, leaving });
    this.#lacksModel =
      this.#dependencies.model !== undefined && !load.models.includes(this.#dependencies.model);
    this.#permits.report({ count: load.running + load.waiting, at }, this.#maxUnusedTime());
    this.#finishQuery();
    if (this.#count.kind !== 'answered' || at < this.#count.at) return;
    this.#permits.countUnattributed(this.#maxUnusedTime());
    this.#count = { kind: 'counted' };
  }

  /** Applies limits and timeouts; to be called at least once per load poll. */
  tick(limits: ServerLimits, isOutOfService: boolean): void {
    this.#isOutOfService = isOutOfService;
    this.#observe({ kind: 'limits', limits });
    this.#observe({ kind: 'leaving', leaving: isOutOfService || this.#isReportedLeaving });
    if (this.#dependencies.clock.now() - this.#lastReportAt >= suspectTimeout) {
      this.#observe({ kind: 'unreported' });
    }
    this.#finishQuery();
  }

  /** Updates the authority. True if it was regained, so that permits have to be counted again. */
  refreshAuthority(): boolean {
    const before = this.#authority;
    this.#authority = this.#dependencies.authority(this.#limit.phase);
    return before === 'none' && this.#authority !== 'none' && this.#count.kind === 'counted';
  }

  /** Permits above the limit of a server that turned cold, which have to be revoked. */
  excessPermits(): readonly HeldPermit[] {
    if (this.#limit.phase !== 'cold') this.#hasExcessPermits = false;
    if (!this.#hasExcessPermits) return [];
    const excess = this.#permits.newest(this.#permits.ownCount() - this.#limit.limit);
    this.#hasExcessPermits = excess.length > 0;
    return excess;
  }

  /** Whether the model of the service was missing in the last load report. */
  lacksModel(): boolean {
    return this.#lacksModel;
  }

  /** Routers to ask for their permits because a grant or a release may have been lost. */
  routersToQuery(): readonly RouterName[] {
    return this.#permits.routersToQuery(this.#dependencies.clock.now());
  }

  /** Handles the end of all incarnations of the router except `kept`. */
  dropRouter(router: RouterName, kept: Incarnation | undefined): void {
    this.#permits.dropRouter(router, kept, this.#dependencies.clock.now());
  }

  /** Stops granting for good. */
  freeze(): void {
    this.#isFrozen = true;
  }

  #observe(observation: Observation): void {
    const before = this.#limit;
    this.#limit = before.after(observation);
    if (!before.isSlowing) this.#slowSince = this.#dependencies.clock.now();
    if (this.#limit.phase !== 'cold') return;
    const known = before.boot === '' ? this.#dependencies.inherited?.boot : before.boot;
    const restarted = known !== undefined && known !== this.#limit.boot;
    const wasWarm = before.phase === 'warm' || before.phase === 'warming';
    if (!wasWarm && !restarted) return;
    this.#hasExcessPermits = true;
    this.#dependencies.metrics.count('keeper.cut');
  }

  #observeOutcome({ outcome, firstByte }: Release): void {
    switch (outcome) {
      case 'used':
        this.#observe({ kind: 'completed', firstByte });
        return;
      case 'refused':
      case 'broken':
        this.#observe({ kind: 'refused' });
        return;
      case 'unused':
        this.#dependencies.metrics.count('keeper.unused');
        return;
      case 'cancelled':
        return;
    }
  }

  #finishQuery(): void {
    if (this.#count.kind !== 'asking') return;
    const now = this.#dependencies.clock.now();
    if (this.#count.pending.size > 0 && now - this.#count.since < takeoverTimeout) return;
    this.#count = { kind: 'answered', at: now };
  }

  /**
   * Time for which a permit may still be unused. On a server that is not warm, a permit explains a
   * reported request only after its expiry, when it cannot be unused any more.
   */
  #maxUnusedTime(): Milliseconds {
    return this.#limit.phase === 'warm' ? 0 : permitExpiry;
  }

  #assertMayGrant(): void {
    const counted = this.#permits.ownCount();
    const authority = this.#dependencies.authority(this.#limit.phase);
    assertInvariant(
      this.#dependencies.metrics,
      counted < this.#limit.limit && authority !== 'none' && !this.#isFrozen,
      `grant on ${this.server} with ${counted} of ${this.#limit.limit} in flight, authority ${authority}`,
    );
  }
}
