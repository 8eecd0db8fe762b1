// Plays a day on a manual clock: routers decide by a policy and tell one another what they have under way, engines
// work, callers leave and come back.

import { setMaxListeners } from 'node:events';
import {
  WorkTimer,
  type DesiredState,
  type Grant,
  type Route,
  type Server,
} from '@catkinwheel/coordination/routing';
import { Clock, type ManualClock, type Milliseconds } from '@catkinwheel/state';
import { randomFrom, type Random } from '../random.js';
import { Engine, type Run, type RunEnd } from './engine.js';
import { Exchange } from './gossipNetwork.js';
import type { Policy, PolicyMaker } from './policy.js';
import { arrivalsOf, type Arrival } from './arrivals.js';
import type { ScenarioEvent, RequestClass, Scenario } from '@catkinwheel/platform/site';

const service = 'model';
/** The clock's time when a day begins. */
const dayStart: Milliseconds = 1_000_000;
const second: Milliseconds = 1_000;
/** How often a router looks through what waits. */
const tickInterval: Milliseconds = 10;
/** One way between a caller and its router, and between routers and servers. */
const callerWay: Milliseconds = 3;
const serverWay: Milliseconds = 1;
/** Time after the last arrival in which answers still come. */
const tail: Milliseconds = 12_000;
/** Callers return once after a refusal. */
const returns = 1;
/** Pause of a caller whose router is gone. */
const reconnect: Milliseconds = 200;

/** What became of one request of a caller, over all its attempts. */
export interface Served {
  readonly arrival: Arrival;
  readonly result: 'inAim' | 'late' | 'refused' | 'failed';
  /** Time to the first event from the caller's first attempt; undefined without one. */
  readonly first: Milliseconds | undefined;
  /** Time of the day at which a server began it; undefined if none did. */
  readonly begun: Milliseconds | undefined;
}

/** What a day came to. */
export interface Played {
  readonly served: readonly Served[];
  /** Tokens that engines read, and those of parts that had been read before. */
  readonly read: number;
  readonly readAgain: number;
  /** Observed less predicted time to the first event at a server. */
  readonly predictionErrors: readonly Milliseconds[];
}

interface Router {
  readonly name: string;
  readonly dataCentre: string;
  policy: Policy;
  isUp: boolean;
}

/** One day under one policy. */
export class Emulator {
  readonly #clock: ManualClock = Clock.manual(dayStart);
  readonly #random: Random;
  readonly #routers: Router[] = [];
  readonly #engines = new Map<string, Engine>();
  readonly #servers = new Map<string, Server>();
  readonly #everRead = new Set<string>();
  readonly #served: Served[] = [];
  readonly #errors: Milliseconds[] = [];
  readonly #ended = new AbortController();
  readonly #exchange = Exchange.create(this.#clock, this.#ended.signal);
  readonly #routes: ReadonlyMap<RequestClass, Route>;
  readonly #names: readonly string[];
  #lastServer = 0;

  private constructor(
    private readonly scenario: Scenario,
    private readonly maker: PolicyMaker,
    seed: number,
  ) {
    this.#random = randomFrom(seed + 1);
    this.#names = Array.from({ length: scenario.routers }, (_, index) => `router-${index + 1}`);
    this.#routes = new Map(scenario.kinds.map((kind) => [kind, routeOf(kind)]));
  }

