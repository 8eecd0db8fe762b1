// Planned stops of a router while callers keep asking: on connections that they keep, on new ones, and through another
// router. Load pattern: steady requests that take long compared with the grace time.

import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { Agent } from 'node:http';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, test, type TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@catkinwheel/state';
import { call, type CallResult } from './caller.js';
import { StackFleet, desiredStateOf, freePorts, modelFields, names } from './fleet.js';
import { RouterProcess } from './routerProcess.js';
import { StackServer, streamLength } from './server.js';
import { StackStore } from './store.js';

/** Time that a response takes, for all kinds of requests. */
const workTime: Milliseconds = 1_800;
/** Time in which callers ask before the stop, and at most after it. */
const before: Milliseconds = 4_000;
const after: Milliseconds = 6_000;
/** Time between two requests of each caller that opens connections. */
const interval: Milliseconds = 60;
const keptCallers = 6;
/** Part of the grace in which a router has to go on with the streams that it has begun: the pages' five sixths. */
const minGraceUsed = 5 / 6;
/** Time in which a router that is ready knows its servers. */
const settleTime: Milliseconds = 500;

const kinds = {
  reads: { method: 'GET' },
  charges: { method: 'POST', body: '{"amount":1}' },
  drafts: { method: 'POST', body: '{"prompt":"…"}', headers: modelFields },
  letters: { method: 'POST', body: '{"prompt":"…"}', headers: modelFields },
} as const;
type Kind = keyof typeof kinds;
const kindNames = Object.keys(kinds) as readonly Kind[];

interface Outcome {
  readonly id: string;
  readonly sentAt: Milliseconds;
  readonly endedAt: Milliseconds;
  readonly answer: CallResult;
}

/** A store, servers that take `workTime`, and callers of one address. */
class StopTrial {
  readonly outcomes: Outcome[] = [];
  #sent = 0;
  #isAsking = true;
  readonly #asking: Promise<unknown>[] = [];

  private constructor(
    readonly store: StackStore,
    readonly servers: readonly StackServer[],
    private readonly limit: Milliseconds,
  ) {}

  /** `limit` is the time limit of all routes. */
  static async start(limit: Milliseconds): Promise<StopTrial> {
    const store = await StackStore.start();
    const servers: StackServer[] = [];
    for (const service of [names.model, names.desk])
      for (const number of [1, 2]) {
        const server = await StackServer.start(`${service}-${number}`);
        server.answerPause = workTime;
        server.eventPause = workTime / streamLength;
        servers.push(server);
        store.put('servers', server.id, { ...(server.entry(service) as object), slots: 200 });
      }
    const { routes, ...rest } = desiredStateOf(1) as { readonly routes: readonly object[] };
    const engine = { slots: 200, kvTokens: 5_000_000 };
    const services = [
      { name: names.model, warmupS: 0, coldPerS: 0, engine },
      { name: names.desk, warmupS: 0, coldPerS: 0 },
    ];
    const limited = routes.map((route) => ({ ...route, timeoutMs: limit }));
    store.put('op', 'config', { ...rest, routes: limited, services });
    return new StopTrial(store, servers, limit);
  }

  /** Callers that keep their connections, and some that open one for each request. */
  ask(address: string): void {
    for (let index = 0; index < keptCallers; index += 1) {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      this.#asking.push(this.#askInTurn(address, agent));
    }
    this.#asking.push(this.#askSteadily(address));
  }

  async finish(): Promise<void> {
    this.#isAsking = false;
    await Promise.all(this.#asking);
  }

  /**
   * Ids of requests that a server has got and whose callers got no whole answer. As on the users' page, two kinds do not count:
   * streams at which the server was at work when the time limit of their route had passed, and streams that had begun before
   * the stop and went on into the last sixth of the grace.
   */
  lost(stopAt: Milliseconds, grace: Milliseconds): readonly string[] {
    const seen = new Set(this.servers.flatMap((server) => server.seen.map(({ id }) => id)));
    return this.outcomes
      .filter(({ id, answer }) => seen.has(id) && !(answer.status > 0 && answer.isWhole))
      .filter(({ sentAt, endedAt, answer }) => {
        if (answer.status !== 200) return true;
        const isPastLimit = endedAt - sentAt >= this.limit;
        const isPastGrace = sentAt < stopAt && endedAt >= stopAt + grace * minGraceUsed;
        return !isPastLimit && !isPastGrace;
      })
      .map(({ id }) => id);
  }

  /** Ids of requests that have run, although their callers were told that they have not. */
  falselyRefused(): readonly string[] {
    const ran = new Set(this.servers.flatMap((server) => server.ran));
    return this.outcomes
      .filter(({ id, answer }) => answer.status === 503 && ran.has(id))
      .map(({ id }) => id);
  }

  async close(): Promise<void> {
    await Promise.all(this.servers.map((server) => server.close()));
    await this.store.close();
  }

  async send(address: string, agent?: Agent): Promise<Outcome> {
    this.#sent += 1;
    const kind = kindNames[this.#sent % kindNames.length] ?? 'reads';
    const id = `${kind}-${this.#sent}`;
    const sentAt = performance.now();
    const answer = await call({
      address,
      host: names.host,
      id,
      key: names.key,
      path: `/${kind}/1`,
      timeLeft: 30_000,
      ...kinds[kind],
      ...(agent === undefined ? {} : { agent }),
    });
    const outcome = { id, sentAt, endedAt: performance.now(), answer };
    this.outcomes.push(outcome);
    return outcome;
  }

  async #askInTurn(address: string, agent: Agent): Promise<void> {
    while (this.#isAsking) {
      const { answer } = await this.send(address, agent);
      if (answer.status === 0 || answer.status === 503) await pause(interval);
    }
    agent.destroy();
  }

  async #askSteadily(address: string): Promise<void> {
    const answers: Promise<unknown>[] = [];
    while (this.#isAsking) {
      answers.push(this.send(address));
      await pause(interval);
    }
    await Promise.all(answers);
  }
}

