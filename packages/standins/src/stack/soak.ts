// A soak of real router processes on the platform's protocol: random faults from a seed, in series that overlap,
// and the promises checked from what callers and servers see.

import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@catkinwheel/state';
import { oneOf, randomFrom, type Random } from '../random.js';
import { Relay } from '../relay.js';
import { call } from './caller.js';
import { desiredStateOf, freePorts, modelFields, names } from './fleet.js';
import { RouterProcess } from './routerProcess.js';
import { StackServer, streamLength } from './server.js';
import { SoakCallers } from './soakCallers.js';
import { SoakChecks, timeout, type Backend, type Node } from './soakChecks.js';
import { SpoiledSeries } from './spoiledSeries.js';
import { StackStore } from './store.js';

/** Time in which a new desired state has to be in force at undisturbed routers, and the machine's own delays. */
const inForceWithin: Milliseconds = 3_500;
/** Time in which a server must be sent requests after it has registered, and the machine's own delays. */
const reachedWithin: Milliseconds = 3_000;
/** Time between a server's own write and a late one of its former instance, and until its next one. */
const lateWrite: Milliseconds = 100;
const nextWrite: Milliseconds = 1_000;
/** Time in which a leaving server must get no new request any more, and the machine's own delays. */
const drainedWithin: Milliseconds = 3_000;
/** A router counts as undisturbed after this time without a fault on it, its store or its machine. */
const settled: Milliseconds = 4_000;
/** Time from SIGTERM to SIGKILL. */
const grace: Milliseconds = 5_000;
/** Time that responses take during the planned stops at the end. */
const slowAnswer: Milliseconds = 1_500;
/** Time for which servers fall silent in the middle of their streams; callers wait for 2 s. */
const serverSilence: Milliseconds = 1_700;
/** Callers at each router meanwhile: more than the retry budget covers. */
const silenceCallers = 16;
/** Time between two faults, and duration of a fault, at random within these. */
const quiet = { least: 100, most: 900 } as const;
const lasting = { least: 200, most: 3_000 } as const;
/** Time in which a router, or a server, is started again after it ended. */
const restart = { least: 50, most: 1_500 } as const;

export interface SoakOptions {
  readonly seed: number;
  readonly duration: Milliseconds;
  readonly routers: number;
  readonly callers: number;
  /** Folder for settings and logs of the routers. */
  readonly folder: string;
  readonly tell: (line: string) => void;
}

export interface SoakResult {
  readonly seed: number;
  readonly faults: number;
  /** Requests sent, with those that no router accepted. */
  readonly requests: number;
  readonly served: number;
  /** New desired states and drained servers that could be checked at undisturbed routers. */
  readonly checks: { readonly versions: number; readonly drained: number };
  readonly violations: readonly string[];
}

/** One run of the soak. */
export class Soak {
  readonly #random: Random;
  readonly #nodes: Node[] = [];
  readonly #backends: Backend[] = [];
  readonly #checks: SoakChecks;
  readonly #callers: SoakCallers;
  readonly #busy = new Map<string, Promise<void>>();
  readonly #ended = new AbortController();
  #version = 1;
  #storeDisturbedUntil = 0;
  #lastServer = 0;
  #faults = 0;
  #versionChecks = 0;
  #drainChecks = 0;

