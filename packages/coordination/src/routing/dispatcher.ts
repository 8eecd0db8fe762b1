// Puts the decisions of one router together: which servers may run a request, which of them does, who
// waits, and what the other routers are told.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { Admission, type Admitted, type Job, type View } from './admission.js';
import { ColdStart, type ColdBound } from './coldStart.js';
import { EngineModel } from './engineTiming.js';
import { PrefixHomes } from './prefixHomes.js';
import { Loads, noLoad, sum, type Flight, type Load, type LoadMap } from './loads.js';
import type { Prompt, Route, Server, Service, Team } from './model.js';
import { place, type Candidate, type Placement, type Timing } from './placement.js';
import { RetryBudget, type RetryBound } from './retryBudget.js';
import { Reports, type Report, type Reporter } from './reports.js';
import { PrefixCacheIndex, type CachedPart } from './prefixCacheIndex.js';
import type { RouteTable } from './routeTable.js';
import { ServerTable, type KnownServer } from './serverTable.js';
import { ServerHealth, type HealthChange, type ServerOutcome } from './serverHealth.js';
import { TeamUsage } from './teamUsage.js';
import type { WorkTimer } from './workTimer.js';

/** Part of its aim that a request may spend behind others at a server. The rest is its own reading. */
const backlogPart = 0.15;
/** Tokens that may wait at a server from which timing is learned. */
const quietBacklog = 1_000;
/** Part of its batch below which a server counts as free; a fuller one gives tokens more slowly. */
const freeBatch = 0.75;
/** A team gives way to one that waits elsewhere if it has received this many times as much. */
const aheadFactor = 1.5;
/** Part of the output limit that an answer has on the average. */
const outputPart = 0.5;
/** Service of a generated token against that of a token that is read. */
const outputWeight = 2;
/** Parts that one report tells of at most, so that it fits a datagram. */
const reportedParts = 12;
/** The same for the report of a data centre, which some twenty routers contribute to. */
const summarizedParts = 60;

/** A request that wants a server. */
export interface Request {
  readonly route: Route;
  readonly service: string;
  readonly team: Team | undefined;
  readonly prompt: Prompt | undefined;
  readonly arrived: Milliseconds;
  readonly deadline: Milliseconds;
  /** Servers that have failed it. */
  readonly avoid: ReadonlySet<string>;
}

/** A server for one try of a request. Exactly one `finish` is due. */
export interface Grant {
  readonly kind: 'server';
  readonly server: KnownServer;
  /** Predicted time to the first event, or to the answer. */
  readonly predicted: Milliseconds;
  /** Tokens that the server has to read for it. */
  readonly missing: number;
  /** The first event came. */
  started(): void;
  /** `result` is left out if nothing can be concluded about the server. */
  finish(result?: ServerOutcome): void;
}

/** Why a request gets no server. */
export type Rejection = Extract<Admitted, { readonly kind: 'refused' }>;

export interface DispatcherOptions {
  readonly clock: Clock;
  /** Counts the time of the looks at what waits. */
  readonly work: WorkTimer;
  readonly self: string;
  readonly dataCentre: string;
  /** Region of each data centre. */
  readonly regionOf: Readonly<Record<string, string>>;
  readonly cold: ColdBound;
  readonly repeats: RetryBound;
  /** Names of all routers that may be running. */
  readonly routers: () => readonly string[];
  /** Names of the routers to which callers are sent, on which all agree. */
  readonly entrances: () => readonly string[];
  /** Called when an answer, or the lack of one, changes the belief about a server. */
  readonly onServer?: (server: string, change: HealthChange, failureRate: number) => void;
}

/** The decisions of one router. */
export class Dispatcher {
  readonly servers: ServerTable;
  readonly serverHealth: ServerHealth;
  readonly retryBudget: RetryBudget;
  readonly #loads = Loads.create();
  readonly #reports: Reports;
  readonly #residency = PrefixCacheIndex.create();
  readonly #cold: ColdStart;
  readonly #teams: TeamUsage;
  readonly #admission: Admission;
  readonly #engines = new Map<string, EngineModel>();
  /** Cleared whenever servers change. */
  readonly #homes = new Map<string, PrefixHomes>();
  readonly #requests = new WeakMap<Job, Request>();
  readonly #grants = new WeakMap<Job, Grant>();
  #parts: readonly CachedPart[] = [];
  /** The last parts that this router or others of its data centre have told of. */
  #summaryParts: readonly CachedPart[] = [];
  #table: RouteTable | undefined;
  #evacuated: ReadonlySet<string> = new Set();

