// Tests the routing decisions of whole routers: floods by one team; servers that leave, return cold or crash.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type ManualClock } from '@catkinwheel/state';
import {
  Dispatcher,
  type DispatcherOptions,
  type Grant,
  type Rejection,
  type Request,
} from './dispatcher.js';
import { desiredState, prompt, route, server } from './fixtures.test.js';
import { RouteTable } from './routeTable.js';
import { WorkTimer } from './workTimer.js';

const never = new AbortController().signal;

function dispatcher(
  clock: Clock,
  self = 'r1',
  routers = ['r1'],
  options: Partial<DispatcherOptions> = {},
): Dispatcher {
  const created = Dispatcher.create({
    ...options,
    clock,
    work: WorkTimer.create(clock),
    self,
    dataCentre: 'suva',
    regionOf: { suva: 'viti-levu', nadi: 'viti-levu' },
    cold: { factor: 1.5, slack: 5 },
    repeats: { ratio: 0.2, slack: 54, window: 10_000 },
    routers: () => routers,
    entrances: () => routers,
  });
  created.apply(RouteTable.create(desiredState));
  return created;
}

function request(clock: Clock, changes: Partial<Request> = {}): Request {
  return {
    route,
    service: 'model',
    team: desiredState.teams?.[0],
    prompt: prompt('story', `own-${clock.now()}`),
    arrived: clock.now(),
    deadline: clock.now() + 12_000,
    avoid: new Set(),
    ...changes,
  };
}

async function settled(
  clock: ManualClock,
  promise: Promise<Grant | Rejection>,
): Promise<Grant | Rejection | undefined> {
  let result: Grant | Rejection | undefined;
  void promise.then((value) => {
    result = value;
  });
  await clock.advance(0);
  return result;
}

test('no request goes to a server that is leaving or in a data centre out of service', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock);
  router.applyServers(
    [server('a', { isLeaving: true }), server('b', { dataCentre: 'nadi' }), server('c')],
    false,
  );
  router.evacuate(new Set(['nadi']));
  for (let index = 0; index < 3; index += 1) {
    const grant = await settled(clock, router.acquire(request(clock), never));
    assert.ok(grant?.kind === 'server' && grant.server.id === 'c');
    grant.started();
  }
});

// Guards against DRAIN: a server that lapses between two ticks gets requests until the next one.
test('no request goes to a server whose registration was not renewed in time, before the next tick either', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock);
  router.applyServers([server('a'), server('b')], false);
  router.applyServers([server('b')], true);
  await clock.advance(2_000);
  for (let index = 0; index < 4; index += 1) {
    const grant = await settled(clock, router.acquire(request(clock), never));
    assert.ok(grant?.kind === 'server' && grant.server.id === 'b');
    grant.started();
  }
});

test('servers of a data centre that returns to service are limited to the rate of cold ones', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock);
  router.applyServers([server('a')], false);
  router.evacuate(new Set(['suva']));
  router.evacuate(new Set());
  let granted = 0;
  for (let index = 0; index < 30; index += 1) {
    const grant = await settled(clock, router.acquire(request(clock), never));
    if (grant?.kind !== 'server') continue;
    granted += 1;
    grant.started();
    grant.finish('answered');
  }
  assert.ok(granted > 0 && granted <= 15, `${granted} in an instant`);
});

test('a server that was unreachable is limited to the rate of a cold one when it responds again', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock);
  router.applyServers([server('a')], false);
  const lost = await settled(clock, router.acquire(request(clock), never));
  assert.ok(lost?.kind === 'server');
  lost.finish('unreachable');
  await clock.advance(300);
  const back = await settled(clock, router.acquire(request(clock), never));
  assert.ok(back?.kind === 'server');
  back.finish('answered');
  const known = router.servers.get('a');
  assert.ok(known !== undefined && router.servers.isCold(known));
});

