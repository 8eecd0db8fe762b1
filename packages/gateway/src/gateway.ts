// One router on the platform: makes its parts, runs its tasks, and stops without cutting a request.

import { randomUUID } from 'node:crypto';
import {
  Dispatcher,
  Members,
  WorkTimer,
  selectEntryRouters,
  shouldHandOver,
  selectHandoverTarget,
  type DispatcherOptions,
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
import { Gossip } from './gossip.js';
import { Frontend } from './frontend.js';
import { StoreReplica } from './storeReplica.js';
import { CachedPartsReader } from './cachedPartsReader.js';
import { EventLoopLag } from './eventLoopLag.js';
import { Log } from './log.js';
import { Metrics } from './metrics.js';
import { PeerState } from './peerState.js';
import { Registration } from './registration.js';
import { ServerConnections } from './serverConnections.js';
import { StoreReader } from './storeReader.js';
import { Tunnels, type Endpoint } from './tunnels.js';
import { CpuUsage } from './cpuUsage.js';

/** How often servers and reports are looked through for what has become too old. */
const tickInterval: Milliseconds = 100;
/** The same while requests wait, since room that becomes free is found by looking. */
const waitingInterval: Milliseconds = 10;
/** How long callers keep an answer of the directory; short, since routers stop and start. */
const directoryTtl: Milliseconds = 3_000;
/** Time after SIGTERM in which new requests are still served: callers learn of it meanwhile. */
const servingTime: Milliseconds = 3_000;
/** Time without requests after which a stopping router ends. */
const quietTime: Milliseconds = 700;
/** Time before SIGKILL at which a stopping router ends in any case. */
const killMargin: Milliseconds = 700;
/** Time between two log lines about the load; a router that is saturated stays so for several seconds. */
const loadInterval: Milliseconds = 2_000;
/** Port of the metrics on every address of the VM, above the first port between routers. */
const metricsPortOffset = 10;
/** A router that was not heard for so long is frozen, cut off or gone; callers leave a silent stream by then. */
const lostTime: Milliseconds = 4_000;
/** Port for connections that other routers hand on, counted likewise. */
const tunnelPortOffset = 1;

/** A running router. */
export class Gateway {
  readonly #clock = Clock.system();
  readonly #boot = randomUUID().slice(0, 8);
  readonly #signal = new AbortController();
  readonly #log: Log;
  readonly #metrics = Metrics.create();
  readonly #members: Members;
  readonly #dispatcher: Dispatcher;
  readonly #knowledge: StoreReplica;
  readonly #connections = ServerConnections.create();
  readonly #ingress: Frontend;
  readonly #tunnels: Tunnels;
  readonly #gossip: Gossip;
  readonly #peerState: PeerState;
  readonly #reader: StoreReader;
  readonly #registration: Registration;
  readonly #servers: ServerType[] = [];
  readonly #usage: CpuUsage;
  readonly #lag: EventLoopLag;
  readonly #work: WorkTimer;
  #stopping: Milliseconds | undefined;
  /** Whether new connections are handed on. */
  #handsOver = false;
  /** Times that the last line about the load told. */
  #toldWork: { readonly at: Milliseconds; readonly times: WorkTimes };

  private constructor(private readonly settings: Settings) {
    const clock = this.#clock;
    const { router, ip, dataCentre, capacity } = settings;
    const log = Log.create(clock, router, this.#boot);
    const metrics = this.#metrics;
    const members = Members.create(clock, router, capacity);
    const work = WorkTimer.create(clock);
    this.#toldWork = { at: clock.now(), times: work.times() };
    const dispatcher = Dispatcher.create({
      ...dispatcherOptions(settings, clock, work, members),
      onServer: (server, change, failureRate) => {
        log.write(`server ${change}`, { server, failureRate: Number(failureRate.toFixed(2)) });
      },
    });
    const knowledge = StoreReplica.create(clock, dispatcher, log);
    const store = StoreClient.create(settings.store);
    this.#log = log;
    this.#usage = CpuUsage.create(clock, capacity);
    this.#work = work;
    this.#lag = EventLoopLag.create(clock, (isBehind, late) => {
      this.#tellLoad(isBehind ? 'router behind' : 'router caught up', late);
    });
    this.#members = members;
    this.#dispatcher = dispatcher;
    this.#knowledge = knowledge;
    this.#reader = StoreReader.create({ clock, store, knowledge, members, log, metrics });
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
      knowledge,
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
      knowledge,
      log,
      isLeaving: () => this.#stopping !== undefined,
      storeAge: () => this.#reader.age(),
      used: () => this.#usage.cores(),
      onBehind: (peer) => {
        void this.#peerState.fetch(this.#peerAddress(peer));
      },
    });
    this.#tunnels = Tunnels.create(clock, log);
    this.#ingress = Frontend.create(
      {
        clock,
        dispatcher,
        connections: this.#connections,
        log,
        metrics,
        isClosing: () => this.#isClosing(),
        isBehind: () => this.#lag.isBehind,
        late: () => this.#lag.late,
        random: Math.random,
      },
      capacity,
      {
        tunnels: this.#tunnels,
        isActive: () => this.#handsOver,
        receiver: () => this.#receiver(),
        isStopping: (ip) => members.alive().some((member) => member.ip === ip && member.isLeaving),
      },
      () => this.#stopping !== undefined,
    );
  }

  /** Opens the listeners and starts all tasks. Rejects if an address is not free. */
  static async start(settings: Settings): Promise<Gateway> {
    const gateway = new Gateway(settings);
    await gateway.#start();
    return gateway;
  }

  /**
   * Stops gracefully: says at once that it is not ready, serves new requests as long as callers may not
   * know of it, refuses them after that, and resolves when none is under way or time is up.
   */
  async stop(): Promise<void> {
    if (this.#stopping !== undefined) return;
    const clock = this.#clock;
    const { grace } = this.settings.bounds;
    this.#stopping = clock.now();
    this.#log.write('stopping', { underWay: this.#ingress.underWay });
    this.#gossip.send(true);
    const removed = this.#registration.remove();
    const deadline = this.#stopping + grace - killMargin;
    while (clock.now() < deadline) {
      if (this.#isClosing() && this.#ingress.idleTime() >= quietTime) break;
      await clock.sleep(tickInterval);
    }
    this.#ingress.close();
    await Promise.race([removed, clock.sleep(killMargin / 2)]);
    this.#signal.abort();
    for (const server of this.#servers) server.close();
    this.#connections.keep(new Set());
    this.#log.write('stopped', { cut: this.#ingress.underWay });
  }

  /** Tells the log that the settings were read again. */
  reloaded(): void {
    this.#log.write('settings read again', {});
  }

  async #start(): Promise<void> {
    const { settings } = this;
    const { signal } = this.#signal;
    this.#log.write('starting', {
      dataCentre: settings.dataCentre,
      firstStart: settings.isFirstStart,
      node: process.version,
    });
    this.#knowledge.onNews(() => {
      this.#newlyKnown();
    });
    await Promise.all([
      this.#gossip.listen(),
      ...this.#listeners().map(async ([address, app]) => {
        this.#servers.push(await listen(app, address));
      }),
      this.#ingress.listen(endOf(settings.listen.callers), this.#tunnelEnd(settings.ip)),
    ]);
    this.#log.write('listening', { callers: settings.listen.callers });
    void this.#reader.run(signal);
    // Until routers hear one another, each of them reads the store for itself.
    void this.#registration.run(signal).then(() => {
      this.#gossip.announce();
    });
    void this.#gossip.run(signal);
    void this.#askSeeds();
    // At the first start of a fleet its servers hold nothing.
    if (!settings.isFirstStart) void this.#readKeptParts();
    void this.#tick(signal);
    void this.#tellLoads(signal);
  }

  /** Tells the log from time to time how loaded this router is; between, only when it falls behind. */
  async #tellLoads(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(loadInterval, signal);
      this.#tellLoad('load', this.#lag.late);
    }
  }

  /** Cores in use, and the time in ms that each activity took since the last such line. */
  #tellLoad(event: string, late: Milliseconds): void {
    const times = this.#work.times();
    const since = this.#toldWork;
    this.#toldWork = { at: this.#clock.now(), times };
    this.#log.write(event, {
      late: Math.round(late),
      acceptWait: Math.round(this.#ingress.acceptWait),
      used: Number(this.#usage.cores().toFixed(3)),
      capacity: this.settings.capacity,
      underWay: this.#ingress.underWay,
      waiting: this.#dispatcher.waiting,
      tunnels: this.#tunnels.opened,
      span: Math.round(this.#clock.now() - since.at),
      datagrams: Math.round(times.datagrams - since.times.datagrams),
      queue: Math.round(times.queue - since.times.queue),
      arrivals: Math.round(times.arrivals - since.times.arrivals),
    });
  }

  #readKeptParts(): Promise<void> {
    return CachedPartsReader.create({
      clock: this.#clock,
      dispatcher: this.#dispatcher,
      members: this.#members,
      peerState: this.#peerState,
      log: this.#log,
      peerAddress: (ip) => this.#peerAddress(ip),
    }).run();
  }

  /** Apps by the address that they are served at. */
  #listeners(): readonly (readonly [string, Hono])[] {
    const { listen: addresses, ip, peerPort: linkPort } = this.settings;
    const ready = new Hono();
    ready.get(paths.ready, (context) =>
      this.#isReady() ? context.text('ready') : context.text('not ready', 503),
    );
    const directory = new Hono();
    directory.get(paths.directory, (context) =>
      context.body(
        encodeDirectory(this.#addresses(context.req.query('region')), directoryTtl),
        200,
        {
          'content-type': 'application/json',
        },
      ),
    );
    const metrics = new Hono();
    metrics.get('/metrics', async (context) => {
      this.#metrics.members.set(this.#members.alive().length);
      this.#metrics.setWork(this.#work.times());
      this.#metrics.late.set(this.#lag.late / 1_000);
      return context.text(await this.#metrics.registry.metrics());
    });
    const peers = new Hono();
    this.#peerState.serve(peers);
    const listeners: (readonly [string, Hono])[] = [
      [addresses.ready, ready],
      [`${ip}:${linkPort + metricsPortOffset}`, metrics],
      [`${ip}:${linkPort}`, peers],
    ];
    if (addresses.directory !== undefined) listeners.push([addresses.directory, directory]);
    if (addresses.peers !== undefined) listeners.push([addresses.peers, peers]);
    return listeners;
  }

  /** Addresses of the routers to which a caller of the region is sent; those of the region if there are any. */
  #addresses(region: string | undefined): readonly string[] {
    const { router, ip, dataCentre, capacity, regionOf, listen: own } = this.settings;
    const [, port] = hostAndPort(own.callers);
    const self = { name: router, ip, dataCentre, capacity, used: this.#usage.cores() };
    const others = this.#members.alive().filter(({ isLeaving }) => !isLeaving);
    const all = this.#stopping === undefined ? [self, ...others] : others;
    const near = all.filter((member) => regionOf[member.dataCentre] === region);
    const chosen = selectEntryRouters(near.length > 0 ? near : all).slice(0, maxDirectoryAddresses);
    return chosen.length > 0 ? chosen.map((member) => `${member.ip}:${port}`) : [own.callers];
  }

  /** The router that serves new connections instead of this one; undefined while this one has processor time. */
  #receiver(): Endpoint | undefined {
    if (!this.#handsOver) return undefined;
    const receiver = this.#anyReceiver();
    return receiver === undefined ? undefined : this.#tunnelEnd(receiver.ip);
  }

  #anyReceiver(): Member | undefined {
    return selectHandoverTarget(this.settings, this.#members.alive(), Math.random);
  }

  #decideHandover(): void {
    const used = this.#usage.recentPart();
    const isActive = this.#handsOver;
    // A router that has processor time does not look at servers and routers at each tick.
    const lacksTime = shouldHandOver(used, 1, isActive);
    if (!lacksTime && !isActive) return;
    const free = this.#dispatcher.freeServerFraction();
    const handsOn = shouldHandOver(used, free, isActive) && this.#anyReceiver() !== undefined;
    if (handsOn === isActive) return;
    this.#handsOver = handsOn;
    this.#log.write(handsOn ? 'handing connections on' : 'keeping connections', {
      used: Number(used.toFixed(2)),
      free: Number(free.toFixed(2)),
      tunnels: this.#tunnels.opened,
    });
  }

  #dropTunnels(): void {
    if (this.#tunnels.isEmpty) return;
    const heard = new Set([this.settings.ip, ...this.#members.addressesHeardWithin(lostTime)]);
    this.#tunnels.drop((host) => !heard.has(host));
  }

  #tunnelEnd(ip: string): Endpoint {
    return { host: ip, port: this.settings.peerPort + tunnelPortOffset };
  }

  #isReady(): boolean {
    return this.#stopping === undefined && this.#dispatcher.table !== undefined;
  }

  /** Whether new requests are refused. */
  #isClosing(): boolean {
    return this.#stopping !== undefined && this.#clock.now() - this.#stopping > servingTime;
  }

  #newlyKnown(): void {
    const limits = this.#dispatcher.table?.state.limits;
    if (limits !== undefined) this.#ingress.limit(limits);
    this.#connections.keep(new Set(this.#dispatcher.servers.all().map(({ id }) => id)));
    this.#gossip.send(true);
  }

  #peerAddress(ip: string): string {
    return `${ip}:${this.settings.peerPort}`;
  }

  /** Routers that have just started learn from the seeds what the store may not tell them now. */
  async #askSeeds(): Promise<void> {
    const others = this.settings.seeds.filter((seed) => seed !== this.settings.listen.peers);
    await Promise.all(others.map((seed) => this.#peerState.fetch(seed)));
    this.#gossip.announce();
  }

  async #tick(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#dispatcher.tick();
      this.#decideHandover();
      this.#dropTunnels();
      const isWaiting = this.#dispatcher.waiting > 0;
      await this.#lag.sleep(isWaiting ? waitingInterval : tickInterval, signal);
    }
  }
}

function dispatcherOptions(
  settings: Settings,
  clock: Clock,
  work: WorkTimer,
  members: Members,
): DispatcherOptions {
  const { bounds } = settings;
  return {
    clock,
    work,
    self: settings.router,
    dataCentre: settings.dataCentre,
    regionOf: settings.regionOf,
    cold: { factor: bounds.coldFactor, slack: bounds.coldSlack },
    repeats: {
      ratio: bounds.retryRatio,
      slack: bounds.retrySlack,
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

function endOf(address: string): Endpoint {
  const [host, port] = hostAndPort(address);
  return { host, port };
}

function hostAndPort(address: string): readonly [string, number] {
  const separator = address.lastIndexOf(':');
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}
