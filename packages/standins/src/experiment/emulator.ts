// Runs a scenario on a manual clock, so that routing policies can be compared on the same requests: routers choose
// servers by a policy and exchange load reports, engines process requests, callers leave and retry.

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
import { Engine, type EngineRequest, type EngineOutcome } from './engine.js';
import { GossipNetwork } from './gossipNetwork.js';
import type { Policy, PolicyFactory } from './policy.js';
import { generateArrivals, type Arrival } from './arrivals.js';
import type { ScenarioEvent, RequestClass, Scenario } from '@catkinwheel/platform/site';

const service = 'model';
/** Time of the clock at the start of a scenario. */
const startTime: Milliseconds = 1_000_000;
const second: Milliseconds = 1_000;
/** Interval at which a router goes through its queued requests. */
const tickInterval: Milliseconds = 10;
/** One-way network delays between a caller and its router, and between a router and a server. */
const callerDelay: Milliseconds = 3;
const serverDelay: Milliseconds = 1;
/** Time after the end of the scenario in which responses can still complete. */
const drainPeriod: Milliseconds = 12_000;
/** Retries of a caller after a refusal, a failure or an attempt that found no running router. */
const maxCallerRetries = 1;
/** Part of the time that a caller has left for which it waits at most before it comes back. */
const maxWaitFraction = 1 / 3;
/** Delay before a caller retries if no router is running. */
const reconnectDelay: Milliseconds = 200;

/** Outcome of one request of a caller over all its attempts. */
export interface RequestOutcome {
  readonly arrival: Arrival;
  readonly result: 'onTime' | 'late' | 'refused' | 'failed';
  /** Measured from the caller's first attempt; undefined if no response completed. */
  readonly timeToFirstEvent: Milliseconds | undefined;
  /** Time since the start of the scenario at which a server first started the request; undefined if none did. */
  readonly startedAt: Milliseconds | undefined;
}

/** Measurements of one run of a scenario. */
export interface EmulationResult {
  readonly outcomes: readonly RequestOutcome[];
  /** Prompt tokens prefilled by all engines. */
  readonly prefillTokens: number;
  /** Prefilled tokens of prompt parts that some engine had prefilled before. */
  readonly repeatedPrefillTokens: number;
  /** Observed minus predicted time to the first event, measured from the router's sending. */
  readonly predictionErrors: readonly Milliseconds[];
}

interface EmulatedRouter {
  readonly name: string;
  readonly dataCentre: string;
  policy: Policy;
  isUp: boolean;
}

/** One run of a scenario under one policy. */
export class Emulator {
  readonly #clock: ManualClock = Clock.manual(startTime);
  readonly #random: Random;
  readonly #routers: EmulatedRouter[] = [];
  readonly #engines = new Map<string, Engine>();
  readonly #servers = new Map<string, Server>();
  readonly #everPrefilled = new Set<string>();
  readonly #outcomes: RequestOutcome[] = [];
  readonly #predictionErrors: Milliseconds[] = [];
  readonly #stop = new AbortController();
  readonly #gossip = GossipNetwork.create(this.#clock, this.#stop.signal);
  readonly #routes: ReadonlyMap<RequestClass, Route>;
  readonly #routerNames: readonly string[];
  #lastServerNumber = 0;

