// Simulates a fleet in one process for the keeper tests: real sessions and keepers on a fake network, with
// simulated permit use and with servers that count their requests in flight independently.

import type { KeeperState, LoadReport, Message, Vm } from '@catkinwheel/protocol';
import type { Catalogue, ManualClock, Milliseconds, Outcome, Permit } from '@catkinwheel/state';
import { Clock, emptyCatalogue } from '@catkinwheel/state';
import { errAsync, ok, ResultAsync } from 'neverthrow';
import { FakeMetrics, FakeTable, eventLog, relayOf, router, seededRandom } from './fakes.test.js';
import { setMaxListeners } from 'node:events';
import { Keepers } from './keepers.js';
import type { ServerKeeper, MemberView, ServerControl } from './ports.js';
import { PauseDetector } from './pauseDetector.js';
import { Session } from './session.js';

interface LastHeartbeat {
  readonly router: ReturnType<typeof router>;
  readonly platform: boolean;
  readonly leaving: boolean;
  readonly keepers: readonly KeeperState[];
  readonly at: Milliseconds;
}

/** The simulation's clock as seen by one process, which may be paused. */
class ProcessClock extends Clock {
  readonly #world: ManualClock;
  #resumed: Promise<void> | undefined;
  resume: () => void = () => undefined;

  constructor(world: ManualClock) {
    super();
    this.#world = world;
  }

  now(): Milliseconds {
    return this.#world.now();
  }

  get isPaused(): boolean {
    return this.#resumed !== undefined;
  }

  pause(): void {
    this.#resumed = new Promise((resolve) => {
      this.resume = () => {
        this.#resumed = undefined;
        resolve();
      };
    });
  }

  gate(): Promise<void> {
    return this.#resumed ?? Promise.resolve();
  }

  async sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
    await this.#world.sleep(duration, signal);
    await this.gate();
  }
}

export class SimServer {
  readonly running = new Map<string, string>();
  boot = 1;
  leaving = false;
  started = 0;
  maxRunning = 0;
  #reportedLoad: LoadReport;
  #reportedAt: Milliseconds = 0;

  constructor(readonly name: string) {
    this.#reportedLoad = this.#load(0);
  }

  /** Updates the load that reports contain; they lag by the time since the last call. */
  updateReport(now: Milliseconds): void {
    this.#reportedLoad = this.#load(0);
    this.#reportedAt = now;
  }

  report(now: Milliseconds): LoadReport {
    return { ...this.#reportedLoad, age: now - this.#reportedAt };
  }

  begin(id: string, by: string): void {
    this.running.set(id, by);
    this.started += 1;
    this.maxRunning = Math.max(this.maxRunning, this.running.size);
  }

  restart(): void {
    this.boot += 1;
    this.running.clear();
  }

  #load(age: Milliseconds): LoadReport {
    const running = this.running.size;
    return { boot: `b${this.boot}`, running, waiting: 0, leaving: this.leaving, models: [], age };
  }
}

export interface FleetOptions {
  readonly routers: number;
  readonly servers: number;
  readonly coldLimit: number;
  readonly warmLimit: number;
  readonly seed: number;
  /** Outcome of all requests; with `cancelled` servers never warm up. */
  readonly outcome: Outcome;
  /** Fraction of messages that are lost. */
  readonly loss: number;
  /** Interval of updates of the reported load. */
  readonly reportInterval: Milliseconds;
  /** Time from a grant to its use; random if undefined. */
  readonly useDelay: ((permit: Permit) => Milliseconds) | undefined;
  /** Duration of a request; random if undefined. */
  readonly runTime: ((permit: Permit) => Milliseconds) | undefined;
  /** Whether the routers have demand from the start. */
  readonly hasDemand: boolean;
  /** Interval of heartbeats. */
  readonly heartbeatInterval: Milliseconds;
}

const defaults: FleetOptions = {
  routers: 3,
  servers: 3,
  coldLimit: 4,
  warmLimit: 16,
  seed: 1,
  outcome: 'cancelled',
  loss: 0,
  reportInterval: 100,
  useDelay: undefined,
  runTime: undefined,
  hasDemand: true,
  heartbeatInterval: 500,
};

export class Fleet {
  readonly clock = Clock.manual(1_000);
  readonly table = new FakeTable(this.clock);
  readonly servers: readonly SimServer[];
  readonly nodes: Node[] = [];
  readonly cuts = new Set<string>();
  readonly vms = new Map<string, Vm['state']>();
  readonly random: () => number;
  catalogue: Catalogue;

