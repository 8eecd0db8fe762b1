// Two simple permit sources to compare admission with: each router uses a fixed quota of each server.
// They need no messages between routers, and are not fair across routers.

import {
  isDrained,
  serversOf,
  type Catalogue,
  type Clock,
  type Cost,
  type Failure,
  type Milliseconds,
  type RouterName,
  type ServerName,
  type ServiceName,
  type TeamName,
} from '@catkinwheel/state';
import type { ResultAsync } from 'neverthrow';
import { CostEstimates } from './costEstimates.js';
import { Intake, type RequestQueue, type RouterLimits } from './intake.js';
import type { CatalogueView, Metrics, PermitSource, PermitHandle, PermitRequest } from './ports.js';
import { TeamQueue, type Waiter } from './teamQueue.js';
import { ranking } from './rendezvous.js';
import { ChargedPermitHandle, type PermitHandleOwner } from './permitHandle.js';

/**
 * `local`: first come, first served, with one queue for all teams.
 * `equalShare`: fair among the teams by the cost that they received at this router.
 */
export type BaselinePolicy = 'local' | 'equalShare';

/** Precision of deadlines, and the maximum delay until a drain in the catalogue takes effect. */
const tickInterval: Milliseconds = 10;

interface BaselineQueue extends RequestQueue {
  /** Cost received divided by weight; stays 0 with one queue for all teams. */
  level: Cost;
  readonly waiting: TeamQueue;
}

/** Queues, quotas and permits in use for one service. */
interface ServicePool {
  /** The catalogue and the routers for which `quotas` was computed. */
  catalogue: Catalogue | undefined;
  routers: string;
  /** Quota of this router per server in service, in permits. */
  quotas: ReadonlyMap<ServerName, number>;
  readonly queues: Map<TeamName, BaselineQueue>;
  readonly inUse: Map<ServerName, number>;
  /** Highest level at which a queue was served; a team that was idle starts at least there. */
  highestServedLevel: Cost;
}

export interface BaselineOptions {
  readonly self: RouterName;
  /** All routers of the fleet, including this one. */
  readonly routers: () => readonly RouterName[];
  readonly policy: BaselinePolicy;
  readonly clock: Clock;
  readonly catalogue: CatalogueView;
  readonly metrics: Metrics;
  readonly limits: RouterLimits;
}

/** Key of the only queue of a service under `local`. */
const sharedQueueKey = '';

/** Grants permits from a fixed quota of each server, independently of the load at other routers. */
export class Baseline implements PermitSource {
  readonly #options: BaselineOptions;
  readonly #intake: Intake;
  readonly #estimates = CostEstimates.create();
  readonly #pools = new Map<ServiceName, ServicePool>();
  readonly #owner: PermitHandleOwner;
  readonly #unsent = new Set<ChargedPermitHandle>();
  #grantCount = 0;