  private constructor(
    private readonly scenario: Scenario,
    private readonly policyFactory: PolicyFactory,
    seed: number,
  ) {
    this.#random = randomFrom(seed + 1);
    this.#routerNames = Array.from(
      { length: scenario.routers },
      (_, index) => `router-${index + 1}`,
    );
    this.#routes = new Map(scenario.kinds.map((kind) => [kind, routeOf(kind)]));
  }

  /** Runs the scenario to its end. `seed` determines all random choices. */
  static async run(
    scenario: Scenario,
    policyFactory: PolicyFactory,
    seed: number,
  ): Promise<EmulationResult> {
    const emulator = new Emulator(scenario, policyFactory, seed);
    // Every pending request listens on this signal, far more than the default limit of listeners.
    setMaxListeners(0, emulator.#stop.signal);
    emulator.#setUp();
    const callers = generateArrivals(scenario, seed).map((arrival) => emulator.#runCaller(arrival));
    for (const event of scenario.events) void emulator.#applyEvent(event);
    await emulator.#clock.advance(scenario.seconds * second + drainPeriod);
    emulator.#stop.abort();
    await Promise.all(callers);
    const engines = [...emulator.#engines.values()];
    return {
      outcomes: emulator.#outcomes,
      prefillTokens: engines.reduce((sum, { prefillTokens }) => sum + prefillTokens, 0),
      repeatedPrefillTokens: engines.reduce(
        (sum, { repeatedPrefillTokens }) => sum + repeatedPrefillTokens,
        0,
      ),
      predictionErrors: emulator.#predictionErrors,
    };
  }

  #setUp(): void {
    const { scenario } = this;
    for (let index = 0; index < scenario.servers; index += 1) this.#addServer(0);
    for (const [index, name] of this.#routerNames.entries()) {
      const dataCentre = scenario.dataCentres[index % scenario.dataCentres.length] ?? '';
      this.#routers.push({
        name,
        dataCentre,
        isUp: true,
        policy: this.#createPolicy(name, dataCentre),
      });
    }
    this.#gossip.start(this.#routers);
    void this.#tickRouters();
  }

  #createPolicy(name: string, dataCentre: string): Policy {
    const policy = this.policyFactory.createPolicy({
      clock: this.#clock,
      work: WorkTimer.create(this.#clock),
      self: name,
      dataCentre,
      regionOf: Object.fromEntries(this.scenario.dataCentres.map((centre) => [centre, 'region'])),
      cold: { factor: 1.5, slack: 5 },
      repeats: { ratio: 0.2, slack: 54, window: 10_000 },
      routers: () => this.#routerNames,
      entrances: () => this.#routerNames,
    });
    policy.apply(this.policyFactory.table.create(this.#desiredState()));
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
    this.#lastServerNumber += 1;
    const id = `server-${this.#lastServerNumber}`;
    const { dataCentres, engine } = this.scenario;
    const dataCentre = dataCentres[this.#lastServerNumber % dataCentres.length] ?? '';
    const born = this.#clock.now();
    const attributes = { service, address: `${id}:1`, dataCentre, slots: engine.slots };
    this.#servers.set(id, { id, ...attributes, isLeaving: false, coldLeft, born });
    const newEngine = Engine.create(id, this.#clock, engine, this.#everPrefilled);
    this.#engines.set(id, newEngine);
    void newEngine.run(this.#stop.signal);
  }

  #publishServers(): void {
    for (const { policy, isUp } of this.#routers)
      if (isUp) policy.applyServers([...this.#servers.values()], false);
  }

  async #tickRouters(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#clock.sleep(tickInterval, this.#stop.signal);
      for (const { policy, isUp } of this.#routers) if (isUp) policy.tick();
    }
  }

  /** Sends one request, with retries, and records its outcome. */
  async #runCaller(arrival: Arrival): Promise<void> {
    const clock = this.#clock;
    const arrivedAt = clock.now() + arrival.at;
    await clock.sleep(arrival.at, this.#stop.signal);
    let result: RequestOutcome['result'] = 'failed';
    let timeToFirstEvent: Milliseconds | undefined;
    let startedAt: Milliseconds | undefined;
    const onStart = (): void => {
      startedAt ??= clock.now() - startTime;
    };
    for (let attempt = 0; attempt <= maxCallerRetries; attempt += 1) {
      const router = this.#pickRouter(arrival.routerPick);
      if (router === undefined) {
        await clock.sleep(reconnectDelay, this.#stop.signal);
        continue;
      }
      const deadline = arrivedAt + arrival.kind.timeout;
      const attemptResult = await this.#attempt(router, arrival, deadline, onStart);
      if (attemptResult.kind === 'answered') {
        timeToFirstEvent = attemptResult.firstEventAt - arrivedAt;
        const isOnTime =
          timeToFirstEvent <= arrival.kind.targetLatency &&
          attemptResult.longestEventGap <= arrival.kind.maxEventGap;
        result = isOnTime ? 'onTime' : 'late';
        break;
      }
      result = attemptResult.kind;
      if (attemptResult.kind === 'refused') {
        const longestWait = (deadline - clock.now()) * maxWaitFraction;
        await clock.sleep(Math.min(attemptResult.retryAfter, longestWait), this.#stop.signal);
      }
    }
    this.#outcomes.push({ arrival, result, timeToFirstEvent, startedAt });
  }

  #pickRouter(pick: number): EmulatedRouter | undefined {
    const available = this.#routers.filter(({ isUp }) => isUp);
    return available[pick % Math.max(1, available.length)];
  }

  async #attempt(
    router: EmulatedRouter,
    { kind, team, prompt, outputTokens }: Arrival,
    deadline: Milliseconds,
    onStart: () => void,
  ): Promise<AttemptResult> {
    const clock = this.#clock;
    await clock.sleep(callerDelay, this.#stop.signal);
    const route = this.#routes.get(kind);
    if (route === undefined) return { kind: 'failed' };
    const arrivedAt = clock.now();
    const callerLeft = new AbortController();
    const avoid = new Set<string>();
    for (let tries = 0; tries < kind.attempts; tries += 1) {
      const acquisition = router.policy.acquire(
        {
          route,
          service,
          team: { name: team, keys: [], priority: undefined, regions: [] },
          prompt,
          arrived: arrivedAt,
          deadline,
          avoid,
        },
        callerLeft.signal,
      );
      const firstEventTimeout = clock.sleep(
        arrivedAt + route.patience - clock.now(),
        this.#stop.signal,
      );
      const acquired = await Promise.race([
        acquisition,
        firstEventTimeout.then(() => 'callerLeft' as const),
      ]);
      if (acquired === 'callerLeft') {
        callerLeft.abort();
        void acquisition.then((late) => {
          if (late.kind === 'server') late.finish();
        });
        return { kind: 'failed' };
      }
      if (acquired.kind === 'refused') return acquired;
      const result = await this.#send(
        acquired,
        kind,
        { prompt, outputTokens, onStart },
        arrivedAt + route.patience,
      );
      if (result.kind === 'answered') return result;
      avoid.add(acquired.server.id);
      if (result.kind === 'failed' && !kind.canResume) return result;
    }
    return { kind: 'failed' };
  }

  /** Sends a request to its server and waits until the response ends or the caller leaves. */
  async #send(
    grant: Grant,
    kind: RequestClass,
    request: Pick<EngineRequest, 'prompt' | 'outputTokens' | 'onStart'>,
    firstEventDeadline: Milliseconds,
  ): Promise<AttemptResult> {
    const clock = this.#clock;
    const sentAt = clock.now();
    await clock.sleep(serverDelay, this.#stop.signal);
    const engine = this.#engines.get(grant.server.id);
    let firstEventAt: Milliseconds | undefined;
    let lastEventAt = 0;
    let longestEventGap = 0;
    const end = await new Promise<EngineOutcome | 'callerLeft' | 'unreachable'>((resolve) => {
      const engineRequest: EngineRequest = {
        ...request,
        tokensPerEvent: kind.tokensPerEvent,
        onEvent: () => {
          const now = clock.now();
          if (firstEventAt === undefined) {
            firstEventAt = now;
            grant.started();
            this.#predictionErrors.push(now - sentAt - grant.predicted);
          } else longestEventGap = Math.max(longestEventGap, now - lastEventAt);
          lastEventAt = now;
        },
        onEnd: resolve,
      };
      if (engine?.submit(engineRequest) !== true) {
        resolve('unreachable');
        return;
      }
      void clock.sleep(firstEventDeadline - clock.now(), this.#stop.signal).then(() => {
        if (firstEventAt !== undefined && !this.#stop.signal.aborted) return;
        engine.cancel(engineRequest);
        resolve('callerLeft');
      });
    });
    switch (end) {
      case 'completed':
        grant.finish('answered');
        return firstEventAt === undefined
          ? { kind: 'failed' }
          : { kind: 'answered', firstEventAt: firstEventAt + callerDelay, longestEventGap };
      case 'lost':
        grant.finish('failed');
        return { kind: 'failed' };
      case 'unreachable':
        grant.finish('unreachable');
        return { kind: 'failed' };
      case 'callerLeft':
        grant.finish();
        return { kind: 'failed' };
    }
  }

  async #applyEvent(event: ScenarioEvent): Promise<void> {
    const clock = this.#clock;
    await clock.sleep(event.at * second, this.#stop.signal);
    const { warmup } = this.scenario.engine;
    switch (event.kind) {
      case 'burst':
      case 'hotTeam':
      case 'hotPart':
        // The generated arrivals contain these events.
        return;
      case 'serversLost': {
        const lost = this.#some([...this.#servers.keys()], event.share);
        for (const id of lost) this.#engines.get(id)?.crash();
        await clock.sleep(event.duration * second, this.#stop.signal);
        for (const id of lost) {
          const server = this.#servers.get(id);
          this.#engines.get(id)?.restart();
          if (server !== undefined)
            this.#servers.set(id, { ...server, born: clock.now(), coldLeft: warmup });
        }
        this.#publishServers();
        return;
      }
      case 'release':
        for (const id of this.#some([...this.#servers.keys()], event.share)) {
          this.#addServer(warmup);
          this.#servers.delete(id);
          this.#publishServers();
          await clock.sleep(event.duration * second, this.#stop.signal);
        }
        return;
      case 'scale': {
        const some = this.#some([...this.#servers.keys()], event.share);
        for (const id of some) {
          if (event.isOut) this.#addServer(warmup);
          else this.#servers.delete(id);
        }
        this.#publishServers();
        return;
      }
      case 'routersLost': {
        const lost = this.#some(this.#routers, event.share);
        for (const router of lost) router.isUp = false;
        await clock.sleep(event.duration * second, this.#stop.signal);
        for (const router of lost) {
          router.policy = this.#createPolicy(router.name, router.dataCentre);
          router.isUp = true;
          this.#gossip.restart(router);
        }
      }
    }
  }

  /** A random sample of a fraction of the items, of at least one item. */
  #some<Item>(items: readonly Item[], share: number): readonly Item[] {
    const shuffled = items
      .map((item) => ({ item, key: this.#random() }))
      .sort((a, b) => a.key - b.key);
    const count = Math.max(1, Math.round(items.length * share));
    return shuffled.slice(0, count).map(({ item }) => item);
  }
}

type AttemptResult =
  | {
      readonly kind: 'answered';
      readonly firstEventAt: Milliseconds;
      readonly longestEventGap: Milliseconds;
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
    // Callers leave a stream without an event after the longest of the last three, but no later than the timeout.
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
