// Sends the demand for permits (queued requests per team) to the keepers. Messages may be lost and cost
// traffic, so this decides which keeper gets which rows and when.

import type { TeamDemand } from '@catkinwheel/protocol';
import type {
  Clock,
  Cost,
  Milliseconds,
  RouterName,
  ServerName,
  ServiceName,
  TeamName,
} from '@catkinwheel/state';
import type { TeamWorkload } from './teamWorkload.js';
import type { ServerKeeper, MemberView, Outbox, Random } from './ports.js';

/**
 * Number of keepers that get the demand of a team first. Every keeper that gets it may grant a permit
 * for the same request, and the surplus grants come back unused.
 */
const preferredKeepers = 2;

/** Wait without a grant after which the demand of a team goes to all keepers. */
const broadcastDelay: Milliseconds = 10;

/** Interval of reading the keepers from the heartbeats, which arrive every 500 ms. */
const viewInterval: Milliseconds = 50;

/** Interval of repeating the whole demand while requests are queued, because messages may be lost. */
const refreshInterval: Milliseconds = 500;

/**
 * Maximum delay of a changed level on its way to the keepers. In an early version of the fairness test,
 * the fairness gap over six seeds was 2,305 to 4,353 with 40 ms, 2,756 to 4,450 with 10 ms for a fifth
 * more traffic, and up to 7,451 with 80 ms.
 */
const maxLevelDelay: Milliseconds = 40;

/**
 * A level is sent again once it changed by this fraction of the estimated cost of a request. Over three
 * seeds of the fairness test, the mean fairness gap was 3,497 with 0.5, and 4,006 with 0.25 for 2 % more
 * traffic.
 */
const levelTolerance = 0.5;

/** When the next demand is due, in order of urgency; `soon` means within `maxLevelDelay`. */
const urgency = ['no', 'soon', 'nextTick', 'thisTurn'] as const;
type Due = (typeof urgency)[number];

/** A router that keeps servers of the service, with the demand last sent to it. */
interface KeeperPeer {
  readonly router: RouterName;
  /** Servers and fences of the router; after a change it may not have the demand. */
  readonly signature: string;
  /** Whether the router is among the keepers that get the demand of a team first. */
  readonly isPreferred: boolean;
  /** Requested permits per team that were not granted yet. */
  readonly requested: Map<TeamName, number>;
  /** Levels last sent. */
  readonly sentLevels: Map<TeamName, Cost>;
  due: Due;
  sentAt: Milliseconds;
  /** When the whole demand was sent last. */
  fullySentAt: Milliseconds;
}

interface DemandOptions {
  readonly service: ServiceName;
  readonly clock: Clock;
  readonly members: MemberView;
  readonly outbox: Outbox;
  readonly random: Random;
  /** Requests a call of `flush` at the end of this event loop turn. */
  readonly schedule: () => void;
}

/** Demand of all teams of this router for one service. */
export class ServiceDemand {
  readonly #options: DemandOptions;
  readonly #activeTeams = new Set<TeamWorkload>();
  readonly #keepers = new Map<ServerName, ServerKeeper>();
  #peers: ReadonlyMap<RouterName, KeeperPeer> = new Map();
  #viewedAt: Milliseconds = -Infinity;
  #changed = false;

  private constructor(options: DemandOptions) {
    this.#options = options;
  }

  static create(options: DemandOptions): ServiceDemand {
    return new ServiceDemand(options);
  }

  /** The router that keeps the server by the last heartbeats; undefined if none is known. */
  keeperOf(server: ServerName): RouterName | undefined {
    this.#refreshView();
    return this.#keepers.get(server)?.router;
  }

  /** A request was queued. Keepers without demand of the team get it in this event loop turn. */
  onQueued(workload: TeamWorkload): void {
    this.#activeTeams.add(workload);
    this.#changed = true;
    this.#refreshView();
    if (workload.want() > 0) this.#sendThisTurn(workload);
  }

  /** Requests left the queue, got a permit or returned one; the next tick sends the change. */
  onQueueChange(workload: TeamWorkload): void {
    this.#changed = true;
    if (workload.waiting === 0) this.#activeTeams.delete(workload);
  }

