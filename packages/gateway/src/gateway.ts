// One router of the platform deployment: creates its components, runs its periodic tasks, and shuts down gracefully.

import { randomUUID } from 'node:crypto';
import {
  Dispatcher,
  Intake,
  Members,
  PlannedStops,
  TeamCounts,
  type StopBounds,
  WorkTimer,
  selectEntryRouters,
  handoverScope,
  includesTeam,
  selectHandoverTarget,
  type DispatcherOptions,
  type HandoverScope,
  type Member,
  type WorkTimes,
} from '@catkinwheel/coordination/routing';
import {
  StoreClient,
  maxDirectoryAddresses,
  encodeDirectory,
  paths,
  type Settings,
} from '@catkinwheel/platform';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { createAdaptorServer, type ServerType } from '@hono/node-server';
import { Hono } from 'hono';
import { isRefused } from './addressProbe.js';
import { Gossip } from './gossip.js';
import { Faults } from './faults.js';
import { Frontend } from './frontend.js';
import { IntakeLoop } from './intakeLoop.js';
import { StoreReplica, type Source } from './storeReplica.js';
import { CachedPartsReader } from './cachedPartsReader.js';
import { nextTurn } from './eventLoopTurn.js';
import { EventLoopLag } from './eventLoopLag.js';
import { Log } from './log.js';
import { LoopTurns } from './loopTurns.js';
import { Metrics } from './metrics.js';
import { PeerState } from './peerState.js';
import { Registration } from './registration.js';
import { ServerConnections } from './serverConnections.js';
import { updateSettings } from './settingsUpdate.js';
import { StoreReader } from './storeReader.js';
import { Tunnels, type Endpoint } from './tunnels.js';
import { BodyBudget } from './bodyBudget.js';
import { CpuUsage } from './cpuUsage.js';

/** Interval at which expired servers and load reports are removed. */
const tickInterval: Milliseconds = 100;
/** The same while requests are queued: free capacity at servers is found by polling. */
const queueTickInterval: Milliseconds = 10;
/** Time to live of a directory response at callers; short, since routers stop and start. */
const directoryTtl: Milliseconds = 3_000;
/** A stopping router exits after this time without requests. */
const quietPeriod: Milliseconds = 700;
/** Longest time that a stopping router waits at its end for the last responses to be sent, and for its registration to be removed. */
const maxFinalWait: Milliseconds = 100;
/** The same as a fraction of the time that is left until SIGKILL. */
const finalWaitFraction = 1 / 4;
/** Interval of the periodic log lines about the load; an overloaded router stays so for several seconds. */
const loadLogInterval: Milliseconds = 2_000;
/** Max teams in one log line about what teams asked for. */
const maxLoggedTeams = 12;
/** Port of the metrics listener, relative to the first port for traffic between routers. */
const metricsPortOffset = 10;
/**
 * A router that sent no heartbeat for this time is frozen, partitioned or gone, and tunnels to it are ended. Callers
 * abandon a silent stream by then.
 */
const lostRouterTimeout: Milliseconds = 4_000;
/** Port for connections that other routers hand over, relative to the same port. */
const tunnelPortOffset = 1;

/** A running router. */
export class Gateway {
  readonly #clock = Clock.system();
  readonly #boot = randomUUID().slice(0, 8);
  readonly #stopped = new AbortController();
  readonly #log: Log;
  readonly #metrics = Metrics.create();
  readonly #faults: Faults;
  readonly #members: Members;
  readonly #dispatcher: Dispatcher;
  readonly #storeReplica: StoreReplica;
  readonly #store: StoreClient;
  readonly #connections = ServerConnections.create();
  readonly #frontend: Frontend;
  readonly #tunnels: Tunnels;
  readonly #gossip: Gossip;
  readonly #peerState: PeerState;
  readonly #storeReader: StoreReader;
  readonly #registration: Registration;
  readonly #httpServers: ServerType[] = [];
  readonly #cpuUsage: CpuUsage;
  readonly #eventLoopLag: EventLoopLag;
  readonly #workTimer: WorkTimer;
  readonly #stops: PlannedStops;
  readonly #teamCounts = TeamCounts.create();
  readonly #loopTurns = LoopTurns.create();
  readonly #intake: IntakeLoop;
  /** Set once the planned stop has begun. */
  #stopping: Promise<void> | undefined;
  /** Whose new connections are handed over to other routers. */
  #handover: HandoverScope = 'none';
  /** Event-loop times at the last log line about the load. */
  #loggedTimes: { readonly at: Milliseconds; readonly times: WorkTimes };
  /** Connections accepted by then. */
  #loggedAccepted = 0;

