// All servers that this router keeps: it takes and gives up keeper rows, and joins demand from other
// routers with free permits the moment both are there.

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
import { Contacts } from './contacts.js';
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
import { Tenure } from './keeperSupervisor.js';

/** Time between two looks at rows, members and fences. */
const roundPeriod: Milliseconds = 250;
/** Keeper rows are read once in this time. */
const readPeriod: Milliseconds = 1_000;
/** Rows taken after one read, at most, so that 8 routers stay within 300 writes/s. */
const takesPerRead = 20;

export interface KeepersParts {
  readonly self: Router;
  readonly clock: Clock;
  readonly session: Session;
  /** Normally `session.table()`, which falls back to peers and counts requests. */
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
  readonly #parts: KeepersParts;
  readonly #table: KeeperTable;
  readonly #contacts: Contacts;
  readonly #serviceability: Serviceability;
  readonly #tenure: Tenure;
  readonly #books = new Map<ServiceName, DemandBook>();
  #readAt = Number.NEGATIVE_INFINITY;
  #isResigned = false;

  private constructor(parts: KeepersParts) {
    this.#parts = parts;
    this.#table = KeeperTable.create(parts);
    this.#contacts = Contacts.create(parts.clock, parts.members);
    this.#serviceability = Serviceability.create(parts.clock, parts.vmList, parts.metrics);
    this.#tenure = Tenure.create({
      ...parts,
      rows: this.#table,
      contacts: this.#contacts,
      serviceability: this.#serviceability,
      changed: (service) => {
        this.#dispatch(service);
      },
    });
  }

  static create(parts: KeepersParts): Keepers {
    return new Keepers(parts);
  }

  /** Keeps servers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const listed = this.#serviceability.run(signal, (vms) => {
      this.#parts.session.updateVmList(vms);
      void sweepSessions(this.#parts, vms);
    });
    const { clock, random } = this.#parts;
    await clock.sleep(random() * roundPeriod, signal);
    while (!signal.aborted) {
      await this.#round();
      await clock.sleep(roundPeriod, signal);
    }
    this.#tenure.stopAll();
    await listed;
  }

  /** Takes a message from another router or the own one. Kinds meant for others are ignored. */
  receive(from: RouterName, message: Message): void {
    switch (message.kind) {
      case 'demand':
        this.#demanded(from, message);
        return;
      case 'release':
        this.#released(from, message);
        return;
      case 'started':
        this.#started(from, message);
        return;
      case 'holding':
        this.#held(from, message);
        return;
      case 'handover':
        this.#tenure.handedOver(message);
        this.#readAt = Number.NEGATIVE_INFINITY;
        return;
      case 'takeover':
        this.#tenure.learn(message.server, message.fence);
        return;
      case 'heartbeat':
      case 'grant':
      case 'revoke':
      case 'report':
      case 'level':
        return;
    }
  }

  /** The servers kept here, for heartbeats. */
  states(): readonly KeeperState[] {
    return this.#tenure.tasks().map(({ keeper }) => keeper.state());
  }

  /** Grants nothing any more, gives up the rows and hands over to the successors. Nothing is kept afterwards. */
  async resign(): Promise<void> {
    this.#isResigned = true;
    const tasks = this.#tenure.stopAll();
    const told = await this.#table.release(tasks.map(({ keeper }) => keeper.server));
    for (const { keeper } of tasks) this.#handOver(keeper.server, keeper.state(), keeper.permits());
    this.#parts.eventLog.record('keepers.resigned', { servers: tasks.length, told });
  }

  async #round(): Promise<void> {
    this.#refreshContacts();
    const { clock, session } = this.#parts;
    const isDue = clock.now() - this.#readAt >= readPeriod || !this.#table.isConfirmed();
    if (session.isHeld() && isDue && clock.now() - this.#readAt >= roundPeriod) {
      this.#readAt = clock.now();
      const isRead = await this.#table.read();
      if (isRead && !this.#isResigned) await this.#takeRows();
    }
    if (!this.#isResigned) this.#tenure.reconcile();
  }

  async #takeRows(): Promise<void> {
    this.#tenure.reconcile();
    const { self, catalogue, session } = this.#parts;
    const free = Object.keys(catalogue.current().servers).filter((name) =>
      this.#table.isFree(name),
    );
    const candidates = this.#candidates();
    const chosen = free.filter((server) => owner(server, candidates) === self.name);
    for (const server of chosen.slice(0, takesPerRead)) {
      if (this.#isResigned || !session.isHeld()) return;
      await this.#table.take(server);
      this.#tenure.reconcile();
    }
  }

  /** Routers that may keep servers. A router in contact whose session stays lapsed cannot take rows. */
  #candidates(): readonly RouterName[] {
    const { self, session } = this.#parts;
    return this.#contacts
      .staying()
      .filter((name) => name === self.name || !session.isLapseConfirmed(name));
  }

  #refreshContacts(): void {
    for (const { router, keep } of this.#contacts.refresh()) {
      for (const { keeper } of this.#tenure.tasks()) keeper.orphan(router, keep);
      for (const book of this.#books.values()) book.forget(router);
    }
  }

  #demanded(from: RouterName, { service, teams, complete }: Demand): void {
    if (this.#contacts.incarnation(from) === undefined) this.#refreshContacts();
    this.#book(service).update(from, teams, complete);
    this.#dispatch(service);
  }

  #released(from: RouterName, { permits }: ReleaseBatch): void {
    const services = new Set<ServiceName>();
    for (const release of permits) {
      const task = this.#tenure.task(release.server);
      const held = task?.keeper.release(from, release);
      if (task === undefined || held === undefined) continue;
      const { service, team, sequence } = held.permit;
      if (release.outcome === 'unused') this.#book(service).unused({ to: from, team, sequence });
      task.revoke();
      services.add(service);
    }
    for (const service of services) this.#dispatch(service);
  }

  #started(from: RouterName, { permits }: FirstByteBatch): void {
    for (const start of permits) {
      const task = this.#tenure.task(start.server);
      task?.keeper.started(from, start);
      task?.revoke();
    }
  }

  #held(from: RouterName, message: HeldPermits): void {
    const task = this.#tenure.task(message.server);
    this.#parts.session.recordAcknowledgement(from);
    if (task === undefined) return;
    const incarnation = this.#contacts.incarnation(from);
    if (incarnation === undefined) return;
    task.keeper.holding(from, incarnation, message);
    this.#dispatch(task.keeper.service);
  }

  /** Grants while there is waiting work and a free permit, and sends each router its grants at once. */
  #dispatch(service: ServiceName): void {
    const book = this.#books.get(service);
    if (book === undefined) return;
    const batches = new Map<RouterName, Permit[]>();
    for (let task = this.#freest(service); task !== undefined; task = this.#freest(service)) {
      const turn = book.take();
      const incarnation = turn && this.#contacts.incarnation(turn.to);
      if (turn === undefined || incarnation === undefined) break;
      const permit = task.keeper.grant(turn, incarnation);
      const batch = batches.get(turn.to);
      if (batch === undefined) batches.set(turn.to, [permit]);
      else batch.push(permit);
    }
    for (const [to, permits] of batches) this.#parts.outbox.send(to, { kind: 'grant', permits });
  }

  #freest(service: ServiceName): ServerTask | undefined {
    let best: ServerTask | undefined;
    let most = 0;
    for (const task of this.#tenure.tasksOf(service)) {
      const free = task.keeper.free();
      if (free <= most) continue;
      best = task;
      most = free;
    }
    return best;
  }

  #book(service: ServiceName): DemandBook {
    const known = this.#books.get(service);
    if (known !== undefined) return known;
    const isPresent = (name: RouterName): boolean => this.#contacts.incarnation(name) !== undefined;
    const book = DemandBook.create(this.#parts.clock, isPresent);
    this.#books.set(service, book);
    return book;
  }

  #handOver(server: ServerName, { fence, limit }: KeeperState, permits: readonly Permit[]): void {
    const others = this.#contacts.staying().filter((name) => name !== this.#parts.self.name);
    const successor = owner(server, others);
    if (successor === undefined) return;
    this.#parts.outbox.send(successor, { kind: 'handover', server, fence, limit, permits });
  }
}