async function startRouter(
  t: TestContext,
  trial: StopTrial,
  ip: string,
  grace: Milliseconds,
): Promise<RouterProcess> {
  const router = await createRouter(t, trial, ip, grace);
  router.start();
  await router.ready();
  await pause(settleTime);
  return router;
}

async function createRouter(
  t: TestContext,
  trial: StopTrial,
  ip: string,
  grace: Milliseconds,
  nodeOptions: readonly string[] = [],
): Promise<RouterProcess> {
  const folder = mkdtempSync(join(tmpdir(), 'catkinwheel-'));
  const [link = 0, callers = 0, ready = 0, control = 0, directory = 0] = await freePorts(5);
  const router = RouterProcess.create('router', {
    ip,
    ports: { link, callers, ready, control, directory },
    dataCentre: 'suva',
    store: trial.store.address,
    seeds: [],
    folder,
    grace,
    nodeOptions,
  });
  t.after(async () => {
    await router.kill();
    rmSync(folder, { recursive: true });
  });
  return router;
}

describe('a planned stop', { concurrency: true }, () => {
  let host = 20;
  for (const grace of [1_000, 4_000, 8_000, 30_000])
    for (const limit of [2_500, 10_000]) {
      host += 1;
      const ip = `127.0.0.${host}`;
      // Guards against LOST: a router that takes requests for a fixed time after SIGTERM, whatever they take, ends before
      // their answers.
      test(`with ${grace / 1_000} s of grace and routes of ${limit / 1_000} s leaves no request without an answer`, async (t) => {
        const trial = await StopTrial.start(limit);
        t.after(() => trial.close());
        const router = await startRouter(t, trial, ip, grace);
        trial.ask(router.callers);
        await pause(before);
        const answered = trial.outcomes.filter(({ answer }) => answer.status === 200).length;
        assert.ok(answered > 20, `${answered} answered before the stop`);
        const stopAt = performance.now();
        const stopped = router.stop().then((code) => ({ code, endedAt: performance.now() }));
        await Promise.race([stopped, pause(after)]);
        await trial.finish();
        const { code, endedAt } = await stopped;
        assert.equal(code, 0);
        assert.ok(endedAt - stopAt < grace + 200, `the router ended after ${endedAt - stopAt} ms`);
        assert.deepEqual(trial.lost(stopAt, grace), []);
        assert.deepEqual(trial.falselyRefused(), []);
        // With time enough, requests that come after SIGTERM are served.
        const served = trial.outcomes.filter(
          ({ sentAt, answer }) => sentAt > stopAt + 50 && answer.status === 200,
        );
        if (grace >= 8_000) assert.ok(served.length > 20, `${served.length} served after SIGTERM`);
      });
    }
});

/** Time between two signals that come in a series: shorter than any request. */
const signalInterval: Milliseconds = 300;

describe('signals that come again during a planned stop', { concurrency: true }, () => {
  const series: readonly (readonly NodeJS.Signals[])[] = [
    ['SIGTERM', 'SIGTERM'],
    ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGTERM'],
    ['SIGHUP', 'SIGINT', 'SIGTERM', 'SIGINT'],
  ];
  for (const [index, signals] of series.entries())
    // Guards against LOST: a router that ends at a further signal cuts all requests that it has at servers.
    test(`${signals.join(', ')} cut no request`, async (t) => {
      const grace: Milliseconds = 8_000;
      const trial = await StopTrial.start(10_000);
      t.after(() => trial.close());
      const router = await startRouter(t, trial, `127.0.0.${40 + index}`, grace);
      trial.ask(router.callers);
      await pause(before);
      const stopAt = performance.now();
      for (const signal of signals) {
        router.signal(signal);
        await pause(signalInterval);
      }
      const exited = router.exited.then((code) => ({ code, endedAt: performance.now() }));
      await Promise.race([exited, pause(after)]);
      await trial.finish();
      const { code, endedAt } = await exited;
      assert.equal(code, 0);
      assert.ok(endedAt - stopAt < grace + signalInterval, `ended after ${endedAt - stopAt} ms`);
      assert.deepEqual(trial.lost(stopAt, grace), []);
      assert.deepEqual(trial.falselyRefused(), []);
    });
});

