// Combines the routing decisions of one router: candidate servers, placement, queueing of requests that have to wait,
// and the load reports that it sends to other routers. Experiments also drive other builds of this module, so the
// members of Dispatcher and of its parameters and results keep their names.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import {
  Admission,
  latestFirstEvent,
  type AdmissionResult,
  type Job,
  type ServerSnapshot,
} from './admission.js';
import { ColdStartLimiter, type ColdRateBound, type ColdShare } from './coldStart.js';
import { EngineTiming } from './engineTiming.js';
import { HoldOffs } from './holdOffs.js';
import { PoisonGuard, type CrashEvidence, type PartChange } from './poisonGuard.js';
import { PrefixHomes } from './prefixHomes.js';
import {
  LocalLoads,
  noLoad,
  sumLoads,
  type InFlightRequest,
  type Load,
  type LoadMap,
} from './loads.js';
import type { Prompt, Route, Server, Service, Team } from './model.js';
import { chooseServer, type Candidate, type Placement, type Timing } from './placement.js';
import { ResponseTimes, type ResponseDuration } from './responseTimes.js';
import { RetryBudget, type RetryBound } from './retryBudget.js';
import { Reports, type Report, type Reporter } from './reports.js';
import { PrefixCacheIndex, type CachedPart } from './prefixCacheIndex.js';
import type { RouteTable } from './routeTable.js';
import { ServerTable, type KnownServer } from './serverTable.js';
import { ServerHealth, type HealthChange, type ServerOutcome } from './serverHealth.js';
import { instanceKey, isSameInstance, type ServerInstance } from './serverInstance.js';
import { TeamUsage, type Charge } from './teamUsage.js';
import { TimeBudgets } from './timeBudgets.js';
import { UnreportedParts } from './unreportedParts.js';
import type { WorkTimer } from './workTimer.js';

/**
 * Fraction of a request's latency target that other requests' prefill may take before its own. The rest is
 * for its own prefill.
 */
const backlogFraction = 0.15;
/** Largest prefill backlog, in tokens, at which a first token is used to learn the service's timing. */
const maxLearningBacklog = 1_000;
/** Fraction of its batch below which a server counts as free; each step takes longer in a fuller batch. */
const freeBatchFraction = 0.75;
/**
 * A team yields to one with requests queued at other routers if it has received this many times as much
 * service.
 */
const yieldFactor = 1.5;
/** Average length of a response, as a fraction of its output limit. */
const outputFraction = 0.5;
/** Cost of generating a token, relative to prefilling one. */
const outputTokenWeight = 2;
/**
 * Time after the last complete response of a route for which its response times count. Without an end, a route whose responses
 * took as long as callers wait would be refused for ever.
 */
const durationLifetime: Milliseconds = 5_000;
/** Max prompt parts in one report, so that it fits a datagram. */
const maxReportedParts = 12;
/** Max prompt parts in a data centre's summary, to which some twenty routers contribute. */
const maxSummaryParts = 60;
/** Max servers in one report that are leaving by their own word; the rest follows when these are gone. */
const maxReportedDepartures = 16;

/** A request to be placed on a server. */
export interface Request {
  readonly route: Route;
  readonly service: string;
  readonly team: Team | undefined;
  readonly prompt: Prompt | undefined;
  readonly arrived: Milliseconds;
  readonly deadline: Milliseconds;
  /** Time by which the response has to be complete since its connection ends; left out if none is known. */
  readonly stopsAt?: Milliseconds;
  /** Servers that have already failed the request. */
  readonly avoid: ReadonlySet<string>;
  /** Whether the caller already has a part of the response. */
  readonly isContinuation?: boolean;
  /** When the caller got the last part of it; left out if it has none. */
  readonly progressedAt?: Milliseconds | undefined;
}

/** A server for one attempt of a request. The caller has to call `finish` exactly once. */
export interface Grant {
  readonly kind: 'server';
  readonly server: KnownServer;
  /** Predicted time to the first event of a stream, or to the response. */
  readonly predicted: Milliseconds;
  /** Prompt tokens that the server has to prefill, since they are not in its prefix cache. */
  readonly missing: number;
  /** The share of the server's rate that the request took, if the server was treated as cold. */
  readonly coldShare?: ColdShare;
  /** Marks that the first event has arrived. */
  started(): void;
  /** Marks that bytes of a successful response have arrived. */
  progressed(): void;
  /** Marks that the server has sent nothing for longer than expected, which counts as one failure of it. */
  silent(): void;
  /** Ends the attempt. `result` is omitted if the attempt says nothing about the server's health. */
  finish(result?: ServerOutcome): void;
}