test('two routers that exchange reports do not both fill the same server', async () => {
  const clock = Clock.manual(1_000);
  const names = ['r1', 'r2'];
  const routers = names.map((name) => dispatcher(clock, name, names));
  const [first, second] = routers;
  assert.ok(first !== undefined && second !== undefined);
  for (const router of routers) router.applyServers([server('a'), server('bb')], false);
  const parts = { parts: [{ id: 'alone', tokens: 9_000 }], promptTokens: 9_000 };
  const large = (): Request =>
    request(clock, { prompt: { model: 'm', outputLimit: 100, ...parts } });
  const one = await settled(clock, first.acquire(large(), never));
  second.hear({ kind: 'router', name: 'r1' }, { ...first.report(), parts: [] });
  const other = await settled(clock, second.acquire(large(), never));
  assert.ok(one?.kind === 'server' && other?.kind === 'server');
  assert.notEqual(one.server.id, other.server.id);
});

test('the report of a silent router expires', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock, 'r1', ['r1', 'r2']);
  router.applyServers([server('a')], false);
  const load = { unread: 400_000, requests: 64, memory: 0 };
  router.hear(
    { kind: 'router', name: 'r2' },
    {
      loads: new Map([['a', load]]),
      teams: new Map(),
      waiting: new Map([['a', load]]),
      least: new Map(),
      parts: [],
    },
  );
  const waiting = router.acquire(request(clock), never);
  assert.equal(router.waiting + Number((await settled(clock, waiting))?.kind === 'refused'), 1);
  await clock.advance(2_100);
  router.tick();
  const grant = await settled(clock, router.acquire(request(clock), never));
  assert.equal(grant?.kind, 'server');
});

test('a small team is served while a large one floods the router', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock);
  router.applyServers([server('a')], false);
  const finished: string[] = [];
  const send = (team: number, own: string): void => {
    const [name] = [desiredState.teams?.[team]?.name ?? ''];
    void router
      .acquire(
        request(clock, { team: desiredState.teams?.[team], prompt: prompt(own, 'own') }),
        never,
      )
      .then(async (grant) => {
        if (grant.kind === 'refused') return;
        await clock.sleep(300);
        grant.started();
        grant.finish('answered');
        finished.push(name);
      });
  };
  for (let second = 0; second < 20; second += 1) {
    for (let index = 0; index < 10; index += 1) send(0, `large-${second}-${index}`);
    send(1, `small-${second}`);
    await clock.advance(1_000);
    router.tick();
  }
  const small = finished.filter((name) => name === 'small').length;
  assert.ok(small >= 18, `${small} of 20`);
});

test('a team that has received more leaves room to one at another router', async () => {
  const clock = Clock.manual(1_000);
  const names = ['r1', 'r2'];
  const [first, second] = names.map((name) => dispatcher(clock, name, names));
  assert.ok(first !== undefined && second !== undefined);
  for (const router of [first, second]) router.applyServers([server('a')], false);
  const served = { large: 0, small: 0 };
  let sent = 0;
  const send = (router: Dispatcher, team: 0 | 1): void => {
    const name = team === 0 ? 'large' : 'small';
    sent += 1;
    const own = { parts: [{ id: `own-${sent}`, tokens: 8_000 }], promptTokens: 8_000 };
    void router
      .acquire(
        request(clock, {
          team: desiredState.teams?.[team],
          prompt: { model: 'm', outputLimit: 100, ...own },
        }),
        never,
      )
      .then(async (grant) => {
        if (grant.kind === 'refused') return;
        served[name] += 1;
        await clock.sleep(180);
        grant.started();
        grant.finish('answered');
      });
  };
  for (let step = 0; step < 100; step += 1) {
    for (let index = 0; index < 6; index += 1) send(first, 0);
    if (step % 2 === 0) send(second, 1);
    first.hear({ kind: 'router', name: 'r2' }, second.report());
    second.hear({ kind: 'router', name: 'r1' }, first.report());
    await clock.advance(100);
    first.tick();
    second.tick();
  }
  // The small team asks for less than its share, so all its requests should be served.
  assert.ok(served.small >= 45, JSON.stringify(served));
});