  /** Plays the scenario to its end. */
  static async play(scenario: Scenario, maker: PolicyMaker, seed: number): Promise<Played> {
    const emulator = new Emulator(scenario, maker, seed);
    // Every request of the day waits for the end of it.
    setMaxListeners(0, emulator.#ended.signal);
    emulator.#setUp();
    const callers = arrivalsOf(scenario, seed).map((arrival) => emulator.#caller(arrival));
    for (const event of scenario.events) void emulator.#carryOut(event);
    await emulator.#clock.advance(scenario.seconds * second + tail);
    emulator.#ended.abort();
    await Promise.all(callers);
    const engines = [...emulator.#engines.values()];
    return {
      served: emulator.#served,
      read: engines.reduce((sum, { read }) => sum + read, 0),
      readAgain: engines.reduce((sum, { readAgain }) => sum + readAgain, 0),
      predictionErrors: emulator.#errors,
    };
  }

  #setUp(): void {
    const { scenario } = this;
    for (let index = 0; index < scenario.servers; index += 1) this.#addServer(0);
    for (const [index, name] of this.#names.entries()) {
      const dataCentre = scenario.dataCentres[index % scenario.dataCentres.length] ?? '';
      this.#routers.push({ name, dataCentre, isUp: true, policy: this.#policy(name, dataCentre) });
    }
    this.#exchange.start(this.#routers);
    void this.#look();
  }

  #policy(name: string, dataCentre: string): Policy {
    const policy = this.maker.make({
      clock: this.#clock,
      work: WorkTimer.create(this.#clock),
      self: name,
      dataCentre,
      regionOf: Object.fromEntries(this.scenario.dataCentres.map((centre) => [centre, 'region'])),
      cold: { factor: 1.5, slack: 5 },
      repeats: { ratio: 0.2, slack: 54, window: 10_000 },
      routers: () => this.#names,
      entrances: () => this.#names,
    });
    policy.apply(this.maker.table.create(this.#desiredState()));
    policy.applyServers([...this.#servers.values()], false);
    return policy;
  }

  #desiredState(): DesiredState {
    const { slots, kvTokens: memory, warmup, coldRate } = this.scenario.engine;
    return {
      version: 1,
      routes: [...this.#routes.values()],
      services: [{ name: service, warmup, coldRate, engine: { slots, memory } }],
      teams: undefined,
      limits: { headers: 16_384, body: 1_000_000, headerTimeout: 3_000, idleTimeout: 15_000 },
    };
  }

  #addServer(coldLeft: Milliseconds): void {
    this.#lastServer += 1;
    const id = `server-${this.#lastServer}`;
    const { dataCentres, engine } = this.scenario;
    const dataCentre = dataCentres[this.#lastServer % dataCentres.length] ?? '';
    const born = this.#clock.now();
    const place = { service, address: `${id}:1`, dataCentre, slots: engine.slots };
    this.#servers.set(id, { id, ...place, isLeaving: false, coldLeft, born });
    const made = Engine.create(id, this.#clock, engine, this.#everRead);
    this.#engines.set(id, made);
    void made.run(this.#ended.signal);
  }

  #tellServers(): void {
    for (const { policy, isUp } of this.#routers)
      if (isUp) policy.applyServers([...this.#servers.values()], false);
  }

  async #look(): Promise<void> {
    while (!this.#ended.signal.aborted) {
      await this.#clock.sleep(tickInterval, this.#ended.signal);
      for (const { policy, isUp } of this.#routers) if (isUp) policy.tick();
    }
  }

  /** A caller with one request, which it repeats after a refusal. */
  async #caller(arrival: Arrival): Promise<void> {
    const clock = this.#clock;
    const begin = clock.now() + arrival.at;
    await clock.sleep(arrival.at, this.#ended.signal);
    let result: Served['result'] = 'failed';
    let first: Milliseconds | undefined;
    let begun: Milliseconds | undefined;
    const onBegin = (): void => {
      begun ??= clock.now() - dayStart;
    };
    for (let attempt = 0; attempt <= returns; attempt += 1) {
      const router = this.#pick(arrival.pick);
      if (router === undefined) {
        await clock.sleep(reconnect, this.#ended.signal);
        continue;
      }
      const answer = await this.#attempt(router, arrival, onBegin);
      if (answer.kind === 'answered') {
        first = answer.firstAt - begin;
        const isInAim =
          first <= arrival.kind.targetLatency && answer.longestPause <= arrival.kind.maxEventGap;
        result = isInAim ? 'inAim' : 'late';
        break;
      }
      result = answer.kind;
      if (answer.kind === 'refused') await clock.sleep(answer.retryAfter, this.#ended.signal);
    }
    this.#served.push({ arrival, result, first, begun });
  }

  #pick(pick: number): Router | undefined {
    const up = this.#routers.filter(({ isUp }) => isUp);
    return up[pick % Math.max(1, up.length)];
  }

  async #attempt(
    router: Router,
    { kind, team, prompt, output }: Arrival,
    onBegin: () => void,
  ): Promise<Answer> {
    const clock = this.#clock;
    await clock.sleep(callerWay, this.#ended.signal);
    const route = this.#routes.get(kind);
    if (route === undefined) return { kind: 'failed' };
    const arrived = clock.now();
    const leaving = new AbortController();
    const avoid = new Set<string>();
    for (let tries = 0; tries < kind.attempts; tries += 1) {
      const asked = router.policy.acquire(
        {
          route,
          service,
          team: { name: team, keys: [], priority: undefined, regions: [] },
          prompt,
          arrived,
          deadline: arrived + kind.timeout,
          avoid,
        },
        leaving.signal,
      );
      const patience = clock.sleep(arrived + route.patience - clock.now(), this.#ended.signal);
      const granted = await Promise.race([asked, patience.then(() => 'left' as const)]);
      if (granted === 'left') {
        leaving.abort();
        void asked.then((late) => {
          if (late.kind === 'server') late.finish();
        });
        return { kind: 'failed' };
      }
      if (granted.kind === 'refused') return granted;
      const answer = await this.#send(
        granted,
        kind,
        { prompt, output, onBegin },
        arrived + route.patience,
      );
      if (answer.kind === 'answered') return answer;
      avoid.add(granted.server.id);
      if (answer.kind === 'failed' && !kind.canResume) return answer;
    }
    return { kind: 'failed' };
  }

  /** Sends a request to its server and waits for the end of the answer, or for its caller to leave. */
  async #send(
    grant: Grant,
    kind: RequestClass,
    asked: Pick<Run, 'prompt' | 'output' | 'onBegin'>,
    patienceEnd: Milliseconds,
  ): Promise<Answer> {
    const clock = this.#clock;
    const sent = clock.now();
    await clock.sleep(serverWay, this.#ended.signal);
    const engine = this.#engines.get(grant.server.id);
    let firstAt: Milliseconds | undefined;
    let lastAt = 0;
    let longestPause = 0;
    const end = await new Promise<RunEnd | 'left' | 'unreachable'>((resolve) => {
      const run: Run = {
        ...asked,
        tokensPerEvent: kind.tokensPerEvent,
        onEvent: () => {
          const now = clock.now();
          if (firstAt === undefined) {
            firstAt = now;
            grant.started();
            this.#errors.push(now - sent - grant.predicted);
          } else longestPause = Math.max(longestPause, now - lastAt);
          lastAt = now;
        },
        onEnd: resolve,
      };
      if (engine?.submit(run) !== true) {
        resolve('unreachable');
        return;
      }
      void clock.sleep(patienceEnd - clock.now(), this.#ended.signal).then(() => {
        if (firstAt !== undefined && !this.#ended.signal.aborted) return;
        engine.cancel(run);
        resolve('left');
      });
    });
    switch (end) {
      case 'whole':
        grant.finish('answered');
        return firstAt === undefined
          ? { kind: 'failed' }
          : { kind: 'answered', firstAt: firstAt + callerWay, longestPause };
      case 'lost':
        grant.finish('failed');
        return { kind: 'failed' };
      case 'unreachable':
        grant.finish('unreachable');
        return { kind: 'failed' };
      case 'left':
        grant.finish();
        return { kind: 'failed' };
    }
  }

  async #carryOut(event: ScenarioEvent): Promise<void> {
    const clock = this.#clock;
    await clock.sleep(event.at * second, this.#ended.signal);
    const { warmup } = this.scenario.engine;
    switch (event.kind) {
      case 'burst':
      case 'hotTeam':
      case 'hotPart':
        // These are in the arrivals.
        return;
      case 'serversLost': {
        const lost = this.#some([...this.#servers.keys()], event.share);
        for (const id of lost) this.#engines.get(id)?.crash();
        await clock.sleep(event.duration * second, this.#ended.signal);
        for (const id of lost) {
          const server = this.#servers.get(id);
          this.#engines.get(id)?.restart();
          if (server !== undefined)
            this.#servers.set(id, { ...server, born: clock.now(), coldLeft: warmup });
        }
        this.#tellServers();
        return;
      }
      case 'release':
        for (const id of this.#some([...this.#servers.keys()], event.share)) {
          this.#addServer(warmup);
          this.#servers.delete(id);
          this.#tellServers();
          await clock.sleep(event.duration * second, this.#ended.signal);
        }
        return;
      case 'scale': {
        const some = this.#some([...this.#servers.keys()], event.share);
        for (const id of some) {
          if (event.isOut) this.#addServer(warmup);
          else this.#servers.delete(id);
        }
        this.#tellServers();
        return;
      }
      case 'routersLost': {
        const lost = this.#some(this.#routers, event.share);
        for (const router of lost) router.isUp = false;
        await clock.sleep(event.duration * second, this.#ended.signal);
        for (const router of lost) {
          router.policy = this.#policy(router.name, router.dataCentre);
          router.isUp = true;
          this.#exchange.restart(router);
        }
      }
    }
  }

  /** A share of the items, one at least. */
  #some<Item>(items: readonly Item[], share: number): readonly Item[] {
    const shuffled = items
      .map((item) => ({ item, key: this.#random() }))
      .sort((a, b) => a.key - b.key);
    const count = Math.max(1, Math.round(items.length * share));
    return shuffled.slice(0, count).map(({ item }) => item);
  }
}

type Answer =
  | {
      readonly kind: 'answered';
      readonly firstAt: Milliseconds;
      readonly longestPause: Milliseconds;
    }
  | { readonly kind: 'refused'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'failed' };

function routeOf(kind: RequestClass): Route {
  return {
    name: kind.name,
    host: 'experiment',
    prefix: `/${kind.name}/`,
    kind: 'streaming',
    timeout: kind.timeout,
    aim: kind.targetLatency,
    // Callers leave a stream without an event after the longest of these.
    patience: Math.min(
      kind.timeout,
      Math.max(2 * second, 4 * kind.targetLatency, 8 * kind.maxEventGap),
    ),
    priority: 1,
    shares: [{ service, weight: 1 }],
    maxAttempts: kind.attempts,
    isPublic: true,
    canResume: kind.canResume,
    regions: [],
  };
}