/** The reason why a request gets no server. */
export type Rejection = Extract<AdmissionResult, { readonly kind: 'refused' }>;

export interface DispatcherOptions {
  readonly clock: Clock;
  /** Measures the event loop time spent on choosing servers for requests. */
  readonly work: WorkTimer;
  readonly self: string;
  readonly dataCentre: string;
  /** Region of each data centre. */
  readonly regionOf: Readonly<Record<string, string>>;
  /** Bound on the rate of requests to a cold server. */
  readonly cold: ColdRateBound;
  /** Bound on retries. */
  readonly repeats: RetryBound;
  /** Names of all routers that may be running, this one included. */
  readonly routers: () => readonly string[];
  /** Names of the routers that callers are sent to; the same on all routers, empty while this one does not know them. */
  readonly entrances: () => readonly string[];
  /** Called when the result of an attempt changes the health of a server. */
  readonly onServer?: (server: string, change: HealthChange, failureRate: number) => void;
  /** Called when a prompt part is blocked, since servers end under it, or released. */
  readonly onPart?: (change: PartChange) => void;
  /** Called with what is thrown outside the placement of a single request. */
  readonly onError?: (error: unknown) => void;
  /** Whether connections to the address are refused; asked of a server that may have ended. */
  readonly isRefused?: (address: string) => Promise<boolean>;
}

/** Places the requests of one router. */
export class Dispatcher {
  readonly servers: ServerTable;
  readonly serverHealth: ServerHealth;
  readonly retryBudget: RetryBudget;
  readonly #loads = LocalLoads.create();
  readonly #reports: Reports;
  readonly #prefixCaches = PrefixCacheIndex.create();
  readonly #coldStart: ColdStartLimiter;
  readonly #holdOffs: HoldOffs;
  readonly #poisonGuard: PoisonGuard;
  readonly #teamUsage: TeamUsage;
  readonly #timeBudgets: TimeBudgets;
  readonly #admission: Admission;
  readonly #engineTimings = new Map<string, EngineTiming>();
  /** By route, with the time of the last complete response. */
  readonly #responseTimes = new Map<
    string,
    { readonly times: ResponseTimes; readonly at: Milliseconds }
  >();
  /** By service; cleared whenever the set of servers changes. */
  readonly #prefixHomes = new Map<string, PrefixHomes>();
  readonly #requests = new WeakMap<Job, Request>();
  readonly #grants = new WeakMap<Job, Grant>();
  /** Parts cached by requests of this router, not yet sent in a report. */
  readonly #unreportedParts = UnreportedParts.create();
  /** Keys of instances whose end is being verified. */
  readonly #verifying = new Set<string>();
  /** Recently cached parts reported by routers of this data centre, not yet sent in a summary. */
  #summaryParts: readonly CachedPart[] = [];
  #table: RouteTable | undefined;
  /** Data centres out of service. */
  #evacuated: ReadonlySet<string> = new Set();

