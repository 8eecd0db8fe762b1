// Load pattern: sound requests and requests with a deadly part at three routers and eight servers, each of which is back 1.5 s
// after an end; a server ends for reasons of its own now and then, and half of them at one moment.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { PoisonGuard, type EndSources, type GuardedRun } from './poisonGuard.js';
import type { Prompt } from './model.js';
import type { ServerInstance } from './serverInstance.js';

const step: Milliseconds = 10;
const gossipInterval: Milliseconds = 100;
const restartTime: Milliseconds = 1_500;
/** `stableMs` of the published deployments, and the bound on requests after it. */
const stableTime: Milliseconds = 3_000;
const maxFurther = 3;
const maxEnds = 5;

interface SimulatedServer {
  readonly id: string;
  born: number;
  upAt: Milliseconds;
}

interface SimulatedRun {
  readonly server: SimulatedServer;
  readonly run: GuardedRun;
  readonly isDeadly: boolean;
  readonly begins: Milliseconds;
  readonly ends: Milliseconds;
}

/** Pseudo-random numbers from 0 to 1 (mulberry32). */
function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

function promptOf(middle: string): Prompt {
  const parts = ['first', middle, 'own'].map((id) => ({ id, tokens: 100 }));
  return { model: 'm', parts, promptTokens: 300, outputLimit: 60 };
}

/** Plays 20 s; the deadly part comes from `deadlyFrom` on. */
async function play(
  seed: number,
  deadlyFrom: Milliseconds,
): Promise<{ readonly further: number; readonly blocked: ReadonlySet<string> }> {
  const clock = Clock.manual(0);
  const random = randomOf(seed);
  const blocked = new Set<string>();
  const guards = ['r1', 'r2', 'r3'].map((name) =>
    PoisonGuard.create(clock, name, ({ kind, part }) => {
      if (kind === 'blocked') blocked.add(part);
      else blocked.delete(part);
    }),
  );
  const servers = Array.from({ length: 8 }, (_, index): SimulatedServer => {
    return { id: `s${index}`, born: 1, upAt: 0 };
  });
  let runs: readonly SimulatedRun[] = [];
  const deadlyEnds: Milliseconds[] = [];
  const reached: Milliseconds[] = [];
  const endServer = (server: SimulatedServer): void => {
    for (const { run } of runs.filter((each) => each.server === server))
      run.finished('disconnected');
    runs = runs.filter((each) => each.server !== server);
    server.born += 1;
    server.upAt = clock.now() + restartTime;
  };
  const send = (isDeadly: boolean): void => {
    const now = clock.now();
    const prompt = promptOf(isDeadly ? 'dead' : `topic-${Math.floor(random() * 20)}`);
    const guard = guards[Math.floor(random() * guards.length)];
    const server = servers[Math.floor(random() * servers.length)];
    if (guard === undefined || server === undefined || guard.blockedFor(prompt) > 0) return;
    const isUp = server.upAt <= now;
    const born = isUp ? server.born : server.born - 1;
    const run = guard.begin({ id: server.id, born, address: '' }, prompt, () => false);
    if (!isUp) {
      run.finished('unreachable');
      return;
    }
    if (isDeadly) reached.push(now);
    const begins = now + 50 + random() * 400;
    runs = [...runs, { server, run, isDeadly, begins, ends: begins + 200 + random() * 1_300 }];
  };
  for (let now = 0; now < 20_000; now += step) {
    await clock.advance(step);
    if (now % 20 === 0) send(false);
    if (now >= deadlyFrom && now % 200 === 0) send(true);
    for (const each of runs) {
      if (each.begins > now || !runs.includes(each)) continue;
      if (each.isDeadly) {
        deadlyEnds.push(now);
        endServer(each.server);
      } else if (each.ends > now) {
        each.run.progressed();
      } else {
        each.run.finished('answered');
        runs = runs.filter((other) => other !== each);
      }
    }
    const any = servers[Math.floor(random() * servers.length)];
    if (any !== undefined && any.upAt <= now && random() < step / 4_000) endServer(any);
    if (now === 12_000)
      for (const server of servers.slice(0, 4)) if (server.upAt <= now) endServer(server);
    for (const guard of guards) guard.tick();
    if (now % gossipInterval === 0)
      for (const guard of guards)
        for (const other of guards) if (other !== guard) other.hear(guard.evidence('own'));
  }
  const bound = (deadlyEnds[maxEnds - 1] ?? Infinity) + stableTime;
  return { further: reached.filter((at) => at > bound).length, blocked };
}

// Guards against BUDGET and LOST at other draws than those of the test with real processes.
for (const [name, deadlyFrom] of [
  ['after some calm seconds', 4_000],
  ['from the first request on', 0],
] as const) {
  test(`a deadly part that comes ${name} is blocked, and no sound one is`, async () => {
    for (let seed = 1; seed <= 15; seed += 1) {
      const { further, blocked } = await play(seed, deadlyFrom);
      assert.ok(further <= maxFurther, `seed ${seed}: ${further} more requests`);
      assert.deepEqual([...blocked], ['dead'], `seed ${seed}`);
    }
  });
}

// Guards against blame where servers end for reasons of their own only.
test('no part is blocked if servers end without a common cause', async () => {
  for (let seed = 1; seed <= 15; seed += 1)
    assert.deepEqual([...(await play(seed, Infinity)).blocked], [], `seed ${seed}`);
});

/** Loses connections to five servers, one after the other, and says what is blocked then. */
async function loseServers(
  sources: Omit<EndSources, 'instanceOf'>,
  registrationsGoAfter: Milliseconds,
): Promise<readonly string[]> {
  const clock = Clock.manual(0);
  const blocked: string[] = [];
  const registered = new Map<string, ServerInstance>();
  const guard = PoisonGuard.create(
    clock,
    'r1',
    ({ part }) => {
      blocked.push(part);
    },
    { ...sources, instanceOf: (id) => registered.get(id) },
  );
  for (const id of ['a', 'b', 'c', 'd', 'e']) {
    const server = { id, born: 1, address: `10.0.0.1:${id}` };
    registered.set(id, server);
    guard.begin(server, promptOf('dead'), () => false).finished('disconnected');
    await clock.advance(registrationsGoAfter);
    registered.delete(id);
    guard.recordRegistrations();
    await clock.advance(200);
    guard.tick();
  }
  return blocked;
}

const listening: Omit<EndSources, 'instanceOf'> = {
  idAt: () => undefined,
  isRefused: () => Promise.resolve(false),
};

// Guards against blame where servers break answers off and are taken away later, as in the replacement of a service.
test('a server that lost connections and whose registration is removed has not ended under its requests', async () => {
  assert.deepEqual(await loseServers(listening, 0), []);
});

// Guards against BUDGET where the list drops a server as it ends, so that nobody is sent there and finds it gone.
test('a server that is gone from the list and from its address has ended under its requests', async () => {
  const refused = { ...listening, isRefused: () => Promise.resolve(true) };
  assert.deepEqual(await loseServers(refused, 0), ['dead']);
});

// Guards against BUDGET where the end is heard of only when the next server is at the address.
test('a server in whose place another one is registered has ended under its requests', async () => {
  const replaced = { ...listening, idAt: () => 'next' };
  assert.deepEqual(await loseServers(replaced, 1_500), ['dead']);
});

// Guards against blame by another server that comes to an address long after connections to the one before were lost.
test('a server that is replaced long after it lost connections has not ended under its requests', async () => {
  const replaced = { ...listening, idAt: () => 'next' };
  assert.deepEqual(await loseServers(replaced, 6_000), []);
});