  /** A level arrived: keepers need it for their decisions, and the share may allow more requests. */
  onLevel(workload: TeamWorkload): void {
    for (const peer of this.#peers.values()) {
      if (peer.requested.has(workload.team)) this.#due(peer, 'soon');
    }
    if (workload.want() > 0) this.#sendThisTurn(workload);
  }

  /** A grant arrived. It raised the level of the team, as do requests that exceed their estimate. */
  onGrant(keeper: RouterName, workload: TeamWorkload): void {
    this.onQueueChange(workload);
    for (const peer of this.#peers.values()) {
      if (peer.requested.has(workload.team)) this.#due(peer, 'soon');
    }
    const peer = this.#peers.get(keeper);
    if (peer === undefined) return;
    const left = (peer.requested.get(workload.team) ?? 0) - 1;
    if (left > 0) peer.requested.set(workload.team, left);
    else {
      peer.requested.delete(workload.team);
      if (workload.want() > 0) this.#due(peer, 'thisTurn');
    }
  }

  /** A server has a new keeper, which has no demand yet. */
  onTakeover(keeper: RouterName): void {
    this.#updateView();
    const peer = this.#peers.get(keeper);
    if (peer !== undefined && this.#activeTeams.size > 0) this.#due(peer, 'thisTurn');
  }

  /** Sends the demand that is due in this event loop turn. */
  flush(): void {
    const now = this.#options.clock.now();
    for (const peer of this.#peers.values()) if (peer.due === 'thisTurn') this.#send(peer, now);
  }

  /**
   * Sends demand to further keepers, repeats and corrects it. Called every few milliseconds; cheap if no
   * request is queued.
   */
  tick(now: Milliseconds): void {
    if (this.#activeTeams.size === 0 && !this.#changed) return;
    this.#refreshView();
    this.#startBroadcasts(now);
    for (const peer of this.#peers.values()) {
      if (this.#changed && this.#isOutdated(peer)) this.#due(peer, 'nextTick');
      if (now - peer.fullySentAt >= refreshInterval) this.#due(peer, 'nextTick');
      if (peer.due === 'soon' ? now - peer.sentAt >= maxLevelDelay : peer.due !== 'no') {
        this.#send(peer, now);
      }
    }
    this.#changed = false;
  }

  #startBroadcasts(now: Milliseconds): void {
    for (const workload of this.#activeTeams) {
      if (workload.isBroadcast || now - workload.waitingSince < broadcastDelay) continue;
      workload.isBroadcast = true;
      this.#changed = true;
    }
  }

  #sendThisTurn(workload: TeamWorkload): void {
    for (const peer of this.#peers.values()) {
      if ((workload.isBroadcast || peer.isPreferred) && !peer.requested.has(workload.team))
        this.#due(peer, 'thisTurn');
    }
  }

  #due(peer: KeeperPeer, due: Due): void {
    if (urgency.indexOf(due) <= urgency.indexOf(peer.due)) return;
    peer.due = due;
    if (due === 'thisTurn') this.#options.schedule();
  }

  /**
   * Whether the demand last sent is wrong by more than a factor of two for some team, or names a team
   * without queued requests. Smaller differences are harmless.
   */
  #isOutdated(peer: KeeperPeer): boolean {
    let known = 0;
    for (const workload of this.#activeTeams) {
      const requested = peer.requested.get(workload.team) ?? 0;
      if (requested > 0) known += 1;
      if (!workload.isBroadcast && !peer.isPreferred) continue;
      const want = workload.want();
      if (requested * 2 < want || want * 2 < requested) return true;
    }
    return known < peer.requested.size;
  }