  private constructor(private readonly options: DispatcherOptions) {
    const { clock, self, routers, entrances } = options;
    this.servers = ServerTable.create(clock);
    this.serverHealth = ServerHealth.create(clock);
    this.retryBudget = RetryBudget.create(clock, options.repeats, () => routers().length);
    this.#reports = Reports.create(clock);
    this.#coldStart = ColdStartLimiter.create(clock, options.cold, self, entrances);
    this.#holdOffs = HoldOffs.create(clock);
    this.#poisonGuard = PoisonGuard.create(
      clock,
      self,
      (change) => {
        options.onPart?.(change);
      },
      {
        instanceOf: (id) => this.servers.get(id),
        idAt: (address) => this.servers.idAt(address),
        isRefused: (address) => options.isRefused?.(address) ?? Promise.resolve(false),
      },
    );
    this.#teamUsage = TeamUsage.create(clock);
    this.#timeBudgets = TimeBudgets.create(clock);
    this.#admission = Admission.create(
      clock,
      options.work,
      { snapshot: () => this.#snapshot() },
      options.onError,
    );
  }

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** The desired state in force; undefined before the first one is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.#admission.length;
  }

  /** Puts a version of the desired state in force and places queued requests by it. */
  apply(table: RouteTable): void {
    this.#table = table;
    this.#retain(table);
    this.#admission.placeQueued();
  }

  /**
   * Applies the set of current server registrations. `storeAway`: the store has recently been unreachable.
   */
  applyServers(present: readonly Server[], storeAway: boolean): void {
    this.#forget(this.servers.update(present, storeAway));
    this.#poisonGuard.recordRegistrations();
    this.#prefixHomes.clear();
    this.#admission.placeQueued();
  }

  /**
   * Records that a server has said in a response, to this router or to another one, that it is leaving. It gets no further
   * requests, whatever its registration says. Returns whether that is news.
   */
  recordLeaving(instance: ServerInstance): boolean {
    if (!this.servers.recordLeaving(instance)) return false;
    this.#prefixHomes.clear();
    this.#admission.placeQueued();
    return true;
  }

  /**
   * Records that a server has asked this router for no requests for `duration`. Returns whether it wanted requests until
   * now.
   */
  recordHoldOff(instance: ServerInstance, duration: Milliseconds): boolean {
    return !this.servers.isReplaced(instance) && this.#holdOffs.record(instance, duration);
  }

  /** Servers that are leaving by their own word, to be reported to other routers. */
  announcedLeaving(): readonly ServerInstance[] {
    return this.servers.announcedLeaving().slice(0, maxReportedDepartures);
  }

  /** Sets the data centres that are out of service. Servers of one that returns are treated as cold. */
  evacuate(dataCentres: ReadonlySet<string>): void {
    for (const server of this.servers.all()) {
      const isBack = this.#evacuated.has(server.dataCentre) && !dataCentres.has(server.dataCentre);
      if (isBack) this.servers.markCold(server, this.#service(server.service)?.warmup ?? 0);
    }
    this.#evacuated = dataCentres;
    this.#admission.placeQueued();
  }

  /**
   * Finds a server for the request, waiting for one if necessary; otherwise says why the request is refused.
   */
  async acquire(request: Request, signal: AbortSignal): Promise<Grant | Rejection> {
    const job: Job = {
      service: request.service,
      team: request.team?.name ?? '',
      priority: request.team?.priority ?? request.route.priority,
      arrived: request.arrived,
      targetTime: request.arrived + request.route.aim,
      // A caller that has a part of the response waits for the next one, however old the request is.
      firstEventDeadline: (request.progressedAt ?? request.arrived) + request.route.patience,
      deadline: request.deadline,
      stopsAt: request.stopsAt ?? Infinity,
      duration: this.#durationOf(request),
      cost: requestCost(request.prompt),
      isContinuation: request.isContinuation ?? false,
      isReturn: this.#timeBudgets.observe(request.route.name, request.deadline - request.arrived),
    };
    this.#requests.set(job, request);
    const admitted = await this.#admission.admit(job, signal);
    if (admitted.kind === 'refused') return admitted;
    const grant = this.#grants.get(job);
    if (grant === undefined) throw new Error('a job was admitted without a grant');
    return grant;
  }

  /** Periodic work: drops expired reports and servers, and tries to place queued requests. */
  tick(): void {
    this.#reports.expire();
    this.#holdOffs.expire();
    this.#coldStart.expire();
    this.#forget(this.servers.expire());
    this.#poisonGuard.tick();
    this.#admission.placeQueued();
  }

  /** Age of the oldest report of another router that is still in use; undefined if there is none. */
  reportAge(): Milliseconds | undefined {
    return this.#reports.oldestAge();
  }

  /** Tokens of service that the team has recently received in the whole fleet. */
  received(team: string): number {
    return this.#teamUsage.received(team) + this.#reports.received(team);
  }

  /** Tokens of service of the team that has recently received most in the whole fleet. */
  mostReceived(): number {
    const own = this.#teamUsage.byTeam();
    const teams = new Set([...own.keys(), ...this.#reports.teams()]);
    return Math.max(0, ...[...teams].map((team) => this.received(team)));
  }

  /**
   * Fraction of the inference servers that could start one more request at once, as far as this router knows;
   * 1 if there are no inference servers.
   */
  freeServerFraction(): number {
    const engines = this.engineServers().filter(({ isLeaving, dataCentre }) => {
      return !isLeaving && !this.#evacuated.has(dataCentre);
    });
    if (engines.length === 0) return 1;
    return engines.filter((server) => this.#isFree(server)).length / engines.length;
  }

  /** What has been learned about the engines of each service. */
  engineTimings(): ReadonlyMap<string, EngineTiming> {
    return this.#engineTimings;
  }

  /** Inference servers, which have a prefix cache. */
  engineServers(): readonly KnownServer[] {
    return this.servers.all().filter((server) => this.#engineMemoryOf(server) > 0);
  }

  /** Prompt parts that are probably in the prefix caches of servers. */
  cachedParts(): readonly CachedPart[] {
    return this.#prefixCaches.all();
  }

  /** Adds prompt parts that other routers, or servers, report as cached. */
  addCachedParts(parts: readonly CachedPart[]): void {
    for (const { server, part, tokens } of parts) {
      const known = this.servers.get(server);
      const memory = known === undefined ? 0 : this.#engineMemoryOf(known);
      if (known !== undefined && memory > 0) this.#prefixCaches.add(known, memory, part, tokens);
    }
  }

  /** Makes the next report to other routers. Each cached part is reported once. */
  report(): Report {
    const parts = this.#unreportedParts.take(maxReportedParts);
    this.#keepForSummary(parts);
    return { ...this.#ownReport(), parts };
  }

  /** Makes the next summary of this data centre for other data centres. Each cached part is reported once. */
  summary(): Report {
    const parts = this.#summaryParts;
    this.#summaryParts = [];
    return this.#reports.summary({ ...this.#ownReport(), parts });
  }

  /** Applies a report of another router, or a summary of another data centre. */
  hear(reporter: Reporter, report: Report): void {
    this.#reports.receive(reporter, report);
    if (reporter.kind === 'router') this.#keepForSummary(report.parts);
    this.addCachedParts(report.parts);
    this.#admission.placeQueued();
  }

  /** What other routers are to know about prompt parts under which servers end. */
  crashEvidence(scope: 'own' | 'all'): CrashEvidence {
    return this.#poisonGuard.evidence(scope);
  }

  /** Applies what another router has seen of servers that ended. */
  hearCrashEvidence(evidence: CrashEvidence): void {
    for (const instance of this.#poisonGuard.hear(evidence)) {
      const key = instanceKey(instance);
      // Several routers report the same end.
      if (this.#verifying.has(key)) continue;
      this.#verifying.add(key);
      this.#verifyEnd(instance)
        .catch((error: unknown) => this.options.onError?.(error))
        .finally(() => this.#verifying.delete(key));
    }
  }

  /**
   * Looks whether an instance has ended that another router could not reach, so that no request is tried there. The other router may
   * be cut off itself.
   */
  async #verifyEnd(instance: ServerInstance): Promise<void> {
    if (this.serverHealth.isUnreachable(instance) || !this.servers.isRegistered(instance)) return;
    const isRefused = await this.options.isRefused?.(instance.address);
    const server = this.servers.get(instance.id);
    if (isRefused !== true || server === undefined || !isSameInstance(server, instance)) return;
    const service = this.#service(server.service);
    if (service === undefined) return;
    this.#recordOutcome(server, service, 'ended');
    this.#admission.placeQueued();
  }

  #ownReport(): Report {
    return {
      loads: this.#loads.all(),
      teams: this.#teamUsage.byTeam(),
      waiting: this.#admission.queuedLoads(),
      least: this.#leastReceived(),
      parts: [],
    };
  }

  #keepForSummary(parts: readonly CachedPart[]): void {
    if (parts.length > 0)
      this.#summaryParts = [...this.#summaryParts, ...parts].slice(-maxSummaryParts);
  }

  /** A snapshot for one pass over the queue; lookups that many requests share are memoized. */
  #snapshot(): ServerSnapshot {
    const received = memoized((team: string) => this.received(team));
    const usable = memoized((service: string) => this.#usableServers(service));
    let mostReceived: number | undefined;
    return {
      received,
      mostReceived: () => (mostReceived ??= this.mostReceived()),
      place: (job, ahead) => this.#place(job, ahead, usable(job.service), received(job.team)),
    };
  }

  #place(job: Job, ahead: LoadMap, usable: readonly KnownServer[], received: number): Placement {
    const request = this.#requests.get(job);
    const service = this.#service(job.service);
    if (request === undefined || service === undefined) return { kind: 'none' };
    const { prompt } = request;
    const blockedFor = this.#poisonGuard.blockedFor(prompt);
    if (blockedFor > 0) return { kind: 'blocked', blockedFor };
    const candidates = this.#candidates(request, service, usable, ahead, received);
    const timing = this.#timing(service, request.route);
    const memory = requestMemory(prompt);
    const home = prompt === undefined ? undefined : this.#homesOf(service.name).homeOf(prompt);
    const placement = chooseServer(candidates, timing, home, memory);
    if (placement.kind === 'none') return { ...placement, ...this.#availability(service.name) };
    if (placement.kind !== 'server') return placement;
    // A response that cannot be complete by its deadline gets no server, whether or not one has room.
    if (this.options.clock.now() + placement.predicted > latestFirstEvent(job))
      return { ...placement, kind: 'wait' };
    const server = this.servers.get(placement.id);
    if (server === undefined) throw new Error(`the chosen server ${placement.id} is unknown`);
    const missing = placement.addedLoad.unread;
    const unreadBefore = this.#fleetLoad(server).unread;
    const inFlight = this.#loads.begin(server, missing, memory);
    const charge = this.#teamUsage.charge(job.team, job.cost);
    try {
      const counted = { unreadBefore, missing, inFlight, charge };
      this.#grant(job, request, service, { server, predicted: placement.predicted }, counted);
    } catch (error) {
      inFlight.finish();
      charge.refund();
      throw error;
    }
    return placement;
  }

  #grant(
    job: Job,
    request: Request,
    service: Service,
    { server, predicted }: { readonly server: KnownServer; readonly predicted: Milliseconds },
    { unreadBefore, missing, inFlight, charge }: Reservation,
  ): void {
    const { clock } = this.options;
    const isCold = this.#hasColdRate(server);
    const coldShare = isCold ? this.#coldStart.shareOf(server, service.coldRate) : undefined;
    if (isCold) this.#coldStart.recordSent(server);
    if (request.prompt !== undefined && service.engine !== undefined)
      this.#unreportedParts.add(
        this.#prefixCaches.recordPrefill(server, service.engine.memory, request.prompt),
      );
    const run = this.#poisonGuard.begin(server, request.prompt, () => this.servers.mayEnd(server));
    const sent = clock.now();
    let startedAt: Milliseconds | undefined;
    let isFinished = false;
    let isSilent = false;
    this.#grants.set(job, {
      kind: 'server',
      server,
      predicted,
      missing,
      ...(coldShare === undefined ? {} : { coldShare }),
      started: () => {
        if (startedAt !== undefined) return;
        startedAt = clock.now();
        inFlight.started();
        // With a backlog before it, the time depends mostly on the backlog, which this router knows only in part.
        if (service.engine !== undefined && unreadBefore < maxLearningBacklog) {
          const engineTiming = this.#engineTiming(service.name);
          this.#engineTimings.set(service.name, engineTiming.observe(missing, clock.now() - sent));
        }
        this.#admission.placeQueued();
      },
      progressed: () => {
        run.progressed();
      },
      silent: () => {
        if (isSilent) return;
        isSilent = true;
        this.#recordOutcome(server, service, 'failed');
      },
      finish: (result) => {
        inFlight.finish();
        run.finished(result);
        if (!isFinished && startedAt === undefined) charge.refund();
        if (!isFinished && result === 'answered')
          this.#learnDuration(request, predicted, sent, startedAt ?? clock.now());
        isFinished = true;
        const isCounted = isSilent && result === 'failed';
        if (result !== undefined && !isCounted) this.#recordOutcome(server, service, result);
        this.#admission.placeQueued();
      },
    });
  }

  /** Time that the response to the request takes; undefined if none of its route was seen lately. */
  #durationOf({ route, prompt }: Request): ResponseDuration | undefined {
    const known = this.#responseTimes.get(route.name);
    if (known === undefined || this.options.clock.now() - known.at > durationLifetime)
      return undefined;
    return known.times.durationOf(prompt?.outputLimit);
  }

  #learnDuration(
    { route, prompt }: Request,
    predicted: Milliseconds,
    sentAt: Milliseconds,
    startedAt: Milliseconds,
  ): void {
    const known = this.#responseTimes.get(route.name)?.times ?? ResponseTimes.unknown;
    const now = this.options.clock.now();
    const lateness = startedAt - sentAt - predicted;
    const times =
      prompt === undefined
        ? known.observeWhole(now - sentAt)
        : known.observeStream(now - startedAt, prompt.outputLimit, lateness);
    this.#responseTimes.set(route.name, { times, at: now });
  }

  #recordOutcome(server: KnownServer, service: Service, outcome: ServerOutcome): void {
    // A request that was sent to a former instance says nothing about the present one.
    if (!this.servers.isRegistered(server)) return;
    const change = this.serverHealth.record(server, outcome);
    // It may have been unreachable because of a restart that its registration does not show yet.
    if (change === 'back') this.servers.markCold(server, service.warmup);
    if (change !== undefined)
      this.options.onServer?.(server.id, change, this.serverHealth.failureRate(server));
    if (outcome === 'unreachable' || outcome === 'ended') this.#prefixCaches.forget(server);
  }

  #leastReceived(): ReadonlyMap<string, number> {
    const least = new Map<string, number>();
    const received = memoized((team: string) => this.received(team));
    for (const [team, server] of this.#admission.queuedTeams())
      least.set(server, Math.min(least.get(server) ?? Infinity, received(team)));
    return least;
  }

  /** Servers of the service that may be sent requests, cold ones included. */
  #usableServers(service: string): readonly KnownServer[] {
    return this.#stayingServers(service).filter(
      (server) => this.serverHealth.isUsable(server) && this.#holdOffs.remaining(server) === 0,
    );
  }

  /** Servers of the service that are neither leaving, nor lapsed, nor in a data centre out of service. */
  #stayingServers(service: string): readonly KnownServer[] {
    return this.servers
      .all()
      .filter(
        (server) =>
          server.service === service &&
          !server.isLeaving &&
          !this.servers.hasLapsed(server) &&
          !this.#evacuated.has(server.dataCentre),
      );
  }

  /** When a server of the service wants requests again, if none wants any now. */
  #availability(service: string): { readonly availableIn?: Milliseconds } {
    const remaining = this.#stayingServers(service).map((server) =>
      this.#holdOffs.remaining(server),
    );
    const availableIn = Math.min(...remaining);
    return availableIn > 0 && Number.isFinite(availableIn) ? { availableIn } : {};
  }

  #candidates(
    request: Request,
    service: Service,
    usable: readonly KnownServer[],
    ahead: LoadMap,
    received: number,
  ): readonly Candidate[] {
    const candidates: Candidate[] = [];
    for (const server of usable) {
      const { id } = server;
      if (request.avoid.has(id) || !this.#isEligible(server, request, service)) continue;
      const least = this.#reports.least(id);
      candidates.push({
        id,
        slots: service.engine?.slots ?? server.slots,
        load: this.#fleetLoad(server),
        queuedAhead: ahead.get(id) ?? noLoad,
        // The team that has received least goes before all requests queued at other routers.
        queuedElsewhere: received <= least ? noLoad : this.#reports.waiting(id),
        uncachedTokens:
          request.prompt === undefined
            ? 0
            : this.#prefixCaches.uncachedTokens(server, request.prompt),
        failureRate: this.serverHealth.failureRate(server),
        isInOwnDataCentre: server.dataCentre === this.options.dataCentre,
        yieldsRoom: received > yieldFactor * least,
      });
    }
    return candidates;
  }

  #isFree(server: KnownServer): boolean {
    const { id, service, slots } = server;
    if (!this.serverHealth.isUsable(server) || this.#holdOffs.remaining(server) > 0) return false;
    const { unread, requests } = sumLoads(this.#fleetLoad(server), this.#reports.waiting(id));
    const engineTiming = this.#engineTiming(service);
    return (
      requests < slots * freeBatchFraction &&
      engineTiming.prefillTime(unread) < engineTiming.baseTime
    );
  }

  /** Requests in flight at the server from the whole fleet, as far as this router knows. */
  #fleetLoad(server: KnownServer): Load {
    return sumLoads(this.#loads.at(server), this.#reports.load(server.id));
  }

  /** Whether the request may run in the server's region, and the server, if cold, has rate left for it. */
  #isEligible(server: KnownServer, request: Request, service: Service): boolean {
    const region = this.options.regionOf[server.dataCentre] ?? '';
    const allows = (regions: readonly string[]): boolean =>
      regions.length === 0 || regions.includes(region);
    if (!allows(request.route.regions) || !allows(request.team?.regions ?? [])) return false;
    return !this.#hasColdRate(server) || this.#coldStart.allows(server, service.coldRate);
  }

  #homesOf(service: string): PrefixHomes {
    let homes = this.#prefixHomes.get(service);
    if (homes === undefined) {
      const servers = this.servers
        .all()
        .filter((server) => server.service === service && !server.isLeaving);
      homes = PrefixHomes.create(servers.map(({ id }) => id));
      this.#prefixHomes.set(service, homes);
    }
    return homes;
  }

  /** Whether the server is limited to the request rate of a cold one. */
  #hasColdRate(server: KnownServer): boolean {
    const { coldRate = 0 } = this.#service(server.service) ?? {};
    return coldRate > 0 && (this.servers.isCold(server) || this.serverHealth.isUnreachable(server));
  }

  #timing(service: Service, route: Route): Timing {
    const { engine } = service;
    if (engine === undefined) return { kind: 'plain' };
    const engineTiming = this.#engineTiming(service.name);
    // The backlog still includes tokens that were prefilled within the base time.
    const backlogLimit = engineTiming.baseTime + route.aim * backlogFraction;
    return { kind: 'engine', engineTiming, engine, backlogLimit };
  }

  #engineTiming(service: string): EngineTiming {
    return this.#engineTimings.get(service) ?? EngineTiming.initial;
  }

  #service(name: string): Service | undefined {
    return this.#table?.service(name);
  }

  #engineMemoryOf({ service }: KnownServer): number {
    return this.#service(service)?.engine?.memory ?? 0;
  }

  /** Drops what was learned about routes and services that the desired state does not have. */
  #retain({ state }: RouteTable): void {
    const routes = new Set(state.routes.map(({ name }) => name));
    const services = new Set(state.services.map(({ name }) => name));
    this.#timeBudgets.retain(routes);
    this.retryBudget.retain(services);
    for (const route of this.#responseTimes.keys())
      if (!routes.has(route)) this.#responseTimes.delete(route);
    for (const service of this.#engineTimings.keys())
      if (!services.has(service)) this.#engineTimings.delete(service);
  }

  /** Drops what was learned about instances that are gone or that others have replaced. */
  #forget(instances: readonly ServerInstance[]): void {
    for (const instance of instances) {
      const { id } = instance;
      this.#prefixCaches.forget(instance);
      this.serverHealth.forget(instance);
      // One that is gone may be back soon, with its requests still in flight.
      if (!this.servers.isReplaced(instance)) continue;
      this.#loads.forget(instance);
      this.#holdOffs.forget(instance);
      this.#coldStart.forget(instance);
      this.#reports.forget(id);
      this.#unreportedParts.forget(id);
      this.#summaryParts = this.#summaryParts.filter(({ server }) => server !== id);
    }
  }
}

/** What is counted for a request from its placement on. */
interface Reservation {
  /** Prompt tokens that the server had yet to prefill before this request. */
  readonly unreadBefore: number;
  /** Prompt tokens of the request that are not in the server's prefix cache. */
  readonly missing: number;
  readonly inFlight: InFlightRequest;
  readonly charge: Charge;
}

function memoized<Value>(lookup: (key: string) => Value): (key: string) => Value {
  const known = new Map<string, Value>();
  return (key) => {
    const value = known.get(key);
    if (value !== undefined) return value;
    const found = lookup(key);
    known.set(key, found);
    return found;
  };
}

/** Tokens that a team is charged for the request. */
function requestCost(prompt: Prompt | undefined): number {
  if (prompt === undefined) return 1;
  return prompt.promptTokens + outputTokenWeight * outputFraction * prompt.outputLimit;
}

/** Engine memory that the request needs in addition to shared prompt parts, in tokens. */
function requestMemory(prompt: Prompt | undefined): number {
  if (prompt === undefined) return 0;
  return (prompt.parts.at(-1)?.tokens ?? 0) + outputFraction * prompt.outputLimit;
}