test('a team that has received more leaves the rest of a batch to one queued at another router', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock, 'r1', ['r1', 'r2']);
  router.applyServers([server('a')], false);
  const own = (): Request =>
    request(clock, { prompt: { model: 'm', parts: [], promptTokens: 0, outputLimit: 10 } });
  const first = await settled(clock, router.acquire(own(), never));
  assert.ok(first?.kind === 'server');
  const load = { unread: 0, requests: 50, memory: 0 };
  const heard = { loads: new Map([['a', load]]), waiting: new Map(), parts: [] };
  router.hear(
    { kind: 'router', name: 'r2' },
    { ...heard, teams: new Map(), least: new Map([['a', 0]]) },
  );
  const second = router.acquire(own(), never);
  assert.equal(await settled(clock, second), undefined);
  await clock.advance(20);
  router.hear({ kind: 'router', name: 'r2' }, { ...heard, teams: new Map(), least: new Map() });
  assert.equal((await settled(clock, second))?.kind, 'server');
});

test('servers count as free until their batch is nearly full or their prefill backlog is long', () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock);
  assert.equal(router.freeServerFraction(), 1);
  router.applyServers([server('a'), server('bb'), server('ccc'), server('dddd')], false);
  assert.equal(router.freeServerFraction(), 1);
  const loads = new Map([
    ['a', { unread: 0, requests: 60, memory: 0 }],
    ['bb', { unread: 20_000, requests: 1, memory: 0 }],
  ]);
  const heard = { loads, waiting: new Map(), teams: new Map(), least: new Map(), parts: [] };
  router.hear({ kind: 'router', name: 'r2' }, heard);
  assert.equal(router.freeServerFraction(), 0.5);
});

// Guards against long outputs with little time left, also at a server with room.
test('a response that took most of its time before gets no server when too little is left', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock);
  router.applyServers([server('a')], false);
  for (let index = 0; index < 20; index += 1) {
    const grant = await settled(clock, router.acquire(request(clock), never));
    assert.ok(grant?.kind === 'server');
    await clock.advance(300);
    grant.started();
    await clock.advance(5_000);
    grant.finish('answered');
  }
  const short = await settled(
    clock,
    router.acquire(request(clock, { deadline: clock.now() + 4_000 }), never),
  );
  assert.ok(short?.kind === 'refused' && short.reason === 'overload');
  // Guards against a route that is refused for ever by what its responses took once.
  const late = clock.now() + 5_100;
  await clock.advance(5_100);
  const again = request(clock, { deadline: late + 4_000, prompt: prompt('story', 'again') });
  assert.equal((await settled(clock, router.acquire(again, never)))?.kind, 'server');
  const enough = await settled(clock, router.acquire(request(clock), never));
  assert.equal(enough?.kind, 'server');
});

// Guards against LOST: a stream is broken off where its server fails later than its first event was due, though others are free.
test('a response that has begun is continued however old the request is', async () => {
  const clock = Clock.manual(20_000);
  const router = dispatcher(clock);
  router.applyServers([server('a'), server('b')], false);
  const begun = request(clock, {
    arrived: clock.now() - 8_000,
    deadline: clock.now() + 4_000,
    avoid: new Set(['a']),
    isContinuation: true,
    progressedAt: clock.now() - 1_300,
  });
  const grant = await settled(clock, router.acquire(begun, never));
  assert.ok(grant?.kind === 'server');
  assert.equal(grant.server.id, 'b');
});

// Guards against LOST: the end of a router for lack of memory, since each prompt names more new parts than reports carry.
test('new prompt parts wait for reports in a bounded queue, the first ones of a prompt before the others', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock);
  router.applyServers([server('a')], false);
  const partsOf = (name: string): Request['prompt'] => ({
    model: 'm',
    promptTokens: 1_000,
    outputLimit: 1,
    parts: Array.from({ length: 1_000 }, (_, index) => ({ id: `${name}-${index}`, tokens: 1 })),
  });
  for (let count = 0; count < 20; count += 1) {
    const prompt = partsOf(`p${count}`);
    const grant = await settled(clock, router.acquire(request(clock, { prompt }), never));
    assert.ok(grant?.kind === 'server');
    grant.started();
    grant.finish('answered');
  }
  const reported: string[] = [];
  for (let parts = router.report().parts; parts.length > 0; parts = router.report().parts)
    reported.push(...parts.map(({ part }) => part));
  assert.ok(reported.length <= 1_000, `${reported.length} parts wait`);
  assert.equal(reported[0], 'm/p0-0');
});