// Guards against a log that ends the process when its reader is gone.
test('a router whose log is read no longer serves on and stops with 0', async (t) => {
  const trial = await StopTrial.start(2_500);
  t.after(() => trial.close());
  const router = await startRouter(t, trial, '127.0.0.48', 1_000);
  router.closeOutput();
  for (let count = 0; count < 3; count += 1) {
    const { answer } = await trial.send(router.callers);
    assert.equal(answer.status, 200);
  }
  const metrics = await (await fetch(router.metrics)).text();
  const lost = /^catkinwheel_log_lines_lost (\d+)$/m.exec(metrics)?.[1];
  assert.ok(Number(lost) >= 3, `${lost ?? 'no'} lines lost`);
  assert.equal(await router.stop(), 0);
});

// Guards against settings that are read again and not used.
test('a router stops within the grace time that its settings state since SIGHUP', async (t) => {
  const trial = await StopTrial.start(2_500);
  t.after(() => trial.close());
  const router = await startRouter(t, trial, '127.0.0.49', 30_000);
  // A file that is wrong leaves the settings in force as they are.
  router.changeSettings({ bounds: 'none' });
  router.signal('SIGHUP');
  await pause(settleTime);
  router.changeSettings({ bounds: { graceS: 1 } });
  router.signal('SIGHUP');
  await pause(settleTime);
  const stopAt = performance.now();
  assert.equal(await router.stop(), 0);
  const took = performance.now() - stopAt;
  assert.ok(took < 1_200, `the router ended after ${took} ms`);
});

describe('signals that come while a router starts', { concurrency: true }, () => {
  for (const [index, signal] of (['SIGTERM', 'SIGINT', 'SIGHUP'] as const).entries())
    // Guards against a start that a signal ends by its default action.
    test(`${signal} is acted on once the router has started`, async (t) => {
      const trial = await StopTrial.start(2_500);
      t.after(() => trial.close());
      // The process signals itself with its first log line, when no listener is open yet.
      const preload = `const write = process.stdout.write.bind(process.stdout);
        process.stdout.write = (line, ...rest) => {
          if (String(line).includes('"starting"')) process.kill(process.pid, '${signal}');
          return write(line, ...rest);
        };`;
      const options = [`--import=data:text/javascript,${encodeURIComponent(preload)}`];
      const router = await createRouter(t, trial, `127.0.0.${45 + index}`, 1_000, options);
      router.start();
      if (signal === 'SIGHUP') {
        await router.ready();
        await router.stop();
      }
      assert.equal(await router.exited, 0);
    });
});

/** Time in which heartbeats tell the other routers that one stops. */
const noticeTime: Milliseconds = 300;

// Guards against LOST through a router that holds a caller's connection: the router behind it answers after its end.
test('requests through a router that stops are answered before its end, or refused', async (t) => {
  const fleet = await StackFleet.start();
  t.after(() => fleet.close());
  await fleet.addRouter();
  await fleet.addRouter();
  await fleet.ready(0);
  await fleet.ready(1);
  const [holding, serving] = fleet.routers.map(({ settings }) => settings);
  assert.ok(holding !== undefined && serving !== undefined);
  for (const server of fleet.desks) server.answerPause = workTime;
  const socket = (): ReturnType<typeof connect> =>
    connect({ host: serving.ip, port: serving.peerPort + 1, localAddress: holding.ip });
  let sent = 0;
  const ask = async (): Promise<CallResult & { readonly id: string; readonly endedAt: number }> => {
    sent += 1;
    const id = `through-${sent}`;
    const agent = new Agent();
    Object.assign(agent, { createConnection: socket });
    const address = `${serving.ip}:${serving.peerPort + 1}`;
    const path = '/charges/1';
    const result = await call({ address, host: names.host, id, path, method: 'POST', agent });
    return { ...result, id, endedAt: performance.now() };
  };
  await Promise.all(Array.from({ length: 8 }, ask));
  const answers: ReturnType<typeof ask>[] = [];
  const ended = new AbortController();
  const stopped = fleet.routers[0]?.gateway.stop().then(() => {
    ended.abort();
    return performance.now();
  });
  await pause(noticeTime);
  while (!ended.signal.aborted) {
    answers.push(ask());
    await pause(interval);
  }
  const end = (await stopped) ?? 0;
  const late = (await Promise.all(answers)).filter(
    ({ id, endedAt }) =>
      endedAt > end && fleet.desks.some(({ seen }) => seen.some((each) => each.id === id)),
  );
  assert.deepEqual(
    late.map(({ id }) => id),
    [],
  );
});