  /** Sends the rows that changed; all rows once per `refreshInterval`, because messages may be lost. */
  #send(peer: KeeperPeer, now: Milliseconds): void {
    const rows = [...this.#activeTeams]
      .map((workload) => ({
        workload,
        want: workload.isBroadcast || peer.isPreferred ? workload.want() : 0,
      }))
      .filter(({ want }) => want > 0)
      .map(({ workload, want }) => workload.demand(peer.router, want));
    const waiting = new Set(rows.map(({ team }) => team));
    // Only a complete demand removes a team: the keeper drops the teams that are not in it.
    const hasEnded = [...peer.requested.keys()].some((team) => !waiting.has(team));
    const complete = hasEnded || now - peer.fullySentAt >= refreshInterval;
    const teams = complete ? rows : rows.filter((row) => isSignificant(peer, row));
    peer.due = 'no';
    if (teams.length === 0 && !hasEnded) return;
    peer.sentAt = now;
    if (complete) {
      peer.fullySentAt = now;
      peer.requested.clear();
    }
    for (const { team, interactive, batch, level } of teams) {
      peer.requested.set(team, interactive + batch);
      peer.sentLevels.set(team, level);
    }
    const { outbox, service } = this.#options;
    outbox.send(peer.router, { kind: 'demand', service, complete, teams });
  }

  #refreshView(): void {
    if (this.#options.clock.now() - this.#viewedAt >= viewInterval) this.#updateView();
  }

  /** Reads the keepers of the service from the last heartbeats. */
  #updateView(): void {
    this.#viewedAt = this.#options.clock.now();
    const keepersByRouter = new Map<RouterName, ServerKeeper[]>();
    this.#keepers.clear();
    for (const kept of this.#options.members.keepers(this.#options.service)) {
      this.#keepers.set(kept.state.server, kept);
      const keepers = keepersByRouter.get(kept.router);
      if (keepers === undefined) keepersByRouter.set(kept.router, [kept]);
      else keepers.push(kept);
    }
    const preferred = new Set(this.#preferredRouters(keepersByRouter));
    const peers = new Map<RouterName, KeeperPeer>();
    for (const [router, keepers] of keepersByRouter) {
      peers.set(router, this.#peerOf(router, keepers, preferred.has(router)));
    }
    this.#peers = peers;
  }

  #peerOf(router: RouterName, keepers: readonly ServerKeeper[], isPreferred: boolean): KeeperPeer {
    const signature = keepers.map(({ state }) => `${state.server}/${state.fence}`).join(' ');
    const known = this.#peers.get(router);
    if (known?.signature === signature) {
      return known.isPreferred === isPreferred ? known : { ...known, isPreferred };
    }
    const due = this.#activeTeams.size > 0 ? 'nextTick' : 'no';
    return {
      router,
      signature,
      isPreferred,
      requested: new Map(),
      sentLevels: new Map(),
      due,
      sentAt: -Infinity,
      fullySentAt: -Infinity,
    };
  }

  /** The keepers that get demand first: this router if it has free permits, then those with most. */
  #preferredRouters(
    keepersByRouter: ReadonlyMap<RouterName, readonly ServerKeeper[]>,
  ): readonly RouterName[] {
    const { members, random } = this.#options;
    return [...keepersByRouter]
      .map(([router, keepers]) => {
        const free = keepers.reduce((sum, kept) => sum + freePermits(kept), 0);
        const own = router === members.self.name && free > 0;
        return { router, free: own ? Infinity : free, tie: random() };
      })
      .sort((a, b) => (a.free === b.free ? a.tie - b.tie : b.free - a.free))
      .slice(0, preferredKeepers)
      .map(({ router }) => router);
  }
}

/** Whether the row differs enough from the one last sent to change a decision of the keeper. */
function isSignificant(
  peer: KeeperPeer,
  { team, interactive, batch, level, estimate, weight }: TeamDemand,
): boolean {
  const want = interactive + batch;
  const requested = peer.requested.get(team) ?? 0;
  if (requested === 0 || requested * 2 < want || want * 2 < requested) return true;
  const change = Math.abs(level - (peer.sentLevels.get(team) ?? -Infinity));
  return change >= (levelTolerance * estimate) / weight;
}

function freePermits({ state }: ServerKeeper): number {
  return state.authority === 'none' ? 0 : Math.max(0, state.limit - state.inFlight);
}
