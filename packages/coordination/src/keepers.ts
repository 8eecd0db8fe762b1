// Manages the keepers of this router: takes and releases keeper rows, and grants permits as soon as there
// are both demand from a router and a free permit.

import type {
  Demand,
  HeldPermits,
  KeeperState,
  Message,
  ReleaseBatch,
  FirstByteBatch,
} from '@catkinwheel/protocol';
import type {
  Clock,
  Milliseconds,
  Permit,
  Router,
  RouterName,
  ServerName,
  ServiceName,
} from '@catkinwheel/state';
import { IncarnationTracker } from './incarnationTracker.js';
import { DemandBook } from './demandBook.js';
import { KeeperTable } from './keeperTable.js';
import type {
  CatalogueView,
  EventLog,
  MemberView,
  Metrics,
  Outbox,
  Random,
  ServerControl,
  Table,
  VmList,
} from './ports.js';
import { owner } from './rendezvous.js';
import { Serviceability } from './serviceability.js';
import type { ServerTask } from './serverTask.js';
import type { Session } from './session.js';
import { sweepSessions } from './sessionSweep.js';
import { KeeperSupervisor } from './keeperSupervisor.js';

/** Interval of checking rows, members and fences. */
const checkInterval: Milliseconds = 250;
/** Interval of reading the keeper rows. */
const readInterval: Milliseconds = 1_000;
/** Maximum number of rows taken after one read, so that 8 routers stay within 300 writes/s. */
const maxTakesPerRead = 20;

export interface KeepersDependencies {
  readonly self: Router;
  readonly clock: Clock;
  readonly session: Session;
  /** Normally `session.table()`, which falls back to relays by peers and counts requests. */
  readonly table: Table;
  readonly vmList: VmList;
  readonly members: MemberView;
  readonly outbox: Outbox;
  readonly catalogue: CatalogueView;
  readonly control: ServerControl;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
  readonly random: Random;
}

/** The keepers of one router. */
export class Keepers {
  readonly #dependencies: KeepersDependencies;
  readonly #table: KeeperTable;
  readonly #incarnations: IncarnationTracker;
  readonly #serviceability: Serviceability;
  readonly #supervisor: KeeperSupervisor;
  readonly #books = new Map<ServiceName, DemandBook>();
  #lastReadAt = Number.NEGATIVE_INFINITY;
  #hasResigned = false;

