// A whole system on loopback: platform, servers and routers as child processes, with handles to
// make any of them fail.

import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { FleetStatus, Vm } from '@catkinwheel/protocol';
import { Clock, type Catalogue, type DataCentreName, type Milliseconds } from '@catkinwheel/state';
import { stringify } from 'yaml';
import { Child } from './child.js';
import { call, type Answer } from './http.js';
import type { Notice } from './process.js';
import type { PlatformControl, PlatformStats } from './platform.js';
import { freePort, Relay } from './relay.js';
import {
  catalogueOf,
  dataCentreOf,
  operatorToken,
  peerSecret,
  serverNames,
  type FleetSpec,
  type ServiceSpec,
} from './spec.js';

/** Time of a byte on its way between two routers: 1–2 ms one way between data centres. */
const linkDelay: Milliseconds = 1;

/** Time within which every router must be ready with a catalogue. */
const readyWithin: Milliseconds = 20_000;
const pollPeriod: Milliseconds = 50;
/** Time for which a new keeper grants nothing, at most, and a load report after it. */
const takeoverWait: Milliseconds = 2_500;

const here = fileURLToPath(new URL('.', import.meta.url));
const daemon = fileURLToPath(new URL('../../catkinwheeld/dist/main.js', import.meta.url));

/** A server process; `child` changes with each restart. */
export interface ServerHandle {
  readonly name: string;
  readonly service: ServiceSpec;
  readonly dataCentre: DataCentreName;
  readonly vm: string;
  child: Child;
}

/** A router process with its relays, if there are any. */
export interface RouterHandle {
  readonly name: string;
  readonly dataCentre: DataCentreName;
  readonly vm: string;
  /** In front of its peer port. */
  readonly peers: Relay | undefined;
  /** Between it and the platform. */
  readonly platform: Relay | undefined;
  child: Child;
}

/** Metrics of one router, as its admin port gives them. */
export interface RouterMetrics {
  readonly counters: Readonly<Record<string, number>>;
  readonly gauges: Readonly<Record<string, number>>;
}

/** The running system. */
export class Fleet {
  readonly spec: FleetSpec;
  readonly platform: Child;
  servers: readonly ServerHandle[] = [];
  routers: readonly RouterHandle[] = [];
  /** Executions by request key, over all servers and their restarts. */
  readonly executions = new Map<string, number>();
  /** Each time that a server was given more than it bears while cold, in words. */
  readonly overloads: string[] = [];
  readonly #directory: string;
  readonly #clock = Clock.system();

  private constructor(spec: FleetSpec, platform: Child, directory: string) {
    this.spec = spec;
    this.platform = platform;
    this.#directory = directory;
  }

