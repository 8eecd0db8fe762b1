// Load pattern: a server starts again under its id at another address while requests are in flight at its former instance,
// some of which still end well there.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type ManualClock } from '@catkinwheel/state';
import { Dispatcher, type Grant } from './dispatcher.js';
import { desiredState, prompt, route, server } from './fixtures.test.js';
import { RouteTable } from './routeTable.js';
import { WorkTimer } from './workTimer.js';

const former = server('a', { address: '10.0.0.1:81' });
const present = server('a', { born: 2, address: '10.0.0.1:82' });
const never = new AbortController().signal;

function dispatcher(clock: Clock, onServer: () => void = () => undefined): Dispatcher {
  const created = Dispatcher.create({
    clock,
    work: WorkTimer.create(clock),
    self: 'r1',
    dataCentre: 'suva',
    regionOf: { suva: 'viti-levu' },
    cold: { factor: 1.5, slack: 5 },
    repeats: { ratio: 0.2, slack: 54, window: 10_000 },
    routers: () => ['r1'],
    entrances: () => ['r1'],
    onServer,
  });
  created.apply(RouteTable.create(desiredState));
  return created;
}

async function grantOf(clock: ManualClock, router: Dispatcher, part = 'story'): Promise<Grant> {
  const [team] = desiredState.teams ?? [];
  const arrived = clock.now();
  const times = { arrived, deadline: arrived + 12_000 };
  const request = { route, service: 'model', team, prompt: prompt(part, 'own'), ...times };
  const granted = router.acquire({ ...request, avoid: new Set() }, never);
  const grant = await Promise.race([granted, clock.advance(0).then(() => undefined)]);
  assert.ok(grant?.kind === 'server', 'the request gets no server at once');
  grant.started();
  return grant;
}

// Guards against requests that are placed by the load of a process that has ended, and against loads below zero.
test('requests at the former instance neither charge nor free the present one', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock);
  router.applyServers([former], false);
  const before = [await grantOf(clock, router), await grantOf(clock, router)];
  assert.equal(router.report().loads.get('a')?.requests, 2);
  router.applyServers([present], false);
  assert.equal(router.report().loads.get('a'), undefined);
  const after = await grantOf(clock, router);
  assert.equal(after.server.address, present.address);
  for (const grant of before) grant.finish('disconnected');
  assert.equal(router.report().loads.get('a')?.requests, 1);
  after.finish('answered');
  assert.equal(router.report().loads.get('a'), undefined);
});

// Guards against a pause, a hold-off or a departure of the present instance for what became of the former one.
for (const [name, at] of [
  ['the present one', present],
  ['one of unknown start', { ...present, born: undefined }],
] as const) {
  test(`what becomes of requests at the former instance does not count against ${name}`, async () => {
    const clock = Clock.manual(1_000);
    let changes = 0;
    const router = dispatcher(clock, () => {
      changes += 1;
    });
    router.applyServers([former], false);
    const before = [];
    for (let count = 0; count < 8; count += 1) before.push(await grantOf(clock, router));
    router.applyServers([at], false);
    for (const grant of before) grant.finish('disconnected');
    for (const grant of before) grant.finish('unreachable');
    assert.ok(!router.recordHoldOff(former, 3_000));
    assert.ok(!router.recordLeaving(former));
    assert.equal(changes, 0);
    assert.equal(router.serverHealth.failureRate(at), 0);
    assert.equal((await grantOf(clock, router)).server.address, at.address);
  });
}

// Guards against prompts that are sent to a server for parts that only its former instance had cached.
test('parts that the former instance had cached are neither used nor reported', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock);
  router.applyServers([former], false);
  (await grantOf(clock, router)).finish('answered');
  const parts = router.report().parts;
  (await grantOf(clock, router, 'other')).finish('answered');
  router.hear({ kind: 'router', name: 'r2' }, { ...router.report(), parts });
  (await grantOf(clock, router, 'third')).finish('answered');
  router.applyServers([present], false);
  assert.deepEqual(router.report().parts, []);
  assert.deepEqual(router.summary().parts, []);
  assert.deepEqual(router.cachedParts(), []);
});

// Guards against an idle server that looks busy, since other routers reported what they had sent to its former instance.
test('loads that other routers reported before the restart do not count', async () => {
  const clock = Clock.manual(1_000);
  const router = dispatcher(clock);
  router.applyServers([former], false);
  const load = { unread: 400_000, requests: 64, memory: 0 };
  const loads = new Map([['a', load]]);
  const report = { loads, teams: new Map(), waiting: loads, least: new Map(), parts: [] };
  router.hear({ kind: 'router', name: 'r2' }, report);
  router.applyServers([present], false);
  assert.equal((await grantOf(clock, router)).server.address, present.address);
});
