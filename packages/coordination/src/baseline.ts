// Two simple permit sources to compare admission with: every router alone uses a fixed part of each
// server. They need no messages, and are not fair across routers.

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
import { Estimates } from './estimate.js';
import { Intake, type Line, type RouterLimits } from './intake.js';
import type { CatalogueView, Metrics, PermitSource, PermitHandle, PermitRequest } from './ports.js';
import { TeamQueue, type Waiter } from './queue.js';
import { ranking } from './rendezvous.js';
import { HeldTicket, type TicketOwner } from './permitHandle.js';

/**
 * `local`: first come, first served over one queue of the router.
 * `equalShare`: fair among the teams of the router by the cost they received there.
 */
export type BaselinePolicy = 'local' | 'equalShare';

/** Precision of deadlines, and the delay until a change of drains is noticed. */
const tickPeriod: Milliseconds = 10;

interface Queue extends Line {
  /** Cost received divided by weight; stays 0 with one queue for all teams. */
  level: Cost;
  readonly waiting: TeamQueue;
}

/** What this router uses of one service. */
interface Pool {
  /** The catalogue and the routers that `parts` follows from. */
  catalogue: Catalogue | undefined;
  routers: string;
  /** Permits of this router per server in service. */
  parts: ReadonlyMap<ServerName, number>;
  readonly queues: Map<TeamName, Queue>;
  readonly inUse: Map<ServerName, number>;
  /** Lowest level of the queues served so far; an idle team is lifted to it. */
  reached: Cost;
}

export interface BaselineOptions {
  readonly self: RouterName;
  /** All routers of the fleet, the own one included. */
  readonly routers: () => readonly RouterName[];
  readonly policy: BaselinePolicy;
  readonly clock: Clock;
  readonly catalogue: CatalogueView;
  readonly metrics: Metrics;
  readonly limits: RouterLimits;
}

/** Key of the only queue of a service under `local`. */
const everyTeam = '';

/** Permits from a fixed part of every server, without regard to other routers. */
export class Baseline implements PermitSource {
  readonly #options: BaselineOptions;
  readonly #intake: Intake;
  readonly #estimates = Estimates.create();
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
      // The baselines know no cold servers, so slow first bytes tell them nothing.
      started: () => undefined,
      returned: (ticket, outcome, _firstByte, cost) => {
        const { work, permit } = ticket;
        if (outcome === 'used') this.#estimates.learn(work.entry, work.service, cost);
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

  acquire(work: PermitRequest, signal: AbortSignal): ResultAsync<PermitHandle, Failure> {
    return this.#intake.enter(work, signal, this.#queueOf(work));
  }

  /** Refuses late requests, and serves after a change of the catalogue, until `signal` aborts. */
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

  /** The fixed part of a server's permits; what does not divide evenly goes to routers by hash. */
  #part(server: ServerName, limit: number): number {
    const { self } = this.#options;
    const routers = this.#options.routers();
    const rank = ranking(server, routers).indexOf(self);
    return Math.floor(limit / routers.length) + (rank < limit % routers.length ? 1 : 0);
  }

  /** The queue with the lowest level of those in which something waits. */
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

  #queueOf({ service, team }: PermitRequest): Queue {
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

  /** Level that an idle team is lifted to. */
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
