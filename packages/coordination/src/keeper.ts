// The one place that grants permits for a server. It never grants above the limit, whatever is lost,
// late or repeated, because everything it is unsure of counts as in flight.

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
import type { Turn } from './demandBook.js';
import { assertInvariant } from './invariant.js';
import type { Metrics } from './ports.js';
import type { HeldPermit } from './permitBook.js';
import { PermitBook, permitExpiry } from './permitBook.js';
import type { Inheritance, Limits, Observation } from './serverLimit.js';
import { ServerLimit } from './serverLimit.js';

/** Time after which a new keeper stops waiting for `holding`: unused permit expiry plus load report lag. */
export const takeoverWait: Milliseconds = 2_000;
/** A server without a load report for this long is suspect. */
const suspectTime: Milliseconds = 2_000;
/** After this a permit has been received and used or returned: link liveness plus permit expiry. */
const permitSettle: Milliseconds = 1_500 + permitExpiry;

export interface KeeperParts {
  readonly self: Router;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly server: ServerName;
  readonly service: ServiceName;
  readonly limits: Limits;
  /** Model that the server has to have loaded; undefined for a plain service. */
  readonly model: string | undefined;
  readonly fence: FencingToken;
  readonly inherited: Inheritance | undefined;
  /** Unique number of each grant of this router. */
  readonly nextId: () => number;
  /** What this router may do now to a server of this fence in the given phase. */
  readonly authority: (phase: ServerPhase) => Authority;
}

/** How far a new keeper is with finding out what is in flight. */
type Count =
  | { readonly kind: 'asking'; readonly since: Milliseconds; readonly open: Set<RouterName> }
  /** Everybody answered, or the wait is over; a load report newer than `at` is missing. */
  | { readonly kind: 'answered'; readonly at: Milliseconds }
  | { readonly kind: 'counted' };

/** Keeps one server. Makes no requests itself; times are on the own clock. */
export class Keeper {
  readonly #parts: KeeperParts;
  readonly #permits = PermitBook.create();
  #limit: ServerLimit;
  #count: Count = { kind: 'answered', at: Infinity };
  /** Routers that were asked for their permits, and when. */
  readonly #asked = new Map<RouterName, Milliseconds>();
  #authority: Authority = 'none';
  #reportedAt: Milliseconds;
  #reportedLeaving = false;
  /** When the last load report was asked for. */
  #reportSent: Milliseconds = 0;
  /**
   * When the server last refused a request. It gets nothing more until a load report shows that it is
   * there: the permits of a dead server are always free and would attract request after request.
   */
  #refusedAt = Number.NEGATIVE_INFINITY;
  /** When the present run of slow first bytes began. */
  #slowAt = Number.NEGATIVE_INFINITY;
  #isOut = false;
  #lacksModel = false;
  /** The server turned cold with more in flight than it bears. */
  #isCut = false;
  #isFrozen = false;

  private constructor(parts: KeeperParts) {
    this.#parts = parts;
    this.#limit = ServerLimit.create(parts.limits, parts.inherited);
    this.#reportedAt = parts.clock.now();
  }

  /** A keeper that grants nothing before `ask`, the answers to it and a load report. */
  static create(parts: KeeperParts): Keeper {
    return new Keeper(parts);
  }

  get server(): ServerName {
    return this.#parts.server;
  }

  get service(): ServiceName {
    return this.#parts.service;
  }

  get fence(): FencingToken {
    return this.#parts.fence;
  }

  state(): KeeperState {
    return {
      server: this.server,
      service: this.service,
      fence: this.fence,
      authority: this.#parts.authority(this.#limit.phase),
      phase: this.#limit.phase,
      limit: this.#limit.limit,
      inFlight: this.#permits.inFlight(),
      boot: this.#limit.boot,
    };
  }

  /** Permits that are out, for a handover. */
  permits(): readonly Permit[] {
    return this.#permits.all().map(({ permit }) => permit);
  }

