// A fleet of routers in one process: real sessions and keepers on a fake network, with entries that
// use permits and servers that check on their own how much they have in flight.

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

interface Heard {
  readonly router: ReturnType<typeof router>;
  readonly platform: boolean;
  readonly leaving: boolean;
  readonly keepers: readonly KeeperState[];
  readonly at: Milliseconds;
}

/** The world's clock as a process sees it that may be paused. */
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
  most = 0;
  #shown: LoadReport;
  #shownAt: Milliseconds = 0;

  constructor(readonly name: string) {
    this.#shown = this.#load(0);
  }

  /** Load reports lag: they show what was true at the last `show`. */
  show(now: Milliseconds): void {
    this.#shown = this.#load(0);
    this.#shownAt = now;
  }

  report(now: Milliseconds): LoadReport {
    return { ...this.#shown, age: now - this.#shownAt };
  }

  begin(id: string, by: string): void {
    this.running.set(id, by);
    this.started += 1;
    this.most = Math.max(this.most, this.running.size);
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
  /** What requests end with; `cancelled` keeps servers cold for ever. */
  readonly outcome: Outcome;
  /** Share of messages that get lost. */
  readonly loss: number;
  /** Time between load figures. */
  readonly lag: Milliseconds;
  /** Time from a grant to its use, if not a random one. */
  readonly useDelay: ((permit: Permit) => Milliseconds) | undefined;
  /** Time a request runs, if not a random one. */
  readonly runTime: ((permit: Permit) => Milliseconds) | undefined;
  /** Whether entries have work from the start. */
  readonly work: boolean;
  /** Time between heartbeats. */
  readonly beat: Milliseconds;
}

const usual: FleetOptions = {
  routers: 3,
  servers: 3,
  coldLimit: 4,
  warmLimit: 16,
  seed: 1,
  outcome: 'cancelled',
  loss: 0,
  lag: 100,
  useDelay: undefined,
  runTime: undefined,
  work: true,
  beat: 500,
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
    const options = { ...usual, ...overrides };
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
      for (const server of this.servers) if (now % this.options.lag < 100) server.show(now);
    }
  }

  /** Requests that started on the servers during `duration`. */
  async startedIn(duration: Milliseconds): Promise<readonly number[]> {
    const before = this.servers.map(({ started }) => started);
    await this.run(duration);
    return this.servers.map(({ started }, index) => started - (before[index] ?? 0));
  }

  /** Cuts or joins the links between every router of `names` and every other one. */
  cut(names: readonly string[]): void {
    const others = this.nodes.map(({ name }) => name).filter((name) => !names.includes(name));
    for (const name of names) for (const other of others) this.cuts.add(link(name, other));
  }

  /** Takes the platform away from the named routers. */
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

  /** The only router with authority over the server. */
  keeperOf(server: string): Node {
    const [node, ...others] = this.keepersOf(server);
    if (node === undefined || others.length > 0) throw new Error(`no single keeper of ${server}`);
    return node;
  }

  /** Routers but the named one. */
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

  /** Links keep their order and take 1 ms; a cut or lost message is gone. */
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

  most(): number {
    return Math.max(...this.servers.map(({ most }) => most));
  }
}

export function link(a: string, b: string): string {
  return [a, b].sort().join();
}

interface Ticket {
  readonly permit: Permit;
  readonly received: Milliseconds;
}

/** One router: session, keepers, members by heartbeat, and an entry with endless work of two teams. */
export class Node {
  readonly self;
  readonly process: ProcessClock;
  readonly metrics = new FakeMetrics();
  readonly session: Session;
  readonly keepers: Keepers;
  readonly tickets = new Map<string, Ticket>();
  readonly stop = new AbortController();
  readonly #heard = new Map<string, Heard>();
  readonly #fences = new Map<string, number>();
  /** Routers that took servers over; heartbeats would name them only later. */
  readonly #takers = new Set<string>();
  readonly #inbox: (readonly [Node, Message])[] = [];
  readonly #watch: PauseDetector;
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
    this.#watch = PauseDetector.create(this.process);
    void this.#tick();
    void this.#beat();
    if (fleet.options.work) void this.work();
  }

  kill(): void {
    this.stop.abort();
    this.fleet.nodes.splice(this.fleet.nodes.indexOf(this), 1);
    for (const { running } of this.fleet.servers) {
      for (const [id, by] of running) if (by === this.self.incarnation) running.delete(id);
    }
  }

  /** A planned stop: announced, handed over, released. */
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
    const heard = [...this.#heard.values()].filter(({ at }) => at > limit);
    const others = heard.map((one) => one.router).filter(({ name }) => name !== this.name);
    return [this.self, ...others].sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  #view(): MemberView {
    return {
      self: this.self,
      alive: () => this.alive(),
      isLeaving: (name) =>
        name === this.name ? this.leaving : (this.#heard.get(name)?.leaving ?? false),
      reachesPlatform: (name) => this.#heard.get(name)?.platform ?? false,
      keepers: () => [...this.#best().values()],
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
        this.#heard.set(from.name, { ...message, at: this.fleet.clock.now() });
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
        const permits = [...this.tickets.values()]
          .map(({ permit }) => permit)
          .filter((permit) => permit.server === server);
        this.fleet.send(this, from.name, { kind: 'holding', server, fence, permits });
        this.#takers.add(from.name);
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
    this.tickets.set(permit.id, { permit, received });
    const isOld =
      permit.fence < (this.#fences.get(permit.server) ?? 0) || this.#watch.isAfterPause();
    if (!isOld && delay > 0) await this.process.sleep(delay, this.stop.signal);
    const isLate = clock.now() - received >= 1_000;
    const server = servers.find(({ name }) => name === permit.server);
    if (this.stop.signal.aborted || server === undefined) return;
    if (!this.tickets.has(permit.id)) return;
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
    const ticket = this.tickets.get(id);
    if (ticket === undefined || this.stop.signal.aborted) return;
    this.tickets.delete(id);
    const { server } = ticket.permit;
    this.fleet.servers.find(({ name }) => name === server)?.running.delete(id);
    const kept = this.#best().get(server)?.router;
    const release = { id, server, outcome, firstByte: 10, cost: 1 };
    if (kept !== undefined) this.fleet.send(this, kept, { kind: 'release', permits: [release] });
  }

  #best(): ReadonlyMap<string, ServerKeeper> {
    const best = new Map<string, ServerKeeper>();
    const alive = [...this.#heard.values()].filter(({ at }) => at > this.fleet.clock.now() - 3_000);
    const all = alive.flatMap(({ router: { name }, keepers }) =>
      keepers.map((state) => ({ router: name, state })),
    );
    for (const kept of all) {
      const before = best.get(kept.state.server);
      if (before === undefined || before.state.fence < kept.state.fence) {
        best.set(kept.state.server, kept);
      }
    }
    return best;
  }

  async #tick(): Promise<void> {
    while (!this.stop.signal.aborted) {
      this.#watch.tick();
      await this.process.sleep(100, this.stop.signal);
    }
  }

  async #beat(): Promise<void> {
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
      await this.process.sleep(fleet.options.beat, stop.signal);
    }
  }

  /** Says what waits, which is endless, until the router stops. */
  async work(): Promise<void> {
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
      const keepers = [...this.#best().values()].map((kept) => kept.router);
      for (const keeper of new Set([...keepers, ...this.#takers])) {
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