  private constructor(options: BaselineOptions) {
    this.#options = options;
    this.#intake = Intake.create(options);
    this.#owner = {
      charge: ({ request }, amount) => {
        const weight = options.catalogue.current().teams[request.team]?.weight ?? 1;
        if (options.policy === 'equalShare') this.#queueOf(request).level += amount / weight;
      },
      // The baselines have no cold limit, so they do not use slow first bytes.
      onSlowFirstByte: () => undefined,
      onReturned: (handle, outcome, _firstByte, cost) => {
        const { request, permit } = handle;
        if (outcome === 'used') this.#estimates.recordCost(request.entry, request.service, cost);
        this.#unsent.delete(handle);
        const { inUse } = this.#poolOf(request.service);
        inUse.set(permit.server, (inUse.get(permit.server) ?? 1) - 1);
        this.#serve(request.service);
      },
    };
  }

  static create(options: BaselineOptions): Baseline {
    return new Baseline(options);
  }

  acquire(request: PermitRequest, signal: AbortSignal): ResultAsync<PermitHandle, Failure> {
    return this.#intake.enqueue(request, signal, this.#queueOf(request));
  }

  /** Refuses requests past their deadline and applies catalogue changes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    for await (const now of this.#options.clock.every(tickInterval, signal)) {
      this.#intake.expire(now);
      this.#expire(now);
      for (const service of this.#pools.keys()) this.#serve(service);
    }
  }

  #expire(now: Milliseconds): void {
    for (const handle of this.#unsent) {
      if (!handle.expire(now)) return;
      this.#unsent.delete(handle);
    }
  }

  #serve(service: ServiceName): void {
    const pool = this.#poolOf(service);
    for (const [server, quota] of this.#quotas(pool, service)) {
      while ((pool.inUse.get(server) ?? 0) < quota) {
        const queue = this.#next(pool);
        const waiter = queue?.waiting.take(server);
        if (queue === undefined || waiter === undefined) return;
        pool.highestServedLevel = Math.max(pool.highestServedLevel, queue.level);
        this.#grant(pool, server, waiter);
      }
    }
  }

  #quotas(pool: ServicePool, service: ServiceName): ReadonlyMap<ServerName, number> {
    const catalogue = this.#options.catalogue.current();
    const routers = this.#options.routers().join(' ');
    if (pool.catalogue === catalogue && pool.routers === routers) return pool.quotas;
    const limit = catalogue.services[service]?.warmLimit ?? 0;
    const inService = serversOf(catalogue, service).filter((name) => {
      const server = catalogue.servers[name];
      return server !== undefined && !isDrained(catalogue, server);
    });
    pool.catalogue = catalogue;
    pool.routers = routers;
    pool.quotas = new Map(inService.map((name) => [name, this.#quota(name, limit)]));
    return pool.quotas;
  }

  /** The quota of this router on a server; the remainder of the division goes to routers by hash. */
  #quota(server: ServerName, limit: number): number {
    const { self } = this.#options;
    const routers = this.#options.routers();
    const rank = ranking(server, routers).indexOf(self);
    return Math.floor(limit / routers.length) + (rank < limit % routers.length ? 1 : 0);
  }

  /** The non-empty queue with the lowest level. */
  #next(pool: ServicePool): BaselineQueue | undefined {
    let best: BaselineQueue | undefined;
    for (const queue of pool.queues.values()) {
      if (queue.waiting.size > 0 && (best === undefined || queue.level < best.level)) best = queue;
    }
    return best;
  }

  #grant(pool: ServicePool, server: ServerName, waiter: Waiter): void {
    const { request } = waiter;
    this.#grantCount += 1;
    pool.inUse.set(server, (pool.inUse.get(server) ?? 0) + 1);
    const handle = ChargedPermitHandle.create({
      permit: {
        id: `${this.#options.self}-${this.#grantCount}`,
        server,
        fence: 0,
        service: request.service,
        team: request.team,
        sequence: this.#grantCount,
      },
      keeper: this.#options.self,
      request,
      remaining: (received) =>
        this.#estimates.remaining(request.entry, request.service, request.hint, received),
      clock: this.#options.clock,
      owner: this.#owner,
    });
    this.#unsent.add(handle);
    this.#intake.complete(waiter, handle);
  }

  #queueOf({ service, team }: PermitRequest): BaselineQueue {
    const pool = this.#poolOf(service);
    const key = this.#options.policy === 'local' ? sharedQueueKey : team;
    const known = pool.queues.get(key);
    if (known !== undefined) return known;
    const waiting = this.#options.policy === 'local' ? TeamQueue.unclassed() : TeamQueue.create();
    const queue: BaselineQueue = {
      level: 0,
      waiting,
      insert: (waiter) => {
        if (waiting.size === 0) queue.level = Math.max(queue.level, this.#minIdleLevel(pool));
        waiting.insert(waiter);
        this.#serve(service);
      },
      remove: (waiter) => {
        waiting.remove(waiter);
      },
    };
    pool.queues.set(key, queue);
    return queue;
  }

  /** Minimum level of a team that was idle. */
  #minIdleLevel(pool: ServicePool): Cost {
    return this.#next(pool)?.level ?? pool.highestServedLevel;
  }

  #poolOf(service: ServiceName): ServicePool {
    const known = this.#pools.get(service);
    if (known !== undefined) return known;
    const pool: ServicePool = {
      catalogue: undefined,
      routers: '',
      quotas: new Map(),
      queues: new Map(),
      inUse: new Map(),
      highestServedLevel: 0,
    };
    this.#pools.set(service, pool);
    return pool;
  }
}