  private constructor(dependencies: KeepersDependencies) {
    this.#dependencies = dependencies;
    this.#table = KeeperTable.create(dependencies);
    this.#incarnations = IncarnationTracker.create(dependencies.clock, dependencies.members);
    this.#serviceability = Serviceability.create(
      dependencies.clock,
      dependencies.vmList,
      dependencies.metrics,
    );
    this.#supervisor = KeeperSupervisor.create({
      ...dependencies,
      rows: this.#table,
      incarnations: this.#incarnations,
      serviceability: this.#serviceability,
      onPermitsFreed: (service) => {
        this.#dispatch(service);
      },
    });
  }

  static create(dependencies: KeepersDependencies): Keepers {
    return new Keepers(dependencies);
  }

  /** Takes and keeps servers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const listed = this.#serviceability.run(signal, (vms) => {
      this.#dependencies.session.updateVmList(vms);
      void sweepSessions(this.#dependencies, vms);
    });
    const { clock, random } = this.#dependencies;
    await clock.sleep(random() * checkInterval, signal);
    while (!signal.aborted) {
      await this.#check();
      await clock.sleep(checkInterval, signal);
    }
    this.#supervisor.stopAll();
    await listed;
  }

  /** Handles a message from any router, including this one. Kinds for other modules are ignored. */
  receive(from: RouterName, message: Message): void {
    switch (message.kind) {
      case 'demand':
        this.#onDemand(from, message);
        return;
      case 'release':
        this.#onRelease(from, message);
        return;
      case 'started':
        this.#onSlowFirstBytes(from, message);
        return;
      case 'holding':
        this.#onHolding(from, message);
        return;
      case 'handover':
        this.#supervisor.recordHandover(message);
        this.#lastReadAt = Number.NEGATIVE_INFINITY;
        return;
      case 'takeover':
        this.#supervisor.recordFence(message.server, message.fence);
        return;
      case 'heartbeat':
      case 'grant':
      case 'revoke':
      case 'report':
      case 'level':
        return;
    }
  }

  /** States of the servers kept by this router, for heartbeats. */
  states(): readonly KeeperState[] {
    return this.#supervisor.tasks().map(({ keeper }) => keeper.state());
  }

  /** Stops granting for good, releases the rows and hands the servers over to their next keepers. */
  async resign(): Promise<void> {
    this.#hasResigned = true;
    const tasks = this.#supervisor.stopAll();
    // The event field `told`: whether the table confirmed that the rows are released.
    const told = await this.#table.release(tasks.map(({ keeper }) => keeper.server));
    for (const { keeper } of tasks) this.#handOver(keeper.server, keeper.state(), keeper.permits());
    this.#dependencies.eventLog.record('keepers.resigned', { servers: tasks.length, told });
  }

  async #check(): Promise<void> {
    this.#updateIncarnations();
    const { clock, session } = this.#dependencies;
    const isReadDue = clock.now() - this.#lastReadAt >= readInterval || !this.#table.isConfirmed();
    if (session.isHeld() && isReadDue && clock.now() - this.#lastReadAt >= checkInterval) {
      this.#lastReadAt = clock.now();
      const isRead = await this.#table.read();
      if (isRead && !this.#hasResigned) await this.#takeRows();
    }
    if (!this.#hasResigned) this.#supervisor.reconcile();
  }

  async #takeRows(): Promise<void> {
    this.#supervisor.reconcile();
    const { self, catalogue, session } = this.#dependencies;
    const free = Object.keys(catalogue.current().servers).filter((name) =>
      this.#table.isFree(name),
    );
    const candidates = this.#candidates();
    const chosen = free.filter((server) => owner(server, candidates) === self.name);
    for (const server of chosen.slice(0, maxTakesPerRead)) {
      if (this.#hasResigned || !session.isHeld()) return;
      await this.#table.take(server);
      this.#supervisor.reconcile();
    }
  }

  /** Routers that may take rows: live ones that are not leaving, without those whose session stays lapsed. */
  #candidates(): readonly RouterName[] {
    const { self, session } = this.#dependencies;
    return this.#incarnations
      .remaining()
      .filter((name) => name === self.name || !session.isLapseConfirmed(name));
  }

  #updateIncarnations(): void {
    for (const { router, newIncarnation } of this.#incarnations.update()) {
      for (const { keeper } of this.#supervisor.tasks()) keeper.dropRouter(router, newIncarnation);
      for (const book of this.#books.values()) book.dropRouter(router);
    }
  }

  #onDemand(from: RouterName, { service, teams, complete }: Demand): void {
    if (this.#incarnations.incarnation(from) === undefined) this.#updateIncarnations();
    this.#bookOf(service).update(from, teams, complete);
    this.#dispatch(service);
  }

  #onRelease(from: RouterName, { permits }: ReleaseBatch): void {
    const services = new Set<ServiceName>();
    for (const release of permits) {
      const task = this.#supervisor.task(release.server);
      const held = task?.keeper.release(from, release);
      if (task === undefined || held === undefined) continue;
      const { service, team, sequence } = held.permit;
      if (release.outcome === 'unused')
        this.#bookOf(service).returnUnused({ to: from, team, sequence });
      task.revokeExcess();
      services.add(service);
    }
    for (const service of services) this.#dispatch(service);
  }

  #onSlowFirstBytes(from: RouterName, { permits }: FirstByteBatch): void {
    for (const start of permits) {
      const task = this.#supervisor.task(start.server);
      task?.keeper.recordSlowFirstByte(from, start);
      task?.revokeExcess();
    }
  }

  #onHolding(from: RouterName, message: HeldPermits): void {
    const task = this.#supervisor.task(message.server);
    this.#dependencies.session.recordAcknowledgement(from);
    if (task === undefined) return;
    const incarnation = this.#incarnations.incarnation(from);
    if (incarnation === undefined) return;
    task.keeper.applyHolding(from, incarnation, message);
    this.#dispatch(task.keeper.service);
  }

  /** Grants while there are demand and a free permit; each router gets its grants in one message. */
  #dispatch(service: ServiceName): void {
    const book = this.#books.get(service);
    if (book === undefined) return;
    const batches = new Map<RouterName, Permit[]>();
    for (
      let task = this.#taskWithMostFreePermits(service);
      task !== undefined;
      task = this.#taskWithMostFreePermits(service)
    ) {
      const next = book.take();
      const incarnation = next && this.#incarnations.incarnation(next.to);
      if (next === undefined || incarnation === undefined) break;
      const permit = task.keeper.grant(next, incarnation);
      const batch = batches.get(next.to);
      if (batch === undefined) batches.set(next.to, [permit]);
      else batch.push(permit);
    }
    for (const [to, permits] of batches)
      this.#dependencies.outbox.send(to, { kind: 'grant', permits });
  }

  #taskWithMostFreePermits(service: ServiceName): ServerTask | undefined {
    let best: ServerTask | undefined;
    let maxFree = 0;
    for (const task of this.#supervisor.tasksOf(service)) {
      const free = task.keeper.free();
      if (free <= maxFree) continue;
      best = task;
      maxFree = free;
    }
    return best;
  }

  #bookOf(service: ServiceName): DemandBook {
    const known = this.#books.get(service);
    if (known !== undefined) return known;
    const isPresent = (name: RouterName): boolean =>
      this.#incarnations.incarnation(name) !== undefined;
    const book = DemandBook.create(this.#dependencies.clock, isPresent);
    this.#books.set(service, book);
    return book;
  }

  #handOver(server: ServerName, { fence, limit }: KeeperState, permits: readonly Permit[]): void {
    const others = this.#incarnations
      .remaining()
      .filter((name) => name !== this.#dependencies.self.name);
    const successor = owner(server, others);
    if (successor === undefined) return;
    this.#dependencies.outbox.send(successor, { kind: 'handover', server, fence, limit, permits });
  }
}
