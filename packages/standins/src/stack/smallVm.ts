// A router process on a VM without processor time to spare, and a team whose callers keep to it. The process runs for
// a part of each period and is stopped for the rest, as by a quota of the processor. Other routers may idle beside it.

import { mkdtempSync, rmSync } from 'node:fs';
import { Agent, createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@catkinwheel/state';
import { call, type CallResult } from './caller.js';
import { desiredStateOf, freePorts, modelFields, names } from './fleet.js';
import { RouterProcess, type Ports } from './routerProcess.js';
import { StackStore } from './store.js';

/** The process runs for a part of each of these. */
const period: Milliseconds = 50;
/** Events of an answer and the time between them, as the published deployments have them. */
const events = 30;
const eventPause: Milliseconds = 20;
/** Time that an answer takes. */
export const answerTime: Milliseconds = events * eventPause;
/** More than any test asks for at once. */
const manySlots = 512;
/** Callers leave if their request has not been answered after this time. */
const patience: Milliseconds = 1_000;
/** A request may reach a server for so long after its caller has left. */
const lateAfter: Milliseconds = 500;
/** Time in which a router that is ready knows its servers. */
const settleTime: Milliseconds = 500;

/** Port of a router's metrics, relative to the first of its internal ports. */
const metricsPortOffset = 10;

/** What became of the requests of a flood. */
export interface FloodResult {
  readonly sent: number;
  /** Requests whose callers have the whole answer. */
  readonly whole: number;
  readonly refused: number;
  /** Requests whose callers left without an answer. */
  readonly left: number;
  /** Of these, the ones that reached a server more than half a second after that. */
  readonly late: number;
}

/** What the callers of a flood ask for. */
export interface FloodRequest {
  /** Time between two bursts; 0 if requests come evenly. */
  readonly gap?: Milliseconds;
  /** API key of their team. */
  readonly key?: string;
  readonly path?: string;
  /** The router that they connect to; the one without processor time if left out. */
  readonly router?: 'small' | 'other';
}

/** Properties of a `SmallVm` besides the capacity of its VM. */
export interface SmallVmOptions {
  /** Time that each turn of the router's event loop takes at least; 0 if left out. */
  readonly turn?: Milliseconds;
  /** Whether its server reads requests and answers none. */
  readonly silent?: boolean;
  /** Requests that its server runs at once. */
  readonly slots?: number;
}

/** API key of a second team, which asks for less than the first one. */
export const quietKey = 'key-of-quiet';

/** API key of a team whose callers may use all routers. */
export const spreadKey = 'key-of-spread';

/** A router of a small VM, a store and one server. */
export class SmallVm {
  readonly #pacing = new AbortController();
  readonly #others: RouterProcess[] = [];
  #sent = 0;

  private constructor(
    private readonly router: RouterProcess,
    private readonly ports: Ports,
    private readonly folder: string,
    private readonly store: StackStore,
    private readonly server: Server,
    /** When requests reached the server, by id. */
    private readonly arrivals: ReadonlyMap<string, Milliseconds>,
  ) {}

  /** Starts all of it for a test, at whose end it is closed; `capacity` and `options` as in `start`. */
  static async startFor(
    t: TestContext,
    capacity: number,
    options: SmallVmOptions = {},
  ): Promise<SmallVm> {
    const folder = mkdtempSync(join(tmpdir(), 'catkinwheel-'));
    const small = await SmallVm.start(folder, capacity, options);
    t.after(async () => {
      await small.close();
      rmSync(folder, { recursive: true });
    });
    return small;
  }

  /** Starts all of it. `capacity` is what the platform states for the VM; the router has a whole core until `pace`. */
  static async start(
    folder: string,
    capacity: number,
    { turn = 0, silent = false, slots = manySlots }: SmallVmOptions = {},
  ): Promise<SmallVm> {
    const arrivals = new Map<string, Milliseconds>();
    const server = createServer((request, response) => {
      const id = String(request.headers['request-id']);
      arrivals.set(id, performance.now());
      request.resume();
      if (silent) return;
      void (isStream(request.url) ? stream(id, response) : answerAtOnce(id, response));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const store = await StackStore.start();
    const [link = 0, callers = 0, ready = 0, control = 0, directory = 0] = await freePorts(5);
    const ports = { link, callers, ready, control, directory };
    const router = RouterProcess.create('small', {
      ip: '127.0.0.2',
      ports,
      dataCentre: 'suva',
      store: store.address,
      seeds: [],
      folder,
      grace: 4_000,
      capacity,
      ...(turn > 0 ? { nodeOptions: ['--import', longTurns(turn)] } : {}),
    });
    const made = new SmallVm(router, ports, folder, store, server, arrivals);
    made.#describe(slots);
    router.start();
    await router.ready();
    await pause(settleTime);
    return made;
  }

  /** Starts a router of another VM with a whole core, to which no caller connects. */
  async addOther(): Promise<void> {
    const number = this.#others.length + 1;
    const other = RouterProcess.create(`other-${number}`, {
      ip: `127.0.0.${number + 2}`,
      ports: this.ports,
      dataCentre: 'suva',
      store: this.store.address,
      seeds: [`127.0.0.2:${this.ports.control}`],
      folder: this.folder,
      grace: 4_000,
    });
    this.#others.push(other);
    other.start();
    await other.ready();
    await pause(settleTime);
  }

  /** Resolves once turns of the router's event loop are long. */
  async waitForLongTurns(): Promise<void> {
    await pause(startTime);
  }

  /** The time from sending a request to its answer, and the status of that. */
  async timeOf(path: string): Promise<{ readonly status: number; readonly took: Milliseconds }> {
    const start = performance.now();
    const { status } = await this.#call(
      new AbortController().signal,
      undefined,
      undefined,
      undefined,
      path,
    );
    return { status, took: performance.now() - start };
  }

  /** Leaves the router `share` of its processor from now on. */
  pace(share: number): void {
    void this.#pace(share);
  }

  /**
   * Whole answers a second to `count` callers, each of which asks again when it has its answer, or when a refusal says; on
   * connections that are kept if there is an `agent`.
   */
  async capacity(count: number, duration: Milliseconds, agent?: Agent): Promise<number> {
    const start = performance.now();
    let whole = 0;
    const caller = async (): Promise<void> => {
      while (performance.now() - start < duration) {
        const answer = await this.#call(new AbortController().signal, undefined, undefined, agent);
        whole += Number(answer.isWhole && answer.status === 200);
        if (answer.status === 503) await pause(1_000 * Number(answer.headers['retry-after']));
      }
    };
    await Promise.all(Array.from({ length: count }, caller));
    return (1_000 * whole) / (performance.now() - start);
  }

  /**
   * Sends `rate` requests a second, each on a connection of its own, whatever becomes of those before: evenly, or those
   * of each `gap` at once.
   */
  async flood(
    rate: number,
    duration: Milliseconds,
    request: FloodRequest = {},
  ): Promise<FloodResult> {
    const { gap = 0 } = request;
    const start = performance.now();
    const results: Promise<'whole' | 'refused' | 'left' | 'late' | 'failed'>[] = [];
    while (performance.now() - start < duration) {
      const passed = performance.now() - start;
      const until = gap > 0 ? (Math.floor(passed / gap) + 1) * gap : passed;
      const due = (until * rate) / 1_000;
      while (results.length < due) results.push(this.#callOrLeave(request));
      await pause(1);
    }
    const all = await Promise.all(results);
    const count = (kind: (typeof all)[number]): number =>
      all.filter((each) => each === kind).length;
    const late = count('late');
    const [whole, refused, left] = [count('whole'), count('refused'), count('left') + late];
    return { sent: all.length, whole, refused, left, late };
  }

  /**
   * What `count` callers get, which ask for `path` on connections that they keep until the router closes them. The other router
   * is killed as soon as it serves `handedOver` of their requests, or after `killWithin`.
   */
  async askWhileOtherEnds(
    path: string,
    count: number,
    handedOver: number,
    killWithin: Milliseconds,
  ): Promise<readonly CallResult[]> {
    const agent = new Agent({ keepAlive: true });
    const results: CallResult[] = [];
    const leaving = new AbortController();
    const { signal } = leaving;
    const ask = async (): Promise<void> => {
      while (!signal.aborted) {
        const result = await this.#call(signal, undefined, undefined, agent, path);
        if (!hasLeft(signal)) results.push(result);
      }
    };
    const asking = Array.from({ length: count }, ask);
    const killBy = performance.now() + killWithin;
    while (performance.now() < killBy && (await this.#underWayAtOther()) < handedOver)
      await pause(period);
    await this.#others[0]?.kill();
    await pause(watchTime);
    leaving.abort();
    await Promise.all(asking);
    agent.destroy();
    return results;
  }

  async close(): Promise<void> {
    this.#pacing.abort();
    await Promise.all([this.router, ...this.#others].map((router) => router.kill()));
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
    await this.store.close();
  }

  #describe(slots: number): void {
    const { port } = this.server.address() as AddressInfo;
    const entry = { service: names.model, address: `127.0.0.1:${port}`, zone: 'suva', slots };
    const start = { version: 'v1', state: 'ready', warmupLeftMs: 0, sequence: 1, born: 1 };
    this.store.put('servers', 'model-1', { ...entry, ...start });
    this.store.put('servers', 'desk-1', { ...entry, ...start, service: names.desk });
    const engine = { slots, kvTokens: 5_000_000 };
    const services = [
      { name: names.model, warmupS: 0, coldPerS: 0, engine },
      { name: names.desk, warmupS: 0, coldPerS: 0 },
    ];
    const tenants = [
      { name: names.team, apiKeys: [names.key] },
      { name: 'quiet', apiKeys: [quietKey] },
      { name: 'spread', apiKeys: [spreadKey] },
    ];
    this.store.put('op', 'config', desiredStateOf(1, { services, tenants }));
  }

  async #pace(share: number): Promise<void> {
    const { signal } = this.#pacing;
    while (!signal.aborted) {
      await pause(period * share);
      this.router.signal('SIGSTOP');
      await pause(period * (1 - share));
      this.router.signal('SIGCONT');
    }
  }

  /** Requests in flight at the other router, by its metrics. */
  async #underWayAtOther(): Promise<number> {
    const port = this.ports.link + metricsPortOffset;
    const metrics = await (await fetch(`http://127.0.0.3:${port}/metrics`)).text();
    return Number(/^\w*under_way (\d+)$/m.exec(metrics)?.[1]);
  }

  async #callOrLeave({
    key,
    path,
    router,
  }: FloodRequest): Promise<'whole' | 'refused' | 'left' | 'late' | 'failed'> {
    const leaving = new AbortController();
    const id = this.#nextId();
    let leftAt: Milliseconds | undefined;
    const timer = setTimeout(() => {
      leftAt = performance.now();
      leaving.abort();
    }, patience);
    const onHead = (): void => {
      clearTimeout(timer);
    };
    const at = router === 'other' ? this.#others[0] : this.router;
    const answer = await this.#call(leaving.signal, id, onHead, undefined, path, key, at);
    clearTimeout(timer);
    if (leftAt !== undefined) {
      // What waits at the router is sent on later, if it is.
      await pause(watchTime);
      return (this.arrivals.get(id) ?? 0) > leftAt + lateAfter ? 'late' : 'left';
    }
    if (answer.status === 503) return 'refused';
    return answer.status === 200 && answer.isWhole ? 'whole' : 'failed';
  }

  #call(
    signal: AbortSignal,
    id = this.#nextId(),
    onHead?: () => void,
    agent?: Agent,
    path = '/letters/1',
    key: string = names.key,
    router: RouterProcess = this.router,
  ): Promise<CallResult> {
    return call({
      address: router.callers,
      path,
      host: names.host,
      id,
      method: 'POST',
      key,
      body: requestBody,
      headers: modelFields,
      signal,
      ...(onHead === undefined ? {} : { onHead }),
      ...(agent === undefined ? {} : { agent }),
    });
  }

  #nextId(): string {
    this.#sent += 1;
    return `request-${this.#sent}`;
  }
}

