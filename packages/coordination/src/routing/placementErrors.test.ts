// Guards against LOST: what is thrown while one request is placed ends the router, with the requests of all callers. The prompt
// states a fraction of a token, which the index of the prefix caches does not accept.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { Admission, type Job } from './admission.js';
import { Dispatcher, type Request } from './dispatcher.js';
import { desiredState, prompt, route, server } from './fixtures.test.js';
import { RouteTable } from './routeTable.js';
import { WorkTimer } from './workTimer.js';

const never = new AbortController().signal;

function start(clock: Clock): Dispatcher {
  const router = Dispatcher.create({
    clock,
    work: WorkTimer.create(clock),
    self: 'r1',
    dataCentre: 'suva',
    regionOf: { suva: 'viti-levu' },
    cold: { factor: 1.5, slack: 5 },
    repeats: { ratio: 0.2, slack: 54, window: 10_000 },
    routers: () => ['r1'],
    entrances: () => ['r1'],
  });
  router.apply(RouteTable.create(desiredState));
  router.applyServers([server('a')], false);
  return router;
}

function request(clock: Clock, sharedTokens: number): Request {
  return {
    route,
    service: 'model',
    team: desiredState.teams?.[0],
    prompt: prompt(`story-${sharedTokens}`, 'own', sharedTokens),
    arrived: clock.now(),
    deadline: clock.now() + 12_000,
    avoid: new Set(),
  };
}

test('a request whose placement throws is refused, and neither its server nor its team is charged', async () => {
  const clock = Clock.manual(1_000);
  const router = start(clock);
  const odd = await router.acquire(request(clock, 410.5), never);
  assert.ok(odd.kind === 'refused' && odd.reason === 'internal');
  assert.ok(odd.error instanceof TypeError);
  assert.equal(router.waiting, 0);
  const { loads, teams } = router.report();
  assert.deepEqual([loads.size, teams.size], [0, 0]);
});

test('a pass over the queue goes on behind a request whose placement throws', async () => {
  const clock = Clock.manual(1_000);
  const router = start(clock);
  const occupant = await router.acquire(request(clock, 30_000), never);
  assert.ok(occupant.kind === 'server');
  const odd = router.acquire(request(clock, 410.5), never);
  const proper = router.acquire(request(clock, 13_000), never);
  assert.equal(router.waiting, 2);
  await clock.advance(20);
  occupant.finish();
  assert.equal(router.waiting, 0);
  assert.equal((await odd).kind, 'refused');
  assert.equal((await proper).kind, 'server');
});

test('a pass that throws outside the placement of a request leaves the queue for the next one', async () => {
  const clock = Clock.manual(1_000);
  const errors: unknown[] = [];
  let fails = false;
  const admission = Admission.create(
    clock,
    WorkTimer.create(clock),
    {
      snapshot: () => {
        if (fails) throw new Error('no snapshot');
        return { place: () => ({ kind: 'none' }), received: () => 0, mostReceived: () => 0 };
      },
    },
    (error) => errors.push(error),
  );
  const now = clock.now();
  const job: Job = {
    service: 'model',
    team: 'large',
    priority: 1,
    arrived: now,
    targetTime: now + 800,
    firstEventDeadline: now + 4_000,
    deadline: now + 12_000,
    stopsAt: Infinity,
    duration: undefined,
    cost: 1,
    isContinuation: false,
    isReturn: false,
  };
  const result = admission.admit(job, never);
  fails = true;
  admission.placeQueued();
  assert.equal(errors.length, 1);
  assert.equal(admission.length, 1);
  fails = false;
  await clock.advance(500);
  admission.placeQueued();
  assert.deepEqual(await result, { kind: 'refused', reason: 'noServer', retryAfter: 1_000 });
});
