// Starts and stops the keepers of this router. Which servers it keeps follows from the keeper rows, the
// lease, the live routers and the fences.

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
import type { IncarnationTracker } from './incarnationTracker.js';
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

/**
 * Maximum age of a keeper state that a new keeper may inherit. It covers the lapse of the previous
 * keeper's session, the settling time and the takeover.
 */
const maxInheritanceAge: Milliseconds = 10_000;

export interface KeeperSupervisorDependencies {
  readonly self: Router;
  readonly clock: Clock;
  readonly session: Session;
  readonly rows: KeeperTable;
  readonly incarnations: IncarnationTracker;
  readonly members: MemberView;
  readonly serviceability: Serviceability;
  readonly outbox: Outbox;
  readonly catalogue: CatalogueView;
  readonly control: ServerControl;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
  /** Called when permits of a service may have become available. */
  readonly onPermitsFreed: (service: ServiceName) => void;
}

/** The role in which this router keeps a server. */
type KeeperRole =
  /** This router holds the keeper row. */
  | { readonly kind: 'holder'; readonly fence: FencingToken }
  /** The holder died during an outage of the platform; permits are granted only while the server is warm. */
  | { readonly kind: 'substitute'; readonly fence: FencingToken };

interface RunningKeeper {
  readonly role: KeeperRole;
  readonly task: ServerTask;
}

interface LastState {
  readonly state: KeeperState;
  readonly at: Milliseconds;
}

/** The keepers that run on this router. */
export class KeeperSupervisor {
  readonly #dependencies: KeeperSupervisorDependencies;
  readonly #running = new Map<ServerName, RunningKeeper>();
  /** Running tasks by service, looked up for every grant. */
  #byService: ReadonlyMap<ServiceName, readonly ServerTask[]> = new Map();
  /** Highest fence seen for each server. */
  readonly #fences = new Map<ServerName, FencingToken>();
  /** Last state of each server at any keeper, which a new keeper may inherit. */
  readonly #lastStates = new Map<ServerName, LastState>();
  /** Session epoch for which all keepers were made to recount. */
  #epoch = 0;
  #grantCount = 0;
  #isClosed = false;

  private constructor(dependencies: KeeperSupervisorDependencies) {
    this.#dependencies = dependencies;
  }

  static create(dependencies: KeeperSupervisorDependencies): KeeperSupervisor {
    return new KeeperSupervisor(dependencies);
  }