  /** Starts everything and puts the catalogue in force. */
  static async start(spec: FleetSpec): Promise<Fleet> {
    const platform = await Child.start('platform', `${here}platform.js`, [
      JSON.stringify({ vms: vmsOf(spec) }),
    ]);
    const directory = await mkdtemp(join(tmpdir(), 'catkinwheel-'));
    const fleet = new Fleet(spec, platform, directory);
    fleet.servers = await Promise.all(
      serverNames(spec).map(async ([name, service], index) => ({
        name,
        service,
        dataCentre: dataCentreOf(spec, index),
        vm: `vm-${name}`,
        child: await fleet.#startServer(name, service, 0),
      })),
    );
    fleet.routers = await Promise.all(
      Array.from({ length: spec.routers }, (_, index) => fleet.#createRouter(index)),
    );
    await fleet.#applyFirst();
    await fleet.ready();
    await fleet.kept();
    return fleet;
  }

  /** Addresses at which callers reach the running routers. */
  callerAddresses(): readonly string[] {
    return this.routers
      .filter((router) => router.child.isRunning)
      .map((router) => router.child.ready.callers ?? '');
  }

  /** Waits until every running router serves a catalogue and names all the others to callers. */
  async ready(): Promise<void> {
    const end = this.#clock.now() + readyWithin;
    const running = this.routers.filter(({ child }) => child.isRunning);
    for (const router of running) {
      while (!(await isReady(router, running.length))) {
        if (this.#clock.now() > end) {
          throw new Error(`${router.name} is not ready:\n${router.child.output}`);
        }
        await this.#clock.sleep(pollPeriod);
      }
    }
  }

  /** Waits until every server has a keeper that may grant. The baseline policies have no keepers. */
  async kept(): Promise<void> {
    if (this.spec.policy !== 'fair') return;
    const end = this.#clock.now() + readyWithin;
    while ((await this.#keptServers()) < this.servers.length) {
      if (this.#clock.now() > end) throw new Error('some servers have no keeper');
      await this.#clock.sleep(pollPeriod);
    }
    await this.#clock.sleep(takeoverWait);
  }

  async #keptServers(): Promise<number> {
    const [first] = this.routers;
    if (first === undefined) return 0;
    const status = await this.admin<FleetStatus>(first, 'GET', '/admin/status');
    const kept = status.body.routers.flatMap(({ servers }) => servers.map(({ server }) => server));
    return new Set(kept).size;
  }

  /** Starts a router again after it ended, as a process without memory. */
  async restartRouter(router: RouterHandle): Promise<void> {
    router.child = await this.#startRouter(router);
  }

  /** Starts a server again at its old address. */
  async restartServer(server: ServerHandle): Promise<void> {
    const port = Number(server.child.ready.address?.split(':')[1]);
    server.child = await this.#startServer(server.name, server.service, port);
  }

  /** Sends one request to the admin port of a router. */
  async admin<T>(
    router: RouterHandle,
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    body?: unknown,
  ): Promise<Answer<T>> {
    const headers = { authorization: `Bearer ${operatorToken}` };
    return call<T>(method, `http://${router.child.ready.admin ?? ''}${path}`, body, headers);
  }

  /** Metrics of a router, or undefined if it does not answer. */
  async metrics(router: RouterHandle): Promise<RouterMetrics | undefined> {
    try {
      return (await this.admin<RouterMetrics>(router, 'GET', '/admin/metrics')).body;
    } catch {
      return undefined;
    }
  }

  /** Sets faults of the platform. */
  async faults(control: PlatformControl): Promise<void> {
    await call('POST', `http://${this.platform.ready.control ?? ''}/control`, control);
  }

  async platformStats(): Promise<PlatformStats> {
    const url = `http://${this.platform.ready.control ?? ''}/control/stats`;
    return (await call<PlatformStats>('GET', url)).body;
  }

  /** Sets the state of a VM in the platform's list. */
  async setVm(vm: string, state: Vm['state']): Promise<void> {
    const vms = vmsOf(this.spec).map((each) => (each.vm === vm ? { ...each, state } : each));
    await this.faults({ vms });
  }

  /** Ends every process, routers first. */
  async end(): Promise<void> {
    const children = [
      ...this.routers.map((router) => router.child),
      ...this.servers.map((server) => server.child),
      this.platform,
    ];
    for (const router of this.routers) {
      router.peers?.close();
      router.platform?.close();
    }
    await Promise.all(children.filter((child) => child.isRunning).map((child) => child.kill()));
    await rm(this.#directory, { recursive: true, force: true });
  }

  #startServer(name: string, service: ServiceSpec, port: number): Promise<Child> {
    const script = service.kind === 'model' ? 'engine.js' : 'plain.js';
    const settings = JSON.stringify({ ...service.settings, port });
    return Child.start(name, `${here}${script}`, [settings], (notice) => {
      this.#hear(name, notice);
    });
  }

  #hear(server: string, notice: Notice): void {
    switch (notice.event) {
      case 'ran':
        this.executions.set(notice.key, (this.executions.get(notice.key) ?? 0) + 1);
        return;
      case 'overload':
        this.overloads.push(
          `${Math.round(this.#clock.now())} ${server} (${notice.cause}) had ${notice.running} running`,
        );
        return;
      case 'ready':
        return;
    }
  }

  async #createRouter(index: number): Promise<RouterHandle> {
    const name = `r${index + 1}`;
    const { relays } = this.spec;
    const peers = relays ? await Relay.create(linkDelay) : undefined;
    const platform = relays ? await Relay.create() : undefined;
    platform?.point(this.platform.ready.address ?? '');
    const place = { name, dataCentre: dataCentreOf(this.spec, index), vm: `vm-${name}` };
    const child = await this.#startRouter({ ...place, peers, platform });
    return { ...place, peers, platform, child };
  }

  async #startRouter(router: Omit<RouterHandle, 'child'>): Promise<Child> {
    const listen = '127.0.0.1:0';
    // A router behind a relay says its advertised address when it is ready, not where it listens.
    const peers = router.peers === undefined ? listen : `127.0.0.1:${await freePort()}`;
    router.peers?.point(peers);
    const settings = {
      router: { name: router.name, vm: router.vm, dataCentre: router.dataCentre },
      listen: { callers: listen, peers, admin: listen },
      ...(router.peers === undefined ? {} : { advertise: { peers: router.peers.address } }),
      platform: { address: router.platform?.address ?? this.platform.ready.address },
      peers: { secret: peerSecret, seeds: [] },
      operators: { token: operatorToken },
      ...(this.spec.statsd === undefined ? {} : { statsd: { address: this.spec.statsd } }),
      policy: this.spec.policy,
    };
    const file = join(this.#directory, `${router.name}.yaml`);
    await writeFile(file, stringify(settings));
    return Child.start(router.name, daemon, ['--settings', file]);
  }

  async #applyFirst(): Promise<void> {
    const addresses = new Map(
      this.servers.map((server) => [server.name, server.child.ready.address ?? '']),
    );
    const catalogue = catalogueOf(this.spec, addresses);
    const first = this.routers[0];
    if (first === undefined) return;
    const body = { base: 0, catalogue: { revision: 0, ...catalogue } satisfies Catalogue };
    const answer = await this.admin(first, 'PUT', '/admin/catalogue', body);
    if (answer.status >= 300) {
      throw new Error(`catalogue refused: ${answer.status} ${JSON.stringify(answer.body)}`);
    }
  }
}

async function isReady(router: RouterHandle, routers: number): Promise<boolean> {
  const url = `http://${router.child.ready.callers ?? ''}`;
  try {
    if ((await call('GET', `${url}/readyz`)).status !== 200) return false;
    const { body } = await call<{ routers: readonly object[] }>('GET', `${url}/v1/routers`);
    return body.routers.length >= routers;
  } catch {
    return false;
  }
}

function vmsOf(spec: FleetSpec): readonly Vm[] {
  const routers = Array.from({ length: spec.routers }, (_, index) => ({
    vm: `vm-r${index + 1}`,
    dataCentre: dataCentreOf(spec, index),
    state: 'live' as const,
  }));
  const servers = serverNames(spec).map(([name], index) => ({
    vm: `vm-${name}`,
    dataCentre: dataCentreOf(spec, index),
    state: 'live' as const,
  }));
  return [...routers, ...servers];
}
