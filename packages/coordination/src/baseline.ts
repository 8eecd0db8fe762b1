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
import { CostEstimates } from './estimate.js';
import { Intake, type Line, type RouterLimits } from './intake.js';
import type { CatalogueView, Metrics, PermitSource, Ticket, Work } from './ports.js';
import { TeamQueue, type Waiter } from './queue.js';
import { ranking } from './rendezvous.js';
import { HeldTicket, type TicketOwner } from './ticket.js';

/**
 * `local`: first come, first served, with one queue for all teams.
 * `equalShare`: fair among the teams by the cost that they received at this router.
 */
export type BaselinePolicy = 'local' | 'equalShare';

/** Precision of deadlines, and the maximum delay until a drain in the catalogue takes effect. */
const tickPeriod: Milliseconds = 10;

interface Queue extends Line {
  /** Cost received divided by weight; stays 0 with one queue for all teams. */
  level: Cost;
  readonly waiting: TeamQueue;
}

/** Queues, quotas and permits in use for one service. */
interface Pool {
  /** The catalogue and the routers for which `parts` was computed. */
  catalogue: Catalogue | undefined;
  routers: string;
  /** Quota of this router per server in service, in permits. */
  parts: ReadonlyMap<ServerName, number>;
  readonly queues: Map<TeamName, Queue>;
  readonly inUse: Map<ServerName, number>;
  /** Highest level at which a queue was served; a team that was idle starts at least there. */
  reached: Cost;
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
const everyTeam = '';

/** Grants permits from a fixed quota of each server, independently of the load at other routers. */
export class Baseline implements PermitSource {
  readonly #options: BaselineOptions;
  readonly #intake: Intake;
  readonly #estimates = CostEstimates.create();
  readonly #pools = new Map<ServiceName, Pool>();
  readonly #owner: TicketOwner;
  readonly #unsent = new Set<HeldTicket>();
  #granted = 0;

  private constructor(options: BaselineOptions) {
    this.#options = options;
    this.#intake = Intake.create(options);
    this.#owner = {
      charge: ({ work }, amount) => {
        const weight = options.catalogue.current().teams[work.team]?.weight ?? 1;
        if (options.policy === 'equalShare') this.#queueOf(work).level += amount / weight;
      },
      // The baselines have no cold limit, so they do not use slow first bytes.
      started: () => undefined,
      returned: (ticket, outcome, _firstByte, cost) => {
        const { work, permit } = ticket;
        if (outcome === 'used') this.#estimates.recordCost(work.entry, work.service, cost);
        this.#unsent.delete(ticket);
        const { inUse } = this.#poolOf(work.service);
        inUse.set(permit.server, (inUse.get(permit.server) ?? 1) - 1);
        this.#serve(work.service);
      },
    };
  }

  static create(options: BaselineOptions): Baseline {
    return new Baseline(options);
  }

  acquire(work: Work, signal: AbortSignal): ResultAsync<Ticket, Failure> {
    return this.#intake.enter(work, signal, this.#queueOf(work));
  }

  /** Refuses requests past their deadline and applies catalogue changes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    for await (const now of this.#options.clock.every(tickPeriod, signal)) {
      this.#intake.expire(now);
      this.#expire(now);
      for (const service of this.#pools.keys()) this.#serve(service);
    }
  }

  #expire(now: Milliseconds): void {
    for (const ticket of this.#unsent) {
      if (!ticket.expire(now)) return;
      this.#unsent.delete(ticket);
    }
  }

  #serve(service: ServiceName): void {
    const pool = this.#poolOf(service);
    for (const [server, part] of this.#parts(pool, service)) {
      while ((pool.inUse.get(server) ?? 0) < part) {
        const queue = this.#next(pool);
        const waiter = queue?.waiting.take(server);
        if (queue === undefined || waiter === undefined) return;
        pool.reached = Math.max(pool.reached, queue.level);
        this.#grant(pool, server, waiter);
      }
    }
  }

  #parts(pool: Pool, service: ServiceName): ReadonlyMap<ServerName, number> {
    const catalogue = this.#options.catalogue.current();
    const routers = this.#options.routers().join(' ');
    if (pool.catalogue === catalogue && pool.routers === routers) return pool.parts;
    const limit = catalogue.services[service]?.warmLimit ?? 0;
    const inService = serversOf(catalogue, service).filter((name) => {
      const server = catalogue.servers[name];
      return server !== undefined && !isDrained(catalogue, server);
    });
    pool.catalogue = catalogue;
    pool.routers = routers;
    pool.parts = new Map(inService.map((name) => [name, this.#part(name, limit)]));
    return pool.parts;
  }

  /** The quota of this router on a server; the remainder of the division goes to routers by hash. */
  #part(server: ServerName, limit: number): number {
    const { self } = this.#options;
    const routers = this.#options.routers();
    const rank = ranking(server, routers).indexOf(self);
    return Math.floor(limit / routers.length) + (rank < limit % routers.length ? 1 : 0);
  }

  /** The non-empty queue with the lowest level. */
  #next(pool: Pool): Queue | undefined {
    let best: Queue | undefined;
    for (const queue of pool.queues.values()) {
      if (queue.waiting.size > 0 && (best === undefined || queue.level < best.level)) best = queue;
    }
    return best;
  }

  #grant(pool: Pool, server: ServerName, waiter: Waiter): void {
    const { work } = waiter;
    this.#granted += 1;
    pool.inUse.set(server, (pool.inUse.get(server) ?? 0) + 1);
    const ticket = HeldTicket.create({
      permit: {
        id: `${this.#options.self}-${this.#granted}`,
        server,
        fence: 0,
        service: work.service,
        team: work.team,
        sequence: this.#granted,
      },
      keeper: this.#options.self,
      work,
      remaining: (received) =>
        this.#estimates.remaining(work.entry, work.service, work.hint, received),
      clock: this.#options.clock,
      owner: this.#owner,
    });
    this.#unsent.add(ticket);
    this.#intake.serve(waiter, ticket);
  }

  #queueOf({ service, team }: Work): Queue {
    const pool = this.#poolOf(service);
    const key = this.#options.policy === 'local' ? everyTeam : team;
    const known = pool.queues.get(key);
    if (known !== undefined) return known;
    const waiting = this.#options.policy === 'local' ? TeamQueue.unclassed() : TeamQueue.create();
    const queue: Queue = {
      level: 0,
      waiting,
      insert: (waiter) => {
        if (waiting.size === 0) queue.level = Math.max(queue.level, this.#floor(pool));
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
  #floor(pool: Pool): Cost {
    return this.#next(pool)?.level ?? pool.reached;
  }

  #poolOf(service: ServiceName): Pool {
    const known = this.#pools.get(service);
    if (known !== undefined) return known;
    const pool: Pool = {
      catalogue: undefined,
      routers: '',
      parts: new Map(),
      queues: new Map(),
      inUse: new Map(),
      reached: 0,
    };
    this.#pools.set(service, pool);
    return pool;
  }
}