  readonly options: FleetOptions;
  constructor(overrides: Partial<FleetOptions> = {}) {
    const options = { ...defaults, ...overrides };
    this.options = options;
    this.random = seededRandom(options.seed);
    const { coldLimit, warmLimit } = options;
    const names = Array.from({ length: options.servers }, (_, index) => `s${index + 1}`);
    this.servers = names.map((name) => new SimServer(name));
    const server = { service: 'app', dataCentre: 'dc', checksFence: true };
    const entries = names.map((name) => [name, { ...server, address: name, vm: `vm-${name}` }]);
    const services = { app: { kind: 'plain' as const, coldLimit, warmLimit } };
    const servers = Object.fromEntries(entries) as Catalogue['servers'];
    this.catalogue = { ...emptyCatalogue, revision: 1, services, servers };
    for (const name of names) this.vms.set(`vm-${name}`, 'live');
    for (let index = 1; index <= options.routers; index += 1) this.start(`r${index}`);
  }

  start(name: string, run = 1): Node {
    const node = new Node(this, name, `${name}-${run}`);
    this.vms.set(`vm-${name}`, 'live');
    this.nodes.push(node);
    return node;
  }

  /** Runs for `duration` in steps of 100 ms. */
  async run(duration: Milliseconds): Promise<void> {
    for (let passed = 0; passed < duration; passed += 100) {
      await this.clock.advance(100);
      const now = this.clock.now();
      for (const server of this.servers)
        if (now % this.options.reportInterval < 100) server.updateReport(now);
    }
  }

  /** Runs for `duration`; returns the requests that started on each server meanwhile. */
  async startedIn(duration: Milliseconds): Promise<readonly number[]> {
    const before = this.servers.map(({ started }) => started);
    await this.run(duration);
    return this.servers.map(({ started }, index) => started - (before[index] ?? 0));
  }

  /** Cuts the links between every router of `names` and every other one. */
  cut(names: readonly string[]): void {
    const others = this.nodes.map(({ name }) => name).filter((name) => !names.includes(name));
    for (const name of names) for (const other of others) this.cuts.add(link(name, other));
  }

  /** Makes the platform unreachable for the named routers. */
  isolate(names: readonly string[]): void {
    for (const name of names) this.table.paths.set(name, { kind: 'down' });
  }

  heal(): void {
    this.table.paths.clear();
    this.cuts.clear();
    for (const node of this.nodes) if (node.process.isPaused) node.resume();
  }

  server(name: string): SimServer {
    const server = this.servers.find((other) => other.name === name);
    if (server === undefined) throw new Error(`no server ${name}`);
    return server;
  }

  /** The only router with authority over the server; throws if there is not exactly one. */
  keeperOf(server: string): Node {
    const [node, ...others] = this.keepersOf(server);
    if (node === undefined || others.length > 0) throw new Error(`no single keeper of ${server}`);
    return node;
  }

  /** All routers except the named one. */
  others(name: string): readonly string[] {
    return this.nodes.map((node) => node.name).filter((other) => other !== name);
  }

  fence(server: string): number {
    const value = this.table.rows.get(`keeper/${server}`)?.value as { fence: number } | undefined;
    return value?.fence ?? 0;
  }

  node(name: string): Node {
    const node = this.nodes.find((other) => other.name === name);
    if (node === undefined) throw new Error(`no router ${name}`);
    return node;
  }

  restart(name: string, run: number): void {
    this.node(name).kill();
    this.start(name, run);
  }

  /** Delivers a message in order after 1 ms, unless it is lost or its link is cut. */
  send(from: Node, to: string, message: Message): void {
    const target = this.nodes.find(({ name }) => name === to);
    if (target === undefined || this.cuts.has(link(from.name, to))) return;
    if (from !== target && this.random() < this.options.loss) return;
    void this.clock.sleep(1).then(() => {
      target.deliver(from, message);
    });
  }

  keepersOf(server: string): readonly Node[] {
    return this.nodes.filter((node) =>
      node.keepers.states().some((state) => state.server === server && state.authority !== 'none'),
    );
  }

  maxRunning(): number {
    return Math.max(...this.servers.map(({ maxRunning }) => maxRunning));
  }
}

export function link(a: string, b: string): string {
  return [a, b].sort().join();
}

interface OpenPermit {
  readonly permit: Permit;
  readonly received: Milliseconds;
}

