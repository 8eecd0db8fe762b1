// Routing policies that an experiment compares: the product, another build of it, or a simple baseline.

import { pathToFileURL } from 'node:url';
import { resolve } from 'node:path';
import {
  Dispatcher,
  RouteTable,
  type DispatcherOptions,
  type LoadMap,
} from '@catkinwheel/coordination/routing';

/** The members of the product's dispatcher that an experiment calls. */
export type Policy = Pick<
  Dispatcher,
  'acquire' | 'apply' | 'applyServers' | 'hear' | 'report' | 'summary' | 'tick'
>;

/** Creates the policy of each router, with the route table class of the same build. */
export interface PolicyFactory {
  readonly name: string;
  readonly createPolicy: (options: DispatcherOptions) => Policy;
  readonly table: typeof RouteTable;
}

/** Sends each request at once to the usable server with the fewest requests known to this router; never queues. */
class FewestRequestsPolicy implements Policy {
  readonly #dispatcher: Dispatcher;
  readonly #ownRequests = new Map<string, number>();
  #loadsByReporter = new Map<string, ReadonlyMap<string, { readonly requests: number }>>();
  /** Loads reported by single routers, which this router adds to its summary. */
  #directPeerLoads = new Map<string, LoadMap>();

  constructor(options: DispatcherOptions) {
    this.#dispatcher = Dispatcher.create(options);
  }

  apply(...arguments_: Parameters<Policy['apply']>): void {
    this.#dispatcher.apply(...arguments_);
  }

  applyServers(...arguments_: Parameters<Policy['applyServers']>): void {
    this.#dispatcher.applyServers(...arguments_);
  }

  hear(...[reporter, report]: Parameters<Policy['hear']>): void {
    this.#loadsByReporter = new Map(this.#loadsByReporter).set(reporter.name, report.loads);
    if (reporter.kind === 'router')
      this.#directPeerLoads = new Map(this.#directPeerLoads).set(reporter.name, report.loads);
  }

  report(): ReturnType<Policy['report']> {
    const loads = [...this.#ownRequests].map(([id, requests]) => {
      return [id, { unread: 0, requests, memory: 0 }] as const;
    });
    const none = new Map<string, never>();
    return { loads: new Map(loads), teams: none, waiting: none, least: none, parts: [] };
  }

  summary(): ReturnType<Policy['summary']> {
    const own = this.report();
    const requests = new Map([...own.loads].map(([id, load]) => [id, load.requests]));
    for (const loads of this.#directPeerLoads.values())
      for (const [id, load] of loads) requests.set(id, (requests.get(id) ?? 0) + load.requests);
    const loads = [...requests].map(([id, count]) => {
      return [id, { unread: 0, requests: count, memory: 0 }] as const;
    });
    return { ...own, loads: new Map(loads) };
  }

  tick(): void {
    this.#dispatcher.tick();
  }

  acquire(...[request]: Parameters<Policy['acquire']>): ReturnType<Policy['acquire']> {
    const usable = this.#dispatcher.servers
      .all()
      .filter(({ id, service, isLeaving }) => {
        return service === request.service && !isLeaving && !request.avoid.has(id);
      })
      .filter((server) => this.#dispatcher.serverHealth.isUsable(server));
    const [server] = usable.sort((a, b) => this.#requests(a.id) - this.#requests(b.id));
    if (server === undefined)
      return Promise.resolve({ kind: 'refused', reason: 'noServer', retryAfter: 1_000 });
    this.#ownRequests.set(server.id, (this.#ownRequests.get(server.id) ?? 0) + 1);
    let isFinished = false;
    return Promise.resolve({
      kind: 'server',
      server,
      predicted: 0,
      missing: 0,
      started: () => undefined,
      progressed: () => undefined,
      silent: () => undefined,
      finish: (result) => {
        if (isFinished) return;
        isFinished = true;
        this.#ownRequests.set(server.id, (this.#ownRequests.get(server.id) ?? 1) - 1);
        if (result !== undefined) this.#dispatcher.serverHealth.record(server, result);
      },
    });
  }

  #requests(server: string): number {
    const reportedRequests = [...this.#loadsByReporter.values()].map(
      (loads) => loads.get(server)?.requests ?? 0,
    );
    return (
      (this.#ownRequests.get(server) ?? 0) +
      reportedRequests.reduce((sum, requests) => sum + requests, 0)
    );
  }
}

/** Loads a policy by name; any other name is the path of another build's routing module. */
export async function loadPolicyFactory(name: string): Promise<PolicyFactory> {
  switch (name) {
    case 'product':
      return {
        name,
        createPolicy: (options) => Dispatcher.create(options),
        table: RouteTable,
      };
    case 'fewest':
      return {
        name,
        createPolicy: (options) => new FewestRequestsPolicy(options),
        table: RouteTable,
      };
    default: {
      const module = (await import(pathToFileURL(resolve(name)).href)) as {
        readonly Dispatcher: typeof Dispatcher;
        readonly RouteTable: typeof RouteTable;
      };
      return {
        name,
        createPolicy: (options) => module.Dispatcher.create(options),
        table: module.RouteTable,
      };
    }
  }
}