  tasks(): readonly ServerTask[] {
    return [...this.#running.values()].map(({ task }) => task);
  }

  tasksOf(service: ServiceName): readonly ServerTask[] {
    return this.#byService.get(service) ?? [];
  }

  task(server: ServerName): ServerTask | undefined {
    return this.#running.get(server)?.task;
  }

  /** Records that another router keeps the server with `fence`; a keeper with a lower one stops at once. */
  recordFence(server: ServerName, fence: FencingToken): void {
    if (fence <= (this.#fences.get(server) ?? 0)) return;
    this.#fences.set(server, fence);
    const running = this.#running.get(server);
    if (running !== undefined && running.role.fence < fence) this.#stop(server, running);
  }

  /** Records the limit of a leaving keeper, which is newer than the one in its last heartbeat. */
  recordHandover({ server, fence, limit }: Handover): void {
    const last = this.#lastStates.get(server);
    if (last?.state.fence !== fence) return;
    this.#lastStates.set(server, { ...last, state: { ...last.state, limit } });
  }

  /** Starts and stops keepers according to the present rows, lease and live routers. */
  reconcile(): void {
    if (this.#isClosed) return;
    this.#recordStates();
    const { servers } = this.#dependencies.catalogue.current();
    for (const [name, running] of this.#running) {
      const role = this.#roleFor(name, servers[name]);
      const isSameRole = role?.kind === running.role.kind && role.fence === running.role.fence;
      // A server that was moved to another service is another one, though it has the name.
      const isSameService = servers[name]?.service === running.task.keeper.service;
      if (!isSameRole || !isSameService) this.#stop(name, running);
    }
    for (const [name, server] of Object.entries(servers)) {
      if (this.#running.has(name)) continue;
      const role = this.#roleFor(name, server);
      if (role !== undefined) this.#start(name, server, role);
    }
    this.#recountAfterLeaseGap();
  }

  /** Stops all keepers for good and returns their tasks. */
  stopAll(): readonly ServerTask[] {
    this.#isClosed = true;
    const tasks = this.tasks();
    for (const [name, running] of [...this.#running]) this.#stop(name, running);
    return tasks;
  }

  #roleFor(name: ServerName, server: Server | undefined): KeeperRole | undefined {
    const { rows, session } = this.#dependencies;
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
    const { incarnations, self } = this.#dependencies;
    return incarnations.isDead(holder) && owner(server, incarnations.remaining()) === self.name;
  }

  #start(name: ServerName, server: Server, role: KeeperRole): void {
    const { self, clock, metrics, catalogue, eventLog } = this.#dependencies;
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
      fence: role.fence,
      inherited: this.#inheritanceFor(name, server.service, role.fence),
      nextId: () => (this.#grantCount += 1),
      authority: (phase) => this.#authority(name, role, phase),
    });
    const task = ServerTask.create({
      ...this.#dependencies,
      keeper,
      mayOrder: () => role.kind === 'holder' && this.#authority(name, role, 'warm') === 'held',
      routers: () => this.#dependencies.members.alive().map((router) => router.name),
      hasPeerReplied: () => this.#dependencies.session.isAcknowledged(),
      expectedResponders: () => this.#expectedResponders(),
      onPermitsFreed: () => {
        this.#dependencies.onPermitsFreed(server.service);
      },
    });
    this.#running.set(name, { role, task });
    this.#rebuildIndex();
    eventLog.record('keeper.started', { server: name, ...role });
    void task.run();
  }

  #stop(name: ServerName, { task, role }: RunningKeeper): void {
    this.#lastStates.set(name, { state: task.keeper.state(), at: this.#dependencies.clock.now() });
    task.stop();
    this.#running.delete(name);
    this.#rebuildIndex();
    this.#dependencies.eventLog.record('keeper.stopped', { server: name, ...role });
  }

  #rebuildIndex(): void {
    const byService = new Map<ServiceName, readonly ServerTask[]>();
    for (const { task } of this.#running.values()) {
      const { service } = task.keeper;
      byService.set(service, [...(byService.get(service) ?? []), task]);
    }
    this.#byService = byService;
  }

  /** The present authority of a keeper; checked before each grant. */
  #authority(name: ServerName, { kind, fence }: KeeperRole, phase: ServerPhase): Authority {
    const { rows, session } = this.#dependencies;
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

  /**
   * Starts a new count at all keepers after a gap in the lease. Other routers may have granted permits
   * meanwhile, so nothing is granted before the count.
   */
  #recountAfterLeaseGap(): void {
    const { rows, session } = this.#dependencies;
    if (!session.isHeld() || !rows.isConfirmed() || this.#epoch === session.epoch()) return;
    this.#epoch = session.epoch();
    for (const { task } of this.#running.values()) task.sendTakeover();
  }

  /** Routers that may hold permits: live ones and those whose session has not lapsed. */
  #expectedResponders(): readonly RouterName[] {
    const { members, session } = this.#dependencies;
    const valid = session.sessionRows().filter(({ router }) => !session.hasLapsed(router));
    const names = [...members.alive().map(({ name }) => name), ...valid.map((row) => row.router)];
    return [...new Set(names)];
  }

  #recordStates(): void {
    const { catalogue, members, clock } = this.#dependencies;
    for (const service of Object.keys(catalogue.current().services)) {
      for (const { router, state } of members.keepers(service)) {
        if (router === this.#dependencies.self.name) continue;
        this.recordFence(state.server, state.fence);
        this.#lastStates.set(state.server, { state, at: clock.now() });
      }
    }
  }

  /** State at the previous keeper; undefined if it is too old, of another service, or its fence is not the previous one. */
  #inheritanceFor(
    server: ServerName,
    service: ServiceName,
    fence: FencingToken,
  ): Inheritance | undefined {
    const last = this.#lastStates.get(server);
    if (last?.state.service !== service) return undefined;
    if (this.#dependencies.clock.now() - last.at > maxInheritanceAge) return undefined;
    return last.state.fence >= fence - 1 ? last.state : undefined;
  }
}