/** Module that makes each turn of an event loop take `turn`, once a router has had the time to start. */
function longTurns(turn: Milliseconds): string {
  const work = `const end = performance.now() + ${turn}; while (performance.now() < end);`;
  return `data:text/javascript,const run = () => { ${work} setImmediate(run); }; setTimeout(run, ${startTime});`;
}

/** Time in which a router starts and learns of its servers. */
const startTime: Milliseconds = 2_000;

/** Time in which a request that is late may still reach a server. */
const watchTime: Milliseconds = 4_000;
const requestBody = 'x'.repeat(1_500);

function hasLeft({ aborted }: AbortSignal): boolean {
  return aborted;
}

function isStream(path = ''): boolean {
  return path.startsWith('/letters/') || path.startsWith('/drafts/');
}

/** Answers after as much time as a stream takes. */
async function answerAtOnce(id: string, response: ServerResponse): Promise<void> {
  await pause(answerTime);
  response.writeHead(200, { 'request-id': id, 'response-seal': 'seal-desk-1' });
  response.end('done');
}

async function stream(id: string, response: ServerResponse): Promise<void> {
  response.writeHead(200, {
    'request-id': id,
    'response-seal': 'seal-model-1',
    'content-type': 'text/event-stream',
  });
  for (let event = 1; event <= events && !response.destroyed; event += 1) {
    response.write(`id: ${event}\ndata: ${'x'.repeat(40)}\n\n`);
    await pause(eventPause);
  }
  response.end();
}
