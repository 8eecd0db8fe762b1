// Which servers this router keeps at a moment follows from rows, lease, contacts and fences. Keepers
// are started and stopped here and nowhere else.

import type { Authority, Handover, KeeperState, ServerPhase } from '@catkinwheel/protocol';
import type {
  Clock,
  FencingToken,
  Milliseconds,
  Router,
  RouterName,
  Server,
  ServerName,
  ServiceName,
} from '@catkinwheel/state';
import type { Contacts } from './contacts.js';
import { Keeper } from './keeper.js';
import type { KeeperTable } from './keeperTable.js';
import type {
  CatalogueView,
  EventLog,
  MemberView,
  Metrics,
  Outbox,
  ServerControl,
} from './ports.js';
import { owner } from './rendezvous.js';
import type { Serviceability } from './serviceability.js';
import type { Inheritance } from './serverLimit.js';
import { ServerTask } from './serverTask.js';
import type { Session } from './session.js';

/** What heartbeats said of a server is too old to inherit from after this: lapse, settling and takeover. */
const inheritanceTime: Milliseconds = 10_000;

export interface TenureParts {
  readonly self: Router;
  readonly clock: Clock;
  readonly session: Session;
  readonly rows: KeeperTable;
  readonly contacts: Contacts;
  readonly members: MemberView;
  readonly serviceability: Serviceability;
  readonly outbox: Outbox;
  readonly catalogue: CatalogueView;
  readonly control: ServerControl;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
  /** Called when permits of a service may have become free. */
  readonly changed: (service: ServiceName) => void;
}

/** Why a server is kept here. */
type Tenancy =
  /** The keeper row is the own one. */
  | { readonly kind: 'holder'; readonly fence: FencingToken }
  /** The holder is gone during an outage; only a warm server may be served. */
  | { readonly kind: 'substitute'; readonly fence: FencingToken };

interface Kept {
  readonly tenancy: Tenancy;
  readonly task: ServerTask;
}

interface Remembered {
  readonly state: KeeperState;
  readonly at: Milliseconds;
}

/** The keepers that run on this router. */
export class Tenure {
  readonly #parts: TenureParts;
  readonly #kept = new Map<ServerName, Kept>();
  /** Running tasks by service, for the hot path. */
  #byService: ReadonlyMap<ServiceName, readonly ServerTask[]> = new Map();
  /** Highest fence heard of. */
  readonly #fences = new Map<ServerName, FencingToken>();
  readonly #remembered = new Map<ServerName, Remembered>();
  /** Session epoch for which all keepers count anew. */
  #epoch = 0;
  #permits = 0;
  #isClosed = false;

  private constructor(parts: TenureParts) {
    this.#parts = parts;
  }

  static create(parts: TenureParts): Tenure {
    return new Tenure(parts);
  }