  /** Permits that may be granted now; 0 without authority or while the count is not finished. */
  free(): number {
    if (this.#isFrozen || this.#lacksModel || this.#count.kind !== 'counted') return 0;
    if (this.#refusedAt >= this.#reportSent) return 0;
    if (this.#authority === 'none') return 0;
    if (this.#parts.authority(this.#limit.phase) === 'none') return 0;
    return Math.max(0, this.#limit.limit - this.#permits.inFlight());
  }

  /** Grants one permit. Throws `InvariantViolation` if none is free; callers check `free` first. */
  grant({ to, team, sequence }: Turn, incarnation: Incarnation): Permit {
    const { self, clock, nextId } = this.#parts;
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
    this.#parts.metrics.count('keeper.grant');
    return permit;
  }

  /** Takes note of a first byte that took long. */
  started(from: RouterName, { id, firstByte }: FirstByteReport): void {
    if (this.#permits.holder(id) !== from) return;
    this.#observe({ kind: 'started', firstByte });
  }

  /** Takes a permit back; undefined if `from` does not hold it. */
  release(from: RouterName, release: Release): HeldPermit | undefined {
    const used = release.outcome !== 'unused';
    const held = this.#permits.remove(release.id, from, used, this.#parts.clock.now());
    if (held === undefined) {
      this.#parts.metrics.count('keeper.unknownRelease');
      return undefined;
    }
    if (release.outcome === 'refused') this.#refusedAt = this.#parts.clock.now();
    // A request that began before the first slow one says nothing about the server since.
    const isOld = this.#limit.isSlowing && held.since <= this.#slowAt;
    this.#observeOutcome(isOld ? { ...release, firstByte: null } : release);
    return held;
  }

  /** Starts to find out what is in flight; `routers` are sent `takeover` by the caller. */
  ask(routers: readonly RouterName[]): void {
    const since = this.#parts.clock.now();
    this.#count = { kind: 'asking', since, open: new Set(routers) };
    this.remind(routers);
    this.#settleCount();
  }

  /** Notes that `routers` were asked again for their permits, to find those that got lost. */
  remind(routers: readonly RouterName[]): void {
    for (const router of routers) this.#asked.set(router, this.#parts.clock.now());
  }

  /** An answer to `takeover`. Only the first answer adds permits; a repeated one may be out of date. */
  holding(from: RouterName, incarnation: Incarnation, { fence, permits }: HeldPermits): void {
    const asked = this.#asked.get(from);
    if (fence !== this.fence || asked === undefined) return;
    this.#asked.delete(from);
    const { clock, metrics } = this.#parts;
    const known = new Set(permits.map(({ id }) => id));
    const lost = this.#permits.retain(from, known, asked - permitSettle);
    for (let index = 0; index < lost; index += 1) metrics.count('keeper.lostPermit');
    if (this.#count.kind === 'counted') return;
    const since = clock.now();
    for (const permit of permits) {
      this.#permits.add({ permit, to: from, incarnation, since, received: true });
    }
    if (this.#count.kind === 'asking') this.#count.open.delete(from);
    this.#settleCount();
  }

  /** A load report that was asked for at `sent`. */
  reported(load: LoadReport, sent: Milliseconds): void {
    const at = sent - load.age;
    this.#reportedAt = this.#parts.clock.now();
    this.#reportSent = sent;
    this.#reportedLeaving = load.leaving;
    const leaving = load.leaving || this.#isOut;
    this.#observe({ kind: 'reported', boot: load.boot, leaving });
    this.#lacksModel = this.#parts.model !== undefined && !load.models.includes(this.#parts.model);
    this.#permits.report({ count: load.running + load.waiting, at }, this.#slack());
    this.#settleCount();
    if (this.#count.kind !== 'answered' || at < this.#count.at) return;
    this.#permits.recount(this.#slack());
    this.#count = { kind: 'counted' };
  }

  /** Passes of time: to be called at least once per load poll. `isOut` tells a drained or leaving VM. */
  tick(limits: Limits, isOut: boolean): void {
    this.#isOut = isOut;
    this.#observe({ kind: 'limits', limits });
    this.#observe({ kind: 'leaving', leaving: isOut || this.#reportedLeaving });
    if (this.#parts.clock.now() - this.#reportedAt >= suspectTime) {
      this.#observe({ kind: 'unreported' });
    }
    this.#settleCount();
  }

  /** Notes the authority. True if it came back and permits have to be counted again. */
  refresh(): boolean {
    const before = this.#authority;
    this.#authority = this.#parts.authority(this.#limit.phase);
    return before === 'none' && this.#authority !== 'none' && this.#count.kind === 'counted';
  }

  /** Permits beyond the limit of a server that turned cold; they have to be revoked. */
  excess(): readonly HeldPermit[] {
    if (this.#limit.phase !== 'cold') this.#isCut = false;
    if (!this.#isCut) return [];
    const excess = this.#permits.newest(this.#permits.counted() - this.#limit.limit);
    this.#isCut = excess.length > 0;
    return excess;
  }

  /** Whether the last load report lacks the model of the service. */
  lacksModel(): boolean {
    return this.#lacksModel;
  }

  /** Routers to ask because permits may have got lost on the way. */
  doubtful(): readonly RouterName[] {
    return this.#permits.doubtful(this.#parts.clock.now());
  }

  /** The router is gone, or only `keep` of its incarnations is left. */
  orphan(router: RouterName, keep: Incarnation | undefined): void {
    this.#permits.orphan(router, keep, this.#parts.clock.now());
  }

  /** Grants nothing from now on. */
  freeze(): void {
    this.#isFrozen = true;
  }

  #observe(observation: Observation): void {
    const before = this.#limit;
    this.#limit = before.after(observation);
    if (!before.isSlowing) this.#slowAt = this.#parts.clock.now();
    if (this.#limit.phase !== 'cold') return;
    const known = before.boot === '' ? this.#parts.inherited?.boot : before.boot;
    const restarted = known !== undefined && known !== this.#limit.boot;
    const wasWarm = before.phase === 'warm' || before.phase === 'warming';
    if (!wasWarm && !restarted) return;
    this.#isCut = true;
    this.#parts.metrics.count('keeper.cut');
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
        this.#parts.metrics.count('keeper.unused');
        return;
      case 'cancelled':
        return;
    }
  }

  #settleCount(): void {
    if (this.#count.kind !== 'asking') return;
    const now = this.#parts.clock.now();
    if (this.#count.open.size > 0 && now - this.#count.since < takeoverWait) return;
    this.#count = { kind: 'answered', at: now };
  }

  /** A cold server gets the benefit of no doubt: a permit counts as used only once it cannot be unused. */
  #slack(): Milliseconds {
    return this.#limit.phase === 'warm' ? 0 : permitExpiry;
  }

  #assertMayGrant(): void {
    const counted = this.#permits.counted();
    const authority = this.#parts.authority(this.#limit.phase);
    assertInvariant(
      this.#parts.metrics,
      counted < this.#limit.limit && authority !== 'none' && !this.#isFrozen,
      `grant on ${this.server} with ${counted} of ${this.#limit.limit} in flight, authority ${authority}`,
    );
  }
}
