// What decides where a request goes in an experiment: the product, an earlier build of it, or a simple baseline.

import { pathToFileURL } from 'node:url';
import { resolve } from 'node:path';
import {
  Dispatcher,
  RouteTable,
  type DispatcherOptions,
  type LoadMap,
} from '@catkinwheel/coordination/routing';

/** The part of a router's decisions that an experiment drives. */
export type Policy = Pick<
  Dispatcher,
  'acquire' | 'apply' | 'applyServers' | 'hear' | 'report' | 'summary' | 'tick'
>;

/** Makes the decisions of one router. */
export interface PolicyMaker {
  readonly name: string;
  readonly make: (options: DispatcherOptions) => Policy;
  readonly table: typeof RouteTable;
}

/** Sends each request to the server with the fewest requests, as far as this router knows, and never waits. */
class FewestRequests implements Policy {
  readonly #inner: Dispatcher;
  readonly #own = new Map<string, number>();
  #elsewhere = new Map<string, ReadonlyMap<string, { readonly requests: number }>>();
  /** What the routers of its own data centre have told of themselves. */
  #mates = new Map<string, LoadMap>();

  constructor(options: DispatcherOptions) {
    this.#inner = Dispatcher.create(options);
  }

  apply(...arguments_: Parameters<Policy['apply']>): void {
    this.#inner.apply(...arguments_);
  }

  applyServers(...arguments_: Parameters<Policy['applyServers']>): void {
    this.#inner.applyServers(...arguments_);
  }

  hear(...[reporter, report]: Parameters<Policy['hear']>): void {
    this.#elsewhere = new Map(this.#elsewhere).set(reporter.name, report.loads);
    if (reporter.kind === 'router')
      this.#mates = new Map(this.#mates).set(reporter.name, report.loads);
  }

  report(): ReturnType<Policy['report']> {
    const loads = [...this.#own].map(([id, requests]) => {
      return [id, { unread: 0, requests, memory: 0 }] as const;
    });
    const none = new Map<string, never>();
    return { loads: new Map(loads), teams: none, waiting: none, least: none, parts: [] };
  }

  summary(): ReturnType<Policy['summary']> {
    const own = this.report();
    const requests = new Map([...own.loads].map(([id, load]) => [id, load.requests]));
    for (const loads of this.#mates.values())
      for (const [id, load] of loads) requests.set(id, (requests.get(id) ?? 0) + load.requests);
    const loads = [...requests].map(([id, count]) => {
      return [id, { unread: 0, requests: count, memory: 0 }] as const;
    });
    return { ...own, loads: new Map(loads) };
  }

  tick(): void {
    this.#inner.tick();
  }

  acquire(...[request]: Parameters<Policy['acquire']>): ReturnType<Policy['acquire']> {
    const usable = this.#inner.servers
      .all()
      .filter(({ id, service, isLeaving }) => {
        return service === request.service && !isLeaving && !request.avoid.has(id);
      })
      .filter(({ id }) => this.#inner.serverHealth.isUsable(id));
    const [server] = usable.sort((a, b) => this.#requests(a.id) - this.#requests(b.id));
    if (server === undefined)
      return Promise.resolve({ kind: 'refused', reason: 'noServer', retryAfter: 1_000 });
    this.#own.set(server.id, (this.#own.get(server.id) ?? 0) + 1);
    let isOver = false;
    return Promise.resolve({
      kind: 'server',
      server,
      predicted: 0,
      missing: 0,
      started: () => undefined,
      finish: (result) => {
        if (isOver) return;
        isOver = true;
        this.#own.set(server.id, (this.#own.get(server.id) ?? 1) - 1);
        if (result !== undefined) this.#inner.serverHealth.record(server.id, result);
      },
    });
  }

  #requests(server: string): number {
    const elsewhere = [...this.#elsewhere.values()].map(
      (loads) => loads.get(server)?.requests ?? 0,
    );
    return (this.#own.get(server) ?? 0) + elsewhere.reduce((sum, requests) => sum + requests, 0);
  }
}

/** The policies by name; any other name is the path of another build's routing module. */
export async function policyMaker(name: string): Promise<PolicyMaker> {
  switch (name) {
    case 'product':
      return { name, make: (options) => Dispatcher.create(options), table: RouteTable };
    case 'fewest':
      return { name, make: (options) => new FewestRequests(options), table: RouteTable };
    default: {
      const build = (await import(pathToFileURL(resolve(name)).href)) as {
        readonly Dispatcher: typeof Dispatcher;
        readonly RouteTable: typeof RouteTable;
      };
      return {
        name,
        make: (options) => build.Dispatcher.create(options),
        table: build.RouteTable,
      };
    }
  }
}