  private constructor(private readonly options: DispatcherOptions) {
    const { clock, self, routers, entrances } = options;
    this.servers = ServerTable.create(clock);
    this.serverHealth = ServerHealth.create(clock);
    this.retryBudget = RetryBudget.create(clock, options.repeats, () => routers().length);
    this.#reports = Reports.create(clock);
    this.#cold = ColdStart.create(clock, options.cold, self, entrances);
    this.#teams = TeamUsage.create(clock);
    this.#admission = Admission.create(clock, options.work, { view: () => this.#view() });
  }

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** The desired state in force; undefined until one is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Requests that wait for a server. */
  get waiting(): number {
    return this.#admission.length;
  }

  /** Puts a version of the desired state in force. */
  apply(table: RouteTable): void {
    this.#table = table;
    this.#admission.pump();
  }

  /** Takes the registrations of servers that exist now. */
  applyServers(present: readonly Server[], storeAway: boolean): void {
    for (const id of this.servers.update(present, storeAway)) this.#forget(id);
    this.#homes.clear();
    this.#admission.pump();
  }

  /** Takes the data centres that are out of service. Their servers may come back cold. */
  evacuate(dataCentres: ReadonlySet<string>): void {
    for (const server of this.servers.all()) {
      const isBack = this.#evacuated.has(server.dataCentre) && !dataCentres.has(server.dataCentre);
      if (isBack) this.servers.cool(server.id, this.#service(server.service)?.warmup ?? 0);
    }
    this.#evacuated = dataCentres;
    this.#admission.pump();
  }

  /** Finds a server for the request, or says why it is refused. */
  async acquire(request: Request, signal: AbortSignal): Promise<Grant | Rejection> {
    const job: Job = {
      service: request.service,
      team: request.team?.name ?? '',
      priority: request.team?.priority ?? request.route.priority,
      arrived: request.arrived,
      aim: request.arrived + request.route.aim,
      patience: request.arrived + request.route.patience,
      deadline: request.deadline,
      cost: costOf(request.prompt),
    };
    this.#requests.set(job, request);
    const admitted = await this.#admission.admit(job, signal);
    if (admitted.kind === 'refused') return admitted;
    const grant = this.#grants.get(job);
    if (grant === undefined) throw new Error('a job was admitted without a grant');
    return grant;
  }

  /** Periodic work: forgets what is too old and looks again for servers for what waits. */
  tick(): void {
    this.#reports.expire();
    for (const id of this.servers.expire()) this.#forget(id);
    this.#admission.pump();
  }

  /** Age of the oldest report of another router that counts here; undefined if none does. */
  reportAge(): Milliseconds | undefined {
    return this.#reports.age();
  }

  /**
   * Part of the servers of models that would begin one more request at once, as far as it is known here; 1 without such
   * servers.
   */
  freeServerFraction(): number {
    const engines = this.engineServers().filter(({ isLeaving, dataCentre }) => {
      return !isLeaving && !this.#evacuated.has(dataCentre);
    });
    if (engines.length === 0) return 1;
    return engines.filter((server) => this.#isFree(server)).length / engines.length;
  }

  /** Servers that keep prompt parts. */
  engineServers(): readonly KnownServer[] {
    return this.servers.all().filter(({ id }) => this.#memoryOf(id) > 0);
  }

  /** All parts that servers have probably kept. */
  cachedParts(): readonly CachedPart[] {
    return this.#residency.all();
  }

  /** Takes parts that another router knows of. */
  addCachedParts(parts: readonly CachedPart[]): void {
    for (const { server, part, tokens } of parts) {
      const memory = this.#memoryOf(server);
      if (memory > 0) this.#residency.learn(server, memory, part, tokens);
    }
  }

  /** What the other routers are to know. Parts are told once. */
  report(): Report {
    const parts = this.#parts.slice(0, reportedParts);
    this.#parts = this.#parts.slice(reportedParts);
    this.#keepForSummary(parts);
    return { ...this.#own(), parts };
  }

  /** What other data centres are to know of the routers of this one. Parts are told once. */
  summary(): Report {
    const parts = this.#summaryParts;
    this.#summaryParts = [];
    return this.#reports.summary({ ...this.#own(), parts });
  }

  /** Takes what another router tells. */
  hear(reporter: Reporter, report: Report): void {
    this.#reports.hear(reporter, report);
    if (reporter.kind === 'router') this.#keepForSummary(report.parts);
    this.addCachedParts(report.parts);
    this.#admission.pump();
  }

  #own(): Report {
    return {
      loads: this.#loads.all(),
      teams: this.#teams.own(),
      waiting: this.#admission.waitingLoads(),
      least: this.#least(),
      parts: [],
    };
  }

  #keepForSummary(parts: readonly CachedPart[]): void {
    if (parts.length > 0)
      this.#summaryParts = [...this.#summaryParts, ...parts].slice(-summarizedParts);
  }

  /** Tokens that the team has received lately in the whole fleet. */
  #received(team: string): number {
    return this.#teams.received(team) + this.#reports.received(team);
  }

  /** Looks up once what many waiting requests ask for. */
  #view(): View {
    const received = memoized((team: string) => this.#received(team));
    const usable = memoized((service: string) => this.#usable(service));
    return {
      received,
      place: (job, ahead) => this.#place(job, ahead, usable(job.service), received(job.team)),
    };
  }

  #place(job: Job, ahead: LoadMap, usable: readonly KnownServer[], received: number): Placement {
    const request = this.#requests.get(job);
    const service = this.#service(job.service);
    if (request === undefined || service === undefined) return { kind: 'none' };
    const { prompt } = request;
    const candidates = this.#candidates(request, service, usable, ahead, received);
    const timing = this.#timing(service, request.route);
    const memory = memoryOf(prompt);
    const home = prompt === undefined ? undefined : this.#homesOf(service.name).of(prompt);
    const placement = place(candidates, timing, home, memory);
    if (placement.kind === 'server')
      this.#grant(job, request, service, placement, placement.added.unread, memory);
    return placement;
  }

  #grant(
    job: Job,
    request: Request,
    service: Service,
    placement: { readonly id: string; readonly predicted: Milliseconds },
    missing: number,
    memory: number,
  ): void {
    const server = this.servers.get(placement.id);
    if (server === undefined) return;
    const { clock } = this.options;
    if (this.#isFragile(server)) this.#cold.sent(server.id);
    const unreadBefore = this.#load(server.id).unread;
    const flight: Flight = this.#loads.begin(server.id, missing, memory);
    const charge = this.#teams.serve(job.team, job.cost);
    if (request.prompt !== undefined && service.engine !== undefined)
      this.#parts = [
        ...this.#parts,
        ...this.#residency.read(server.id, service.engine.memory, request.prompt),
      ];
    const sent = clock.now();
    let isStarted = false;
    let isOver = false;
    this.#grants.set(job, {
      kind: 'server',
      server,
      predicted: placement.predicted,
      missing,
      started: () => {
        if (isStarted) return;
        isStarted = true;
        flight.started();
        // With others before it, the time says more about them and about what is not known of them.
        if (service.engine !== undefined && unreadBefore < quietBacklog) {
          const model = this.#engine(service.name);
          this.#engines.set(service.name, model.observe(missing, clock.now() - sent));
        }
        this.#admission.pump();
      },
      finish: (result) => {
        flight.finish();
        if (!isOver && !isStarted) charge.withdraw();
        isOver = true;
        if (result !== undefined) this.#learn(server, service, result);
        this.#admission.pump();
      },
    });
  }

  #learn(server: KnownServer, service: Service, result: ServerOutcome): void {
    const change = this.serverHealth.record(server.id, result);
    // What made it unreachable may have been a restart that its registration does not tell yet.
    if (change === 'back') this.servers.cool(server.id, service.warmup);
    if (change !== undefined)
      this.options.onServer?.(server.id, change, this.serverHealth.failureRate(server.id));
    if (result === 'unreachable') this.#residency.forget(server.id);
  }

  #least(): ReadonlyMap<string, number> {
    const least = new Map<string, number>();
    const received = memoized((team: string) => this.#received(team));
    for (const [team, server] of this.#admission.waitingTeams())
      least.set(server, Math.min(least.get(server) ?? Infinity, received(team)));
    return least;
  }

  /** Servers of the service that may be sent requests, cold ones included. */
  #usable(service: string): readonly KnownServer[] {
    return this.servers
      .all()
      .filter(
        (server) =>
          server.service === service &&
          !server.isLeaving &&
          !this.#evacuated.has(server.dataCentre) &&
          this.serverHealth.isUsable(server.id),
      );
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
      if (request.avoid.has(id) || !this.#isAllowed(server, request, service)) continue;
      const least = this.#reports.least(id);
      candidates.push({
        id,
        slots: service.engine?.slots ?? server.slots,
        load: this.#load(id),
        ahead: ahead.get(id) ?? noLoad,
        // The team with least goes before what waits at other routers.
        elsewhere: received <= least ? noLoad : this.#reports.waiting(id),
        missing: request.prompt === undefined ? 0 : this.#residency.missing(id, request.prompt),
        failureRate: this.serverHealth.failureRate(id),
        isNear: server.dataCentre === this.options.dataCentre,
        isYielded: received > aheadFactor * least,
      });
    }
    return candidates;
  }

  #isFree({ id, service, slots }: KnownServer): boolean {
    if (!this.serverHealth.isUsable(id)) return false;
    const { unread, requests } = sum(this.#load(id), this.#reports.waiting(id));
    const model = this.#engine(service);
    return requests < slots * freeBatch && model.reading(unread) < model.base;
  }

  /** What the whole fleet has under way at the server, as far as it is known here. */
  #load(server: string): Load {
    return sum(this.#loads.at(server), this.#reports.load(server));
  }

  /** Whether the request may run in the server's region, and a cold server bears one more. */
  #isAllowed(server: KnownServer, request: Request, service: Service): boolean {
    const region = this.options.regionOf[server.dataCentre] ?? '';
    const allows = (regions: readonly string[]): boolean =>
      regions.length === 0 || regions.includes(region);
    if (!allows(request.route.regions) || !allows(request.team?.regions ?? [])) return false;
    return !this.#isFragile(server) || this.#cold.allows(server.id, service.coldRate);
  }

  #homesOf(service: string): PrefixHomes {
    let homes = this.#homes.get(service);
    if (homes === undefined) {
      const servers = this.servers
        .all()
        .filter((server) => server.service === service && !server.isLeaving);
      homes = PrefixHomes.create(servers.map(({ id }) => id));
      this.#homes.set(service, homes);
    }
    return homes;
  }

  /** Whether the server gets only the rate of a cold one. */
  #isFragile(server: KnownServer): boolean {
    const { coldRate = 0 } = this.#service(server.service) ?? {};
    return coldRate > 0 && (this.servers.isCold(server) || this.serverHealth.isMissed(server.id));
  }

  #timing(service: Service, route: Route): Timing {
    const { engine } = service;
    if (engine === undefined) return { kind: 'plain' };
    const model = this.#engine(service.name);
    // What was read within the base time still counts as unread here.
    const backlogLimit = model.base + route.aim * backlogPart;
    return { kind: 'engine', model, engine, backlogLimit };
  }

  #engine(service: string): EngineModel {
    return this.#engines.get(service) ?? EngineModel.initial;
  }

  #service(name: string): Service | undefined {
    return this.#table?.service(name);
  }

  #memoryOf(server: string): number {
    const service = this.servers.get(server)?.service;
    return service === undefined ? 0 : (this.#service(service)?.engine?.memory ?? 0);
  }

  #forget(server: string): void {
    this.#residency.forget(server);
    this.serverHealth.forget(server);
  }
}

function memoized<Value>(find: (key: string) => Value): (key: string) => Value {
  const known = new Map<string, Value>();
  return (key) => {
    const value = known.get(key);
    if (value !== undefined) return value;
    const found = find(key);
    known.set(key, found);
    return found;
  };
}

/** Service in tokens, as teams are charged for it. */
function costOf(prompt: Prompt | undefined): number {
  if (prompt === undefined) return 1;
  return prompt.promptTokens + outputWeight * outputPart * prompt.outputLimit;
}

/** Memory beside shared parts, in tokens. */
function memoryOf(prompt: Prompt | undefined): number {
  if (prompt === undefined) return 0;
  return (prompt.parts.at(-1)?.tokens ?? 0) + outputPart * prompt.outputLimit;
}
