// Routers of the platform deployment in this process, with a stand-in store and stand-in servers.

import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { Gateway } from '@catkinwheel/gateway';
import type { Settings } from '@catkinwheel/platform';
import { StackServer } from './server.js';
import { StackStore } from './store.js';

/** Names that the stand-in deployment uses. */
export const names = {
  host: 'desk.example',
  model: 'model-service',
  desk: 'desk-service',
  key: 'key-of-large',
  team: 'large',
} as const;

/** Bounds of the routers of a fleet, unless a test states others. */
export const fleetBounds: Settings['bounds'] = {
  grace: 4_000,
  retryRatio: 0.2,
  retryWindow: 10_000,
  retrySlack: 54,
  coldFactor: 1.5,
  coldSlack: 5,
};

/** Header fields of a request to a model: a shared prompt part and one of its own. */
export const modelFields = {
  model: 'm',
  'token-usage': '1200,60',
  'prompt-prefix': 'aa:1000,bb:200',
} as const;

/** A desired state as operators write it. */
export function desiredStateOf(
  version: number,
  changes: Readonly<Record<string, unknown>> = {},
): unknown {
  const route = { host: names.host, timeoutMs: 3_000, targetLatencyMs: 400, maxAttempts: 2 };
  return {
    version,
    routes: [
      {
        ...route,
        name: 'letters',
        prefix: '/letters/',
        routeType: 'streaming',
        service: names.model,
        streamResume: true,
        gapAimMs: 200,
      },
      {
        ...route,
        name: 'drafts',
        prefix: '/drafts/',
        routeType: 'streaming',
        service: names.model,
        gapAimMs: 200,
      },
      { ...route, name: 'reads', prefix: '/reads/', routeType: 'idempotent', service: names.desk },
      {
        ...route,
        name: 'charges',
        prefix: '/charges/',
        routeType: 'non_idempotent',
        service: names.desk,
        public: true,
      },
    ],
    services: [
      { name: names.model, warmupS: 1, coldPerS: 6, engine: { slots: 8, kvTokens: 500_000 } },
      { name: names.desk, warmupS: 0, coldPerS: 0 },
    ],
    limits: { idleTimeoutMs: 5_000, headerTimeoutMs: 3_000 },
    tenants: [{ name: names.team, apiKeys: [names.key] }],
    ...changes,
  };
}

/** A store, servers and routers that know one another through it. */
export class StackFleet {
  readonly routers: { readonly gateway: Gateway; readonly settings: Settings }[] = [];

  private constructor(
    readonly store: StackStore,
    readonly models: readonly StackServer[],
    readonly desks: readonly StackServer[],
  ) {}

  /** Starts two servers of each service and writes the first desired state. */
  static async start(): Promise<StackFleet> {
    const store = await StackStore.start();
    const start = (kind: string): Promise<StackServer[]> =>
      Promise.all([1, 2].map((number) => StackServer.start(`${kind}-${number}`)));
    const fleet = new StackFleet(store, await start('model'), await start('desk'));
    for (const server of fleet.models) fleet.register(server, names.model);
    for (const server of fleet.desks) fleet.register(server, names.desk);
    store.put('op', 'config', desiredStateOf(1));
    return fleet;
  }

  register(
    server: StackServer,
    service: string,
    changes: Readonly<Record<string, unknown>> = {},
  ): void {
    this.store.put('servers', server.id, server.entry(service, changes));
  }

  /** Starts a router; `changes` replace parts of its settings. */
  async addRouter(changes: Partial<Settings> = {}): Promise<Gateway> {
    // Routers of one fleet use the same ports at addresses of their own, as they do on VMs.
    const number = this.routers.length + 1;
    const ip = `127.0.0.${number + 1}`;
    const [first] = this.routers;
    const ports =
      first === undefined
        ? await freePorts(5)
        : [first.settings.peerPort, ...Object.values(first.settings.listen).map(portOf)];
    const at = (index: number): string => `${ip}:${ports[index] ?? 0}`;
    const settings: Settings = {
      router: `router-${number}`,
      ip,
      dataCentre: 'suva',
      region: 'viti-levu',
      regionOf: { suva: 'viti-levu' },
      capacity: 1,
      memory: 350 * 1024 * 1024,
      listen: { callers: at(1), ready: at(2), peers: at(3), directory: at(4) },
      peerPort: ports[0] ?? 0,
      seeds: first?.settings.listen.peers === undefined ? [] : [first.settings.listen.peers],
      isFirstStart: first === undefined,
      store: this.store.address,
      bounds: fleetBounds,
      ...changes,
    };
    const gateway = await Gateway.start(settings);
    this.routers.push({ gateway, settings });
    return gateway;
  }

  /** Resolves when the router at `index` says that it is ready, with its servers known. */
  async ready(index = 0): Promise<void> {
    await until(async () => (await this.call(index, 'ready', '/-/ready')).status === 200);
    await pause(settleTime);
  }

  call(
    index: number,
    listener: 'callers' | 'ready' | 'directory',
    path: string,
  ): Promise<Response> {
    return fetch(`http://${this.routers[index]?.settings.listen[listener] ?? ''}${path}`);
  }

  async close(): Promise<void> {
    await Promise.all(this.routers.map(({ gateway }) => gateway.stop()));
    await Promise.all([...this.models, ...this.desks].map((server) => server.close()));
    await this.store.close();
  }
}

/** Time in which a router that knows the desired state also reads the servers. */
const settleTime = 300;
const untilInterval = 20;
const untilLimit = 10_000;

/** Waits for a condition; rejects after ten seconds. */
export async function until(condition: () => Promise<boolean> | boolean): Promise<void> {
  const end = Date.now() + untilLimit;
  while (!(await condition())) {
    if (Date.now() > end) throw new Error('the condition did not hold within 10 s');
    await pause(untilInterval);
  }
}

function portOf(address: string | undefined): number {
  return Number(address?.split(':').at(-1) ?? 0);
}

export async function freePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = createServer();
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.2', resolve));
      return server;
    }),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}