  private constructor(private settings: Settings) {
    const clock = this.#clock;
    const { router, ip, dataCentre, capacity } = settings;
    const log = Log.create(clock, router, this.#boot);
    const metrics = this.#metrics;
    const faults = Faults.create(log, metrics);
    const members = Members.create(clock, router, capacity);
    const work = WorkTimer.create(clock);
    this.#loggedTimes = { at: clock.now(), times: work.times() };
    const dispatcher = Dispatcher.create(
      dispatcherOptions(() => this.settings, clock, work, members, {
        onServer: (server, change, failureRate) => {
          log.write(`server ${change}`, { server, failureRate: Number(failureRate.toFixed(2)) });
        },
        onPart: ({ kind, ...fields }) => {
          log.write(`prompt part ${kind}`, fields);
        },
        onError: (error) => {
          faults.record('queue', error);
        },
        isRefused: (address) =>
          isRefused(address).catch((error: unknown) => {
            faults.record('probe', error);
            return false;
          }),
      }),
    );
    const storeReplica = StoreReplica.create(clock, dispatcher, log, faults);
    const store = StoreClient.create(settings.store);
    this.#store = store;
    this.#log = log;
    this.#faults = faults;
    const stops = PlannedStops.create(
      clock,
      stopBounds(() => this.settings),
    );
    this.#stops = stops;
    this.#cpuUsage = CpuUsage.create(clock, capacity);
    this.#workTimer = work;
    this.#eventLoopLag = EventLoopLag.create(clock, (isBehind, late) => {
      this.#logLoad(isBehind ? 'router behind' : 'router caught up', late);
    });
    this.#members = members;
    this.#dispatcher = dispatcher;
    this.#storeReplica = storeReplica;
    this.#storeReader = StoreReader.create({
      clock,
      store,
      storeReplica,
      members,
      log,
      metrics,
      faults,
    });
    this.#registration = Registration.create({
      clock,
      store,
      members,
      log,
      name: router,
      ip,
      capacity,
    });
    this.#peerState = PeerState.create({
      clock,
      dispatcher,
      storeReplica,
      members,
      log,
      router,
      ip,
      capacity,
    });
    this.#gossip = Gossip.create({
      clock,
      work,
      router,
      dataCentre,
      ip,
      capacity,
      port: settings.peerPort,
      members,
      dispatcher,
      storeReplica,
      log,
      faults,
      stops,
      storeAge: () => this.#storeReader.age(),
      used: () => this.#cpuUsage.usedCores(),
      onNewerTables: (peer, revisions) => {
        const address = this.#peerAddress(peer);
        faults.watch('peerState', this.#peerState.fetchNewer(address, revisions));
      },
    });
    this.#tunnels = Tunnels.create(clock, log);
    this.#intake = IntakeLoop.create(Intake.create(clock, dispatcher), faults, clock);
    this.#frontend = Frontend.create(
      {
        clock,
        dispatcher,
        connections: this.#connections,
        log,
        metrics,
        faults,
        stops,
        bodyBudget: BodyBudget.create(settings.memory),
        teamCounts: this.#teamCounts,
        intake: this.#intake,
        isBehind: () => this.#eventLoopLag.isBehind,
        late: () => this.#eventLoopLag.late,
        random: Math.random,
      },
      capacity,
      {
        tunnels: this.#tunnels,
        isActive: () => this.#handover !== 'none',
        includes: (team) => includesTeam(this.#handover, team, dispatcher),
        selectTarget: () => this.#handoverTarget(),
      },
    );
  }

  /** Opens the listeners and starts all tasks. Rejects if an address is in use. */
  static async start(settings: Settings): Promise<Gateway> {
    const gateway = new Gateway(settings);
    await gateway.#start();
    return gateway;
  }

  /**
   * Stops gracefully: reports itself as not ready at once, serves new requests that can be answered before its end while callers
   * may not have seen that, refuses the others, and resolves when no request is in flight or the grace time is nearly over. By
   * then each request has got a response, unless its caller already has a part of one. Further calls wait for the same stop.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    const stops = this.#stops;
    const clock = this.#clock;
    const killedAt = clock.now() + this.settings.bounds.grace;
    stops.begin();
    this.#log.write('stopping', { underWay: this.#frontend.underWay });
    this.#gossip.send(true);
    const removed = this.#registration.remove();
    while (clock.now() < stops.endOf(undefined)) {
      const isQuiet = this.#frontend.idleTime() >= quietPeriod;
      if (!stops.takesRequests(undefined) && isQuiet) break;
      await clock.sleep(tickInterval);
    }
    const finalWait = Math.min(maxFinalWait, (killedAt - clock.now()) * finalWaitFraction);
    const waitedUntil = clock.now() + finalWait;
    while (this.#frontend.underWay > 0 && clock.now() < waitedUntil)
      await clock.sleep(finalWait / 10);
    const cut = this.#frontend.underWay;
    this.#frontend.close();
    await Promise.race([removed, clock.sleep(finalWait)]);
    this.#stopped.abort();
    for (const server of this.#httpServers) server.close();
    this.#connections.retireExcept([]);
    this.#log.write('stopped', { cut });
  }

  /** Puts changed settings in force as far as they can be while the router runs, and logs which are and which are not. */
  update(read: Settings): void {
    const { settings, applied, needRestart } = updateSettings(this.settings, read);
    this.settings = settings;
    this.#store.moveTo(settings.store);
    this.#log.write('settings read again', { applied, needRestart });
  }

  async #start(): Promise<void> {
    const { settings } = this;
    const { signal } = this.#stopped;
    this.#log.write('starting', {
      dataCentre: settings.dataCentre,
      firstStart: settings.isFirstStart,
      node: process.version,
    });
    this.#storeReplica.onChange((source) => {
      this.#onTableChange(source);
    });
    await Promise.all([
      this.#gossip.listen(),
      ...this.#listeners().map(async ([address, app]) => {
        this.#httpServers.push(await listen(app, address));
      }),
      this.#frontend.listen(endpointOf(settings.listen.callers), this.#tunnelEndpoint(settings.ip)),
    ]);
    this.#log.write('listening', { callers: settings.listen.callers });
    const faults = this.#faults;
    faults.watch('store', this.#storeReader.run(signal));
    // Until routers receive heartbeats from one another, each of them reads the store itself.
    const registered = this.#registration.run(signal).then(() => {
      this.#gossip.announce();
    });
    faults.watch('registration', registered);
    faults.watch('datagram', this.#gossip.run(signal));
    faults.watch('peerState', this.#fetchFromSeeds());
    // At the first start of a fleet the prefix caches of its servers are empty.
    if (!settings.isFirstStart) faults.watch('cachedParts', this.#readCachedParts());
    faults.watch('tick', this.#tick(signal));
    faults.watch('load', this.#logLoadPeriodically(signal));
  }

  /** Logs the load periodically; `#eventLoopLag` also has it logged when the router falls behind or catches up. */
  async #logLoadPeriodically(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(loadLogInterval, signal);
      this.#logLoad('load', this.#eventLoopLag.late);
      this.#logTeams();
    }
  }

  /** Logs the cores in use, and the event-loop time in ms of each activity since the last such line. */
  #logLoad(event: string, late: Milliseconds): void {
    const times = this.#workTimer.times();
    const since = this.#loggedTimes;
    this.#loggedTimes = { at: this.#clock.now(), times };
    const { acceptedCount } = this.#frontend;
    const { turns, busy } = this.#loopTurns.take();
    const { begun, refused, left, longestWait } = this.#intake.takeCounts();
    this.#log.report(event, {
      late: Math.round(late),
      acceptWait: Math.round(this.#frontend.acceptWait),
      used: Number(this.#cpuUsage.usedCores().toFixed(3)),
      capacity: this.settings.capacity,
      underWay: this.#frontend.underWay,
      waiting: this.#dispatcher.waiting,
      tunnels: this.#tunnels.openedCount,
      accepted: acceptedCount - this.#loggedAccepted,
      begun,
      refused,
      left,
      intakeWait: Math.round(longestWait),
      turns,
      busy: Math.round(busy),
      span: Math.round(this.#clock.now() - since.at),
      datagrams: Math.round(times.datagrams - since.times.datagrams),
      queue: Math.round(times.queue - since.times.queue),
      arrivals: Math.round(times.arrivals - since.times.arrivals),
      handsOver: this.#handover,
      free: Number(this.#dispatcher.freeServerFraction().toFixed(2)),
      engines: [...this.#dispatcher.engineTimings()].map(([service, timing]) => ({
        service,
        prefillRate: Number(timing.prefillRate.toFixed(1)),
        baseTime: Math.round(timing.baseTime),
      })),
    });
    this.#loggedAccepted = acceptedCount;
  }

  /** Logs what teams asked of this router lately and what became of it, with what they received in the whole fleet. */
  #logTeams(): void {
    const counts = this.#teamCounts.take(maxLoggedTeams);
    if (counts.length === 0) return;
    const teams = counts.map(({ team, requests, askedTokens, deliveredTokens }) => ({
      team,
      ...requests,
      asked: askedTokens,
      got: deliveredTokens,
      received: Math.round(this.#dispatcher.received(team)),
    }));
    const mostReceived = Math.round(this.#dispatcher.mostReceived());
    this.#log.report('teams', { mostReceived, teams });
  }

  #readCachedParts(): Promise<void> {
    return CachedPartsReader.create({
      clock: this.#clock,
      dispatcher: this.#dispatcher,
      members: this.#members,
      peerState: this.#peerState,
      log: this.#log,
      peerAddress: (ip) => this.#peerAddress(ip),
    }).run();
  }

  /** Addresses with the app that is served at each. */
  #listeners(): readonly (readonly [string, Hono])[] {
    const { listen: addresses, ip, peerPort } = this.settings;
    const ready = new Hono();
    ready.get(paths.ready, (context) =>
      this.#isReady() ? context.text('ready') : context.text('not ready', 503),
    );
    const directory = new Hono();
    directory.get(paths.directory, (context) =>
      context.body(
        encodeDirectory(this.#directoryAddresses(context.req.query('region')), directoryTtl),
        200,
        {
          'content-type': 'application/json',
        },
      ),
    );
    const metrics = new Hono();
    metrics.get('/metrics', async (context) => {
      this.#metrics.members.set(this.#members.alive().length);
      this.#metrics.setWork(this.#workTimer.times());
      this.#metrics.late.set(this.#eventLoopLag.late / 1_000);
      this.#metrics.logLinesLost.set(this.#log.lost);
      return context.text(await this.#metrics.registry.metrics());
    });
    const peers = new Hono();
    this.#peerState.addRoutes(peers);
    const listeners: (readonly [string, Hono])[] = [
      [addresses.ready, ready],
      [`${ip}:${peerPort + metricsPortOffset}`, metrics],
      [`${ip}:${peerPort}`, peers],
    ];
    if (addresses.directory !== undefined) listeners.push([addresses.directory, directory]);
    if (addresses.peers !== undefined) listeners.push([addresses.peers, peers]);
    return listeners;
  }

  /** Addresses of the routers for callers of the region; of all regions if the region has no router. */
  #directoryAddresses(region: string | undefined): readonly string[] {
    const { router, ip, dataCentre, capacity, regionOf, listen: own } = this.settings;
    const [, port] = hostAndPort(own.callers);
    const self = { name: router, ip, dataCentre, capacity, used: this.#cpuUsage.usedCores() };
    const others = this.#members.alive().filter(({ isLeaving }) => !isLeaving);
    const all = this.#stops.isStopping ? others : [self, ...others];
    const inRegion = all.filter((member) => regionOf[member.dataCentre] === region);
    const chosen = selectEntryRouters(inRegion.length > 0 ? inRegion : all).slice(
      0,
      maxDirectoryAddresses,
    );
    return chosen.length > 0 ? chosen.map((member) => `${member.ip}:${port}`) : [own.callers];
  }

  /** The router that serves a new connection instead of this one; undefined if this one serves it. */
  #handoverTarget(): Endpoint | undefined {
    if (this.#handover === 'none') return undefined;
    const target = this.#selectHandoverTarget();
    return target === undefined ? undefined : this.#tunnelEndpoint(target.ip);
  }

  #selectHandoverTarget(): Member | undefined {
    return selectHandoverTarget(this.settings, this.#members.alive(), Math.random);
  }

  #updateHandover(): void {
    const used = this.#cpuUsage.recentUtilization();
    const load = { used, isQueueStanding: this.#intake.isStanding };
    const current = this.#handover;
    // The server and member tables are not scanned at each tick while this router has processor time to spare.
    const lacksCpu = handoverScope(load, 1, current) !== 'none';
    if (!lacksCpu && current === 'none') return;
    const free = this.#dispatcher.freeServerFraction();
    const hasTarget = this.#selectHandoverTarget() !== undefined;
    const scope = hasTarget ? handoverScope(load, free, current) : 'none';
    if (scope === current) return;
    this.#handover = scope;
    this.#log.write(scope === 'none' ? 'keeping connections' : 'handing connections on', {
      scope,
      used: Number(used.toFixed(2)),
      free: Number(free.toFixed(2)),
      tunnels: this.#tunnels.openedCount,
    });
  }

  async #endLostTunnels(): Promise<void> {
    if (this.#tunnels.isEmpty) return;
    // After a stall of this process heartbeats and responses wait to be read.
    await nextTurn();
    const alive = new Set(this.#members.addressesHeardWithin(lostRouterTimeout));
    this.#tunnels.endLost((host) => !alive.has(host));
  }

  #tunnelEndpoint(ip: string): Endpoint {
    return { host: ip, port: this.settings.peerPort + tunnelPortOffset };
  }

  #isReady(): boolean {
    return !this.#stops.isStopping && this.#dispatcher.table !== undefined;
  }

  #onTableChange(source: Source): void {
    const limits = this.#dispatcher.table?.state.limits;
    if (limits !== undefined) this.#frontend.limit(limits);
    this.#connections.retireExcept(this.#dispatcher.servers.all());
    this.#gossip.tellOfChange(source);
    if (this.#stops.isStopping) return;
    const renewed = this.#registration.renew(this.#storeReplica.era, this.#stopped.signal);
    this.#faults.watch('registration', renewed);
  }

  #peerAddress(ip: string): string {
    return `${ip}:${this.settings.peerPort}`;
  }

  /** Fetches the state of the seed routers, since the store may be unavailable at the start. */
  async #fetchFromSeeds(): Promise<void> {
    const others = this.settings.seeds.filter((seed) => seed !== this.settings.listen.peers);
    await Promise.all(others.map((seed) => this.#peerState.fetch(seed)));
    this.#gossip.announce();
  }

  async #tick(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#faults.contain('tick', () => {
        this.#dispatcher.tick();
      });
      this.#faults.contain('tick', () => {
        this.#updateHandover();
      });
      this.#faults.watch('tick', this.#endLostTunnels());
      const hasQueue = this.#dispatcher.waiting > 0;
      await this.#eventLoopLag.sleep(hasQueue ? queueTickInterval : tickInterval, signal);
    }
  }
}