  tasks(): readonly ServerTask[] {
    return [...this.#kept.values()].map(({ task }) => task);
  }

  tasksOf(service: ServiceName): readonly ServerTask[] {
    return this.#byService.get(service) ?? [];
  }

  task(server: ServerName): ServerTask | undefined {
    return this.#kept.get(server)?.task;
  }

  /** Another router keeps the server with `fence`; a keeper with a lower one stops at once. */
  learn(server: ServerName, fence: FencingToken): void {
    if (fence <= (this.#fences.get(server) ?? 0)) return;
    this.#fences.set(server, fence);
    const kept = this.#kept.get(server);
    if (kept !== undefined && kept.tenancy.fence < fence) this.#stop(server, kept);
  }

  /** The limit of a keeper that leaves is worth more than its last heartbeat. */
  handedOver({ server, fence, limit }: Handover): void {
    const last = this.#remembered.get(server);
    if (last?.state.fence !== fence) return;
    this.#remembered.set(server, { ...last, state: { ...last.state, limit } });
  }

  /** Starts and stops keepers as rows, lease and contacts demand. */
  reconcile(): void {
    if (this.#isClosed) return;
    this.#remember();
    const { servers } = this.#parts.catalogue.current();
    for (const [name, kept] of this.#kept) {
      const tenancy = this.#tenancy(name, servers[name]);
      const same = tenancy?.kind === kept.tenancy.kind && tenancy.fence === kept.tenancy.fence;
      if (!same) this.#stop(name, kept);
    }
    for (const [name, server] of Object.entries(servers)) {
      if (this.#kept.has(name)) continue;
      const tenancy = this.#tenancy(name, server);
      if (tenancy !== undefined) this.#start(name, server, tenancy);
    }
    this.#countAnew();
  }

  /** Stops all keepers for good and returns their tasks. */
  stopAll(): readonly ServerTask[] {
    this.#isClosed = true;
    const tasks = this.tasks();
    for (const [name, kept] of [...this.#kept]) this.#stop(name, kept);
    return tasks;
  }

  #tenancy(name: ServerName, server: Server | undefined): Tenancy | undefined {
    const { rows, session } = this.#parts;
    const row = rows.row(name);
    if (server === undefined || row === undefined) return undefined;
    if (row.fence < (this.#fences.get(name) ?? 0)) return undefined;
    if (rows.isOwn(name)) return { kind: 'holder', fence: row.fence };
    if (session.authority('warm') !== 'acting' || row.released) return undefined;
    return this.#isSubstitute(name, row.holder)
      ? { kind: 'substitute', fence: row.fence }
      : undefined;
  }

  #isSubstitute(server: ServerName, holder: RouterName): boolean {
    const { contacts, self } = this.#parts;
    return contacts.isDead(holder) && owner(server, contacts.staying()) === self.name;
  }

  #start(name: ServerName, server: Server, tenancy: Tenancy): void {
    const { self, clock, metrics, catalogue, eventLog: journal } = this.#parts;
    const service = catalogue.current().services[server.service];
    if (service === undefined) return;
    const keeper = Keeper.create({
      self,
      clock,
      metrics,
      server: name,
      service: server.service,
      limits: service,
      model: service.kind === 'model' ? service.model : undefined,
      fence: tenancy.fence,
      inherited: this.#inherited(name, tenancy.fence),
      nextId: () => (this.#permits += 1),
      authority: (phase) => this.#authority(name, tenancy, phase),
    });
    const task = ServerTask.create({
      ...this.#parts,
      keeper,
      mayOrder: () =>
        tenancy.kind === 'holder' && this.#authority(name, tenancy, 'warm') === 'held',
      routers: () => this.#parts.members.alive().map((router) => router.name),
      isAcknowledged: () => this.#parts.session.isAcknowledged(),
      awaited: () => this.#awaited(),
      changed: () => {
        this.#parts.changed(server.service);
      },
    });
    this.#kept.set(name, { tenancy, task });
    this.#index();
    journal.record('keeper.started', { server: name, ...tenancy });
    void task.run();
  }

  #stop(name: ServerName, { task, tenancy }: Kept): void {
    this.#remembered.set(name, { state: task.keeper.state(), at: this.#parts.clock.now() });
    task.stop();
    this.#kept.delete(name);
    this.#index();
    this.#parts.eventLog.record('keeper.stopped', { server: name, ...tenancy });
  }

  #index(): void {
    const byService = new Map<ServiceName, readonly ServerTask[]>();
    for (const { task } of this.#kept.values()) {
      const { service } = task.keeper;
      byService.set(service, [...(byService.get(service) ?? []), task]);
    }
    this.#byService = byService;
  }

  /** What the keeper may do at this moment; asked before each grant. */
  #authority(name: ServerName, { kind, fence }: Tenancy, phase: ServerPhase): Authority {
    const { rows, session } = this.#parts;
    if (fence < (this.#fences.get(name) ?? 0)) return 'none';
    const authority = session.authority(phase);
    switch (kind) {
      case 'holder':
        if (!rows.isOwn(name) || rows.row(name)?.fence !== fence) return 'none';
        return authority === 'held' && this.#epoch !== session.epoch() ? 'none' : authority;
      case 'substitute':
        return phase === 'warm' && authority === 'acting' ? 'acting' : 'none';
    }
  }

  /** After a gap in the lease others may have acted, so nothing is granted before a new count. */
  #countAnew(): void {
    const { rows, session } = this.#parts;
    if (!session.isHeld() || !rows.isConfirmed() || this.#epoch === session.epoch()) return;
    this.#epoch = session.epoch();
    for (const { task } of this.#kept.values()) task.ask();
  }

  /** Routers that may hold permits: those in contact and those with a session that has not lapsed. */
  #awaited(): readonly RouterName[] {
    const { members, session } = this.#parts;
    const valid = session.sessionRows().filter(({ router }) => !session.hasLapsed(router));
    const names = [...members.alive().map(({ name }) => name), ...valid.map((row) => row.router)];
    return [...new Set(names)];
  }

  #remember(): void {
    const { catalogue, members, clock } = this.#parts;
    for (const service of Object.keys(catalogue.current().services)) {
      for (const { router, state } of members.keepers(service)) {
        if (router === this.#parts.self.name) continue;
        this.learn(state.server, state.fence);
        this.#remembered.set(state.server, { state, at: clock.now() });
      }
    }
  }

  /** State of the keeper before; one of a fence further back is out of date. */
  #inherited(server: ServerName, fence: FencingToken): Inheritance | undefined {
    const last = this.#remembered.get(server);
    if (last === undefined || this.#parts.clock.now() - last.at > inheritanceTime) return undefined;
    return last.state.fence >= fence - 1 ? last.state : undefined;
  }
}