// Guards against a silent server that goes on getting requests since nothing takes over from it, and against a silence that counts twice.
test('the silence of a server counts as one failure, whether or not another one takes over', async () => {
  const clock = Clock.manual(20_000);
  const router = dispatcher(clock);
  const only = server('a');
  router.applyServers([only], false);
  const once = await settled(clock, router.acquire(request(clock), never));
  assert.ok(once?.kind === 'server');
  once.silent();
  const rate = router.serverHealth.failureRate(only);
  assert.ok(rate > 0);
  once.silent();
  once.finish('failed');
  assert.equal(router.serverHealth.failureRate(only), rate);
});

/** Servers to which a router sends `count` requests that all begin. */
async function serversOf(
  clock: ManualClock,
  router: Dispatcher,
  count: number,
): Promise<ReadonlySet<string>> {
  const ids = new Set<string>();
  for (let index = 0; index < count; index += 1) {
    const grant = await settled(clock, router.acquire(request(clock), never));
    assert.ok(grant?.kind === 'server');
    grant.started();
    ids.add(grant.server.id);
  }
  return ids;
}

// Guards against FAIR of issue 47: when many servers end at once, each router found out about each of them by requests of callers, which
// were tried at one ended server after the other.
test('a server that another router has found to have ended gets no requests until it registers again', async () => {
  const clock = Clock.manual(1_000);
  const servers = ['a', 'bb', 'ccc'].map((id) => server(id));
  const routers = ['r1', 'r2'];
  const first = dispatcher(clock, 'r1', routers);
  let probes = 0;
  const second = dispatcher(clock, 'r2', routers, {
    isRefused: (address) => {
      probes += 1;
      return Promise.resolve(address === servers[0]?.address);
    },
  });
  for (const router of [first, second]) router.applyServers(servers, false);
  const lost = await settled(clock, first.acquire(request(clock), never));
  assert.ok(lost?.kind === 'server' && lost.server.id === 'a');
  lost.finish('unreachable');
  const evidence = first.crashEvidence('own');
  const crashes = evidence.crashes.map((report) => ({ ...report, reporter: 'r3' }));
  second.hearCrashEvidence(evidence);
  second.hearCrashEvidence({ ...evidence, crashes });
  await clock.advance(0);
  assert.equal(probes, 1);
  assert.ok(!(await serversOf(clock, second, 6)).has('a'));
  await clock.advance(1_000);
  assert.ok(!(await serversOf(clock, second, 6)).has('a'), 'tried again');
  const others = servers.slice(1).map(({ id }) => server(id, { isLeaving: true }));
  second.applyServers([server('a', { born: 2 }), ...others], false);
  assert.ok((await serversOf(clock, second, 6)).has('a'), 'its next instance is not used');
});

// Guards against a router that is cut off from servers and has them dropped by all routers.
test('a server that another router cannot reach is used as long as it accepts connections', async () => {
  const clock = Clock.manual(1_000);
  const routers = ['r1', 'r2'];
  const first = dispatcher(clock, 'r1', routers);
  const second = dispatcher(clock, 'r2', routers, { isRefused: () => Promise.resolve(false) });
  for (const router of [first, second]) router.applyServers([server('a')], false);
  const lost = await settled(clock, first.acquire(request(clock), never));
  assert.ok(lost?.kind === 'server');
  lost.finish('unreachable');
  second.hearCrashEvidence(first.crashEvidence('own'));
  await clock.advance(0);
  assert.ok((await serversOf(clock, second, 1)).has('a'));
});