function stopBounds(settings: () => Settings): StopBounds {
  return {
    get grace() {
      return settings().bounds.grace;
    },
  };
}

/** Options that read what may change from the settings in force. */
function dispatcherOptions(
  settings: () => Settings,
  clock: Clock,
  work: WorkTimer,
  members: Members,
  callbacks: Pick<DispatcherOptions, 'onServer' | 'onPart' | 'onError' | 'isRefused'>,
): DispatcherOptions {
  const { router, dataCentre, bounds } = settings();
  return {
    ...callbacks,
    clock,
    work,
    self: router,
    dataCentre,
    get regionOf() {
      return settings().regionOf;
    },
    cold: {
      get factor() {
        return settings().bounds.coldFactor;
      },
      get slack() {
        return settings().bounds.coldSlack;
      },
    },
    repeats: {
      get ratio() {
        return settings().bounds.retryRatio;
      },
      get slack() {
        return settings().bounds.retrySlack;
      },
      window: bounds.retryWindow,
    },
    routers: () => members.names(),
    entrances: () => members.entryRouters(),
  };
}

function listen(app: Hono, address: string): Promise<ServerType> {
  const [hostname, port] = hostAndPort(address);
  return new Promise((resolve, reject) => {
    const server = createAdaptorServer({ fetch: app.fetch });
    server.once('error', reject);
    server.listen(port, hostname, () => {
      server.off('error', reject);
      resolve(server);
    });
  });
}

function endpointOf(address: string): Endpoint {
  const [host, port] = hostAndPort(address);
  return { host, port };
}

function hostAndPort(address: string): readonly [string, number] {
  const separator = address.lastIndexOf(':');
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}