/** One router: session, keepers, members by heartbeats, and endless demand of two teams. */
export class Node {
  readonly self;
  readonly process: ProcessClock;
  readonly metrics = new FakeMetrics();
  readonly session: Session;
  readonly keepers: Keepers;
  readonly openPermits = new Map<string, OpenPermit>();
  readonly stop = new AbortController();
  readonly #lastHeartbeats = new Map<string, LastHeartbeat>();
  readonly #fences = new Map<string, number>();
  /** Routers that took servers over, which heartbeats name only later. */
  readonly #newKeepers = new Set<string>();
  readonly #inbox: (readonly [Node, Message])[] = [];
  readonly #pauses: PauseDetector;
  leaving = false;

  constructor(
    readonly fleet: Fleet,
    readonly name: string,
    incarnation: string,
  ) {
    this.self = router(name, incarnation);
    setMaxListeners(0, this.stop.signal);
    this.process = new ProcessClock(fleet.clock);
    const { self, metrics } = this;
    const raw = fleet.table.path(name);
    const table = {
      transact: (transaction: Parameters<typeof raw.transact>[0]) =>
        this.#gated(raw.transact(transaction)),
      rows: (prefix: string) => this.#gated(raw.rows(prefix)),
    };
    const common = {
      self,
      clock: this.process,
      members: this.#view(),
      metrics,
      eventLog,
      random: fleet.random,
    };
    this.session = Session.create({ ...common, table, relay: relayOf(fleet.table) });
    this.keepers = Keepers.create({
      ...common,
      session: this.session,
      table: this.session.table(),
      vmList: { vms: () => this.#vms() },
      outbox: {
        send: (to, message) => {
          fleet.send(this, to, message);
        },
      },
      catalogue: { current: () => fleet.catalogue },
      control: this.#control(),
    });
    void this.session.run(this.stop.signal);
    void this.keepers.run(this.stop.signal);
    this.#pauses = PauseDetector.create(this.process);
    void this.#tick();
    void this.#sendHeartbeats();
    if (fleet.options.hasDemand) void this.sendDemand();
  }

  kill(): void {
    this.stop.abort();
    this.fleet.nodes.splice(this.fleet.nodes.indexOf(this), 1);
    for (const { running } of this.fleet.servers) {
      for (const [id, by] of running) if (by === this.self.incarnation) running.delete(id);
    }
  }

  /** Shuts down gracefully: announces it, hands the servers over and releases the session. */
  async leave(): Promise<void> {
    this.leaving = true;
    await this.process.sleep(600);
    await this.keepers.resign();
    await this.session.release();
  }

  pause(): void {
    this.process.pause();
  }

  resume(): void {
    this.process.resume();
    for (const [from, message] of this.#inbox.splice(0)) this.deliver(from, message);
  }

  alive() {
    const limit = this.fleet.clock.now() - 1_500;
    const heartbeats = [...this.#lastHeartbeats.values()].filter(({ at }) => at > limit);
    const others = heartbeats.map((one) => one.router).filter(({ name }) => name !== this.name);
    return [this.self, ...others].sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  #view(): MemberView {
    return {
      self: this.self,
      alive: () => this.alive(),
      isLeaving: (name) =>
        name === this.name ? this.leaving : (this.#lastHeartbeats.get(name)?.leaving ?? false),
      reachesPlatform: (name) => this.#lastHeartbeats.get(name)?.platform ?? false,
      keepers: () => [...this.#keepersByServer().values()],
      minLevel: () => undefined,
    };
  }

  deliver(from: Node, message: Message): void {
    if (this.stop.signal.aborted) return;
    if (this.process.isPaused) {
      this.#inbox.push([from, message]);
      return;
    }
    this.keepers.receive(from.name, message);
    switch (message.kind) {
      case 'heartbeat':
        this.#lastHeartbeats.set(from.name, { ...message, at: this.fleet.clock.now() });
        return;
      case 'grant':
        for (const permit of message.permits) void this.#use(permit);
        return;
      case 'revoke':
        for (const id of message.permits) this.#end(id, 'cancelled');
        return;
      case 'takeover': {
        const { server, fence } = message;
        this.#fences.set(server, Math.max(fence, this.#fences.get(server) ?? 0));
        const permits = [...this.openPermits.values()]
          .map(({ permit }) => permit)
          .filter((permit) => permit.server === server);
        this.fleet.send(this, from.name, { kind: 'holding', server, fence, permits });
        this.#newKeepers.add(from.name);
        return;
      }
      case 'demand':
      case 'release':
      case 'started':
      case 'holding':
      case 'handover':
      case 'report':
      case 'level':
        return;
    }
  }

  async #use(permit: Permit): Promise<void> {
    const { random, clock, servers, options } = this.fleet;
    const delay = options.useDelay?.(permit) ?? (random() < 0.2 ? random() * 990 : 0);
    const received = clock.now();
    this.openPermits.set(permit.id, { permit, received });
    const isOld =
      permit.fence < (this.#fences.get(permit.server) ?? 0) || this.#pauses.isAfterPause();
    if (!isOld && delay > 0) await this.process.sleep(delay, this.stop.signal);
    const isLate = clock.now() - received >= 1_000;
    const server = servers.find(({ name }) => name === permit.server);
    if (this.stop.signal.aborted || server === undefined) return;
    if (!this.openPermits.has(permit.id)) return;
    if (isOld || isLate || random() < 0.05) {
      this.#end(permit.id, 'unused');
      return;
    }
    server.begin(permit.id, this.self.incarnation);
    const runTime = options.runTime?.(permit) ?? 20 + random() * (random() < 0.1 ? 5_000 : 300);
    await clock.sleep(runTime, this.stop.signal);
    server.running.delete(permit.id);
    await this.process.gate();
    this.#end(permit.id, options.outcome);
  }

  #end(id: string, outcome: Outcome): void {
    const openPermit = this.openPermits.get(id);
    if (openPermit === undefined || this.stop.signal.aborted) return;
    this.openPermits.delete(id);
    const { server } = openPermit.permit;
    this.fleet.servers.find(({ name }) => name === server)?.running.delete(id);
    const kept = this.#keepersByServer().get(server)?.router;
    const release = { id, server, outcome, firstByte: 10, cost: 1 };
    if (kept !== undefined) this.fleet.send(this, kept, { kind: 'release', permits: [release] });
  }

  #keepersByServer(): ReadonlyMap<string, ServerKeeper> {
    const keepers = new Map<string, ServerKeeper>();
    const alive = [...this.#lastHeartbeats.values()].filter(
      ({ at }) => at > this.fleet.clock.now() - 3_000,
    );
    const all = alive.flatMap(({ router: { name }, keepers }) =>
      keepers.map((state) => ({ router: name, state })),
    );
    for (const kept of all) {
      const before = keepers.get(kept.state.server);
      if (before === undefined || before.state.fence < kept.state.fence) {
        keepers.set(kept.state.server, kept);
      }
    }
    return keepers;
  }

  async #tick(): Promise<void> {
    while (!this.stop.signal.aborted) {
      this.#pauses.tick();
      await this.process.sleep(100, this.stop.signal);
    }
  }

  async #sendHeartbeats(): Promise<void> {
    const { fleet, self, stop, session } = this;
    while (!stop.signal.aborted) {
      for (const { name } of fleet.nodes) {
        fleet.send(this, name, {
          kind: 'heartbeat',
          router: self,
          revision: 1,
          platform: session.isHeld(),
          leaving: this.leaving,
          keepers: this.keepers.states(),
          floors: [],
          members: [],
        });
      }
      await this.process.sleep(fleet.options.heartbeatInterval, stop.signal);
    }
  }

  /** Sends endless demand until the router stops. */
  async sendDemand(): Promise<void> {
    const team = {
      interactive: 4,
      batch: 0,
      estimate: 1,
      oldest: 10,
      level: 0,
      counted: 0,
      weight: 1,
    };
    while (!this.stop.signal.aborted) {
      const teams = ['t1', 't2'].map((name) => ({ ...team, team: name }));
      const keepers = [...this.#keepersByServer().values()].map((kept) => kept.router);
      for (const keeper of new Set([...keepers, ...this.#newKeepers])) {
        this.fleet.send(this, keeper, { kind: 'demand', service: 'app', complete: true, teams });
      }
      await this.process.sleep(50, this.stop.signal);
    }
  }

  #gated<T, E>(result: ResultAsync<T, E>): ResultAsync<T, E> {
    return new ResultAsync(
      (async () => {
        const value = await result;
        await this.process.gate();
        return value;
      })(),
    );
  }

  #vms(): ResultAsync<readonly Vm[], never> {
    const list = [...this.fleet.vms].map(([vm, state]) => ({ vm, dataCentre: 'dc', state }));
    return new ResultAsync(Promise.resolve(ok(list)));
  }

  #control(): ServerControl {
    return {
      load: (address) => {
        const server = this.fleet.servers.find(({ name }) => name === address);
        if (server === undefined) return errAsync('unknown');
        return this.#gated(
          new ResultAsync(Promise.resolve(ok(server.report(this.fleet.clock.now())))),
        );
      },
      order: () => errAsync('none'),
    };
  }
}