  private constructor(
    private readonly options: SoakOptions,
    private readonly store: StackStore,
  ) {
    const { seed } = options;
    this.#random = randomFrom(seed);
    this.#checks = SoakChecks.create((line) => {
      this.#tell(line);
    });
    const servers = (): readonly StackServer[] => this.#backends.map(({ server }) => server);
    this.#callers = SoakCallers.create(seed, this.#nodes, servers, this.#checks);
  }

  /** Runs faults for the duration, heals everything, and checks what is left. */
  static async run(options: SoakOptions): Promise<SoakResult> {
    const soak = new Soak(options, await StackStore.start());
    try {
      await soak.#setUp();
      const callers = Array.from({ length: options.callers }, (_, index) =>
        soak.#callers.run(index, soak.#ended.signal),
      );
      const end = performance.now() + options.duration;
      while (performance.now() < end) {
        await pause(soak.#between(quiet));
        soak.#startFault();
      }
      await Promise.all(soak.#busy.values());
      await soak.#heal();
      await soak.#calmChanges();
      await soak.#calmSilence();
      await soak.#calmRestarts();
      await soak.#calmStops();
      soak.#ended.abort();
      await Promise.all(callers);
      soak.#checks.checkRuns(soak.#backends);
    } catch (error) {
      soak.#checks.violate(`the soak failed: ${String(error)}`);
    } finally {
      soak.#ended.abort();
      await soak.#close();
    }
    const { requests, served, violations } = soak.#checks;
    const checks = { versions: soak.#versionChecks, drained: soak.#drainChecks };
    return { seed: options.seed, faults: soak.#faults, requests, served, checks, violations };
  }

  async #setUp(): Promise<void> {
    const { routers, folder } = this.options;
    for (const service of [names.model, names.desk])
      for (let index = 0; index < 3; index += 1) await this.#addServer(service);
    this.store.put('op', 'config', desiredStateOf(1));
    const [link = 0, callers = 0, ready = 0, control = 0, directory = 0] = await freePorts(5);
    const ports = { link, callers, ready, control, directory };
    const ipOf = (index: number): string => `127.1.${Math.floor(index / 200)}.${(index % 200) + 2}`;
    const seeds = [0, 1, 2].map((index) => `${ipOf(index)}:${control}`);
    for (let index = 0; index < routers; index += 1) {
      const store = await Relay.create();
      store.point(this.store.address);
      const dataCentre = index % 2 === 0 ? 'suva' : 'nadi';
      const place = { ip: ipOf(index), ports, dataCentre, store: store.address };
      const router = RouterProcess.create(`router-${index}`, { ...place, seeds, folder, grace });
      this.#nodes.push({ router, store, disturbedUntil: 0 });
    }
    for (const { router } of this.#nodes) router.start();
    await Promise.all(this.#nodes.map(({ router }) => router.ready()));
    for (const node of this.#nodes) node.disturbedUntil = performance.now();
  }

  async #addServer(service: string): Promise<void> {
    this.#lastServer += 1;
    const server = await StackServer.start(`server-${this.#lastServer}`);
    const relay = await Relay.create();
    relay.point(server.address);
    const backend: Backend = { server, relay, born: 1, service, isLeaving: false };
    this.#backends.push(backend);
    this.#register(backend, {});
  }

  #register(
    { server, relay, born, service }: Backend,
    changes: Readonly<Record<string, unknown>>,
  ): void {
    const entry = { address: relay.address, born, ...changes };
    this.store.put('servers', server.id, server.entry(service, entry));
  }

  #startFault(): void {
    const [part, begin] = this.#chooseFault();
    const lasts = this.#between(lasting);
    // Chosen before this check, so that the sequence follows from the seed alone.
    if (this.#busy.has(part)) return;
    this.#faults += 1;
    const running = begin(lasts)
      .catch((error: unknown) => {
        this.#checks.violate(`fault at ${part} failed: ${String(error)}`);
      })
      .finally(() => this.#busy.delete(part));
    this.#busy.set(part, running);
  }

  #chooseFault(): readonly [string, (lasts: Milliseconds) => Promise<void>] {
    const node = oneOf(this.#random, this.#nodes);
    const backend = oneOf(
      this.#random,
      this.#backends.filter(({ isLeaving }) => !isLeaving),
    );
    const again = this.#between(restart);
    const series = SpoiledSeries.draw(this.#random);
    const rule = oneOf(this.#random, ['cut', 'drop'] as const);
    const hasLateWrite = oneOf(this.#random, [true, false]);
    const mode = oneOf(this.#random, ['busy', 'silent', 'losesAnswers'] as const);
    const { router } = node;
    const server = backend.server.id;
    const answers = `answers of ${server}`;
    const spoil = (lasts: Milliseconds): Promise<void> => this.#spoil(backend, series, lasts);
    return oneOf(this.#random, [
      [router.name, (lasts) => this.#end(node, lasts, again, () => router.kill())],
      [router.name, (lasts) => this.#end(node, lasts, again, () => router.stop())],
      [router.name, (lasts) => this.#freeze(node, lasts)],
      [
        router.name,
        () => {
          this.#tell(`${router.name} is told to read its settings again`);
          router.signal('SIGHUP');
          return Promise.resolve();
        },
      ],
      [router.name, (lasts) => this.#cutStore(node, rule, lasts)],
      ['store', (lasts) => this.#disturbStore(mode, lasts)],
      ['history', () => this.#forgetHistory()],
      ['desired state', () => this.#changeState()],
      // Several times, since there are as many ways to spoil an answer as all other faults together, and more.
      [answers, spoil],
      [answers, spoil],
      [answers, spoil],
      [answers, spoil],
      [server, (lasts) => this.#cutServer(backend, rule, lasts)],
      [server, () => this.#restartElsewhere(backend, again, hasLateWrite)],
      [server, () => this.#replace(backend)],
    ] satisfies readonly (readonly [string, (lasts: Milliseconds) => Promise<void>])[]);
  }

  async #end(
    node: Node,
    lasts: Milliseconds,
    again: Milliseconds,
    end: () => Promise<unknown>,
  ): Promise<void> {
    this.#tell(`${node.router.name} ends, for ${Math.round(again)} ms`);
    this.#disturb(node, grace + lasts + settled);
    await end();
    await pause(again);
    node.router.start();
    this.#disturb(node, settled);
  }

  async #freeze(node: Node, lasts: Milliseconds): Promise<void> {
    this.#tell(`${node.router.name} is frozen for ${Math.round(lasts)} ms`);
    this.#disturb(node, lasts + settled);
    node.router.signal('SIGSTOP');
    await pause(lasts);
    node.router.signal('SIGCONT');
  }

  async #cutStore(node: Node, rule: 'cut' | 'drop', lasts: Milliseconds): Promise<void> {
    this.#tell(`${node.router.name} loses the store (${rule}) for ${Math.round(lasts)} ms`);
    this.#disturb(node, lasts + settled);
    node.store.rule(rule);
    await pause(lasts);
    node.store.rule('pass');
  }

  async #disturbStore(mode: StackStore['mode'], lasts: Milliseconds): Promise<void> {
    this.#tell(`the store is ${mode} for ${Math.round(lasts)} ms`);
    this.#storeDisturbedUntil = performance.now() + lasts + settled;
    this.store.mode = mode;
    await pause(lasts);
    this.store.mode = 'well';
  }

  #forgetHistory(): Promise<void> {
    this.#tell('the store forgets its history');
    this.store.compact();
    return Promise.resolve();
  }

  /** Adds a route; a request on it tells where the new version is in force. */
  async #changeState(): Promise<void> {
    this.#version += 1;
    const version = this.#version;
    this.#tell(`desired state ${version}`);
    const { routes, ...rest } = desiredStateOf(version) as { readonly routes: readonly object[] };
    const added = { ...routes[1], name: `added-${version}`, prefix: `/added-${version}/` };
    this.store.put('op', 'config', { ...rest, routes: [...routes, added] });
    const since = performance.now();
    await pause(inForceWithin);
    // Another change may have taken its place; routers that were disturbed have longer.
    if (this.#version !== version || this.#storeDisturbedUntil > since) return;
    for (const node of this.#calmNodes(since)) {
      const { router } = node;
      const id = `probe-${version}-${router.name}`;
      const path = `/added-${version}/${id}`;
      const { status } = await call({
        address: router.callers,
        path,
        host: names.host,
        id,
        key: names.key,
      });
      if (node.disturbedUntil >= since || this.#version !== version) continue;
      this.#versionChecks += 1;
      if (status === 404)
        this.#checks.violate(`desired state ${version} is not in force at ${router.name}`);
    }
  }

  async #spoil({ server }: Backend, series: SpoiledSeries, lasts: Milliseconds): Promise<void> {
    this.#tell(`${server.id}: ${series.text}`);
    series.begin(server);
    if (series.hasPace) await pause(lasts);
    series.endPace(server);
  }

  async #cutServer({ relay, server }: Backend, rule: 'cut' | 'drop', lasts: number): Promise<void> {
    this.#tell(`${server.id} is out of reach (${rule}) for ${Math.round(lasts)} ms`);
    relay.rule(rule);
    await pause(lasts);
    relay.rule('pass');
  }

  /** The server crashes, and starts again under its id at another address. */
  async #restartElsewhere(
    backend: Backend,
    again: Milliseconds,
    hasLateWrite: boolean,
  ): Promise<void> {
    const { server } = backend;
    const former = { address: backend.relay.address, born: backend.born };
    this.#tell(`${server.id} crashes and starts elsewhere after ${Math.round(again)} ms`);
    backend.relay.close();
    await server.close();
    await pause(again);
    await server.startElsewhere();
    backend.relay = await Relay.create();
    backend.relay.point(server.address);
    backend.born += 1;
    this.#register(backend, {});
    if (!hasLateWrite) return;
    await pause(lateWrite);
    this.#register(backend, former);
    await pause(nextWrite);
    this.#register(backend, { sequence: 2 });
  }

  /** Another server takes the place of one that leaves as planned. */
  async #replace(backend: Backend): Promise<void> {
    const { server, service, relay } = backend;
    this.#tell(`${server.id} is replaced`);
    await this.#addServer(service);
    this.#register(backend, { state: 'draining', sequence: 2 });
    backend.isLeaving = true;
    server.isLeaving = true;
    const since = performance.now();
    await pause(drainedWithin);
    const nodes = new Set(this.#calmNodes(since));
    if (this.#storeDisturbedUntil < since && nodes.size > 0) {
      backend.drained = { at: performance.now(), nodes };
      this.#drainChecks += 1;
    }
    await pause(timeout);
    this.store.remove('servers', server.id);
    relay.close();
    await server.close();
  }

  /** Ends every fault and lets time pass until all routers count as undisturbed. */
  async #heal(): Promise<void> {
    for (const { relay, server } of this.#backends) {
      relay.rule('pass');
      server.behaviours = [];
      // Bytes that are still to come would spoil answers after the faults have ended.
      server.dropConnections();
    }
    for (const { router } of this.#nodes) if (!router.isRunning) router.start();
    await Promise.all(this.#nodes.map(({ router }) => router.ready()));
    for (const node of this.#nodes) this.#disturb(node, 0);
    await pause(settled);
  }

  /** With nothing else wrong a server of each service is replaced and the desired state changed. */
  async #calmChanges(): Promise<void> {
    const leaving = [names.model, names.desk].flatMap((service) => {
      const first = this.#backends.find(
        (backend) => backend.service === service && !backend.isLeaving,
      );
      return first === undefined ? [] : [first];
    });
    const changes = leaving.map((backend) => this.#replace(backend));
    await Promise.all([...changes, this.#changeState()]);
  }

  /** With nothing else wrong all servers start again at other addresses; each router must reach those of each service. */
  async #calmRestarts(): Promise<void> {
    const staying = this.#backends.filter(({ isLeaving }) => !isLeaving);
    await Promise.all(staying.map((backend) => this.#restartElsewhere(backend, 0, false)));
    await pause(reachedWithin);
    for (const { router } of this.#nodes)
      for (const path of ['/reads/', '/letters/']) {
        const id = `restart-${router.name}${path}`;
        const fields = path === '/letters/' ? { headers: modelFields } : {};
        const from = { address: router.callers, host: names.host, key: names.key };
        const { status } = await call({ ...from, ...fields, path: `${path}1`, id });
        if (status !== 200)
          this.#checks.violate(`${id} got ${status}, though all servers have started again`);
      }
  }

  /**
   * With nothing else wrong all servers fall silent in each stream and go on, beside a change of the desired state; no request may
   * be lost by it.
   */
  async #calmSilence(): Promise<void> {
    for (const { server } of this.#backends)
      server.silence = { after: streamLength / 2, duration: serverSilence };
    const stopped = new AbortController();
    const sending = this.#nodes.flatMap((node) =>
      Array.from({ length: silenceCallers }, (_, index) =>
        this.#callers.runAt(node, `silence-${index}`, stopped.signal),
      ),
    );
    await this.#changeState();
    stopped.abort();
    const lost = (await Promise.all(sending)).flat();
    for (const { server } of this.#backends) server.silence = undefined;
    if (lost.length > 0) this.#checks.violate(`servers that fell silent: lost ${lost.join()}`);
  }

  /**
   * With nothing else wrong some routers are stopped in turn, while responses take a good part of the grace; no request may be
   * lost by it.
   */
  async #calmStops(): Promise<void> {
    for (const { server } of this.#backends) {
      server.answerPause = slowAnswer;
      server.eventPause = slowAnswer / streamLength;
    }
    for (const node of this.#nodes.slice(0, 3)) {
      this.#disturb(node, grace + settled);
      const stopped = new AbortController();
      const sending = Array.from({ length: 6 }, (_, index) =>
        this.#callers.runAt(node, String(index), stopped.signal),
      );
      await pause(2 * slowAnswer);
      const code = await node.router.stop();
      stopped.abort();
      const lost = (await Promise.all(sending)).flat();
      if (code !== 0)
        this.#checks.violate(`${node.router.name} ended with ${String(code)} after SIGTERM`);
      if (lost.length > 0)
        this.#checks.violate(`a planned stop of ${node.router.name} cut ${lost.join()}`);
      node.router.start();
      await node.router.ready();
    }
  }

  /** Routers that run and were not disturbed since `time`, nor shortly before. */
  #calmNodes(time: number): readonly Node[] {
    return this.#nodes.filter(
      ({ router, disturbedUntil }) => router.isRunning && disturbedUntil < time,
    );
  }

  #disturb(node: Node, lasts: Milliseconds): void {
    node.disturbedUntil = Math.max(node.disturbedUntil, performance.now() + lasts);
  }

  #tell(line: string): void {
    this.options.tell(`${Math.round(performance.now())} ${line}`);
  }

  #between({ least, most }: { readonly least: number; readonly most: number }): Milliseconds {
    return least + this.#random() * (most - least);
  }

  async #close(): Promise<void> {
    await Promise.all(this.#nodes.map(({ router }) => router.kill()));
    for (const { store } of this.#nodes) store.close();
    for (const { relay, server } of this.#backends) {
      relay.close();
      await server.close();
    }
    await this.store.close();
  }
}
