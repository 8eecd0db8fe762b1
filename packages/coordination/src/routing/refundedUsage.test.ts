// Load pattern: servers stop answering while many requests are on their way to them. What no server has run must not count
// as service of the team that asked for it.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type ManualClock } from '@catkinwheel/state';
import { Dispatcher, type Grant, type Request } from './dispatcher.js';
import { desiredState, prompt, route, server } from './fixtures.test.js';
import { RouteTable } from './routeTable.js';
import type { ServerOutcome } from './serverHealth.js';
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
  router.applyServers([server('sound'), server('dark')], false);
  return router;
}

/** A request that can only go to the server. */
function requestTo(
  id: 'sound' | 'dark',
  clock: Clock,
  team: string | undefined,
  tokens: number,
): Request {
  return {
    route,
    service: 'model',
    team: desiredState.teams?.find(({ name }) => name === team),
    prompt: prompt(`story-${team ?? ''}-${tokens}`, 'own', tokens),
    arrived: clock.now(),
    deadline: clock.now() + 12_000,
    avoid: new Set([id === 'sound' ? 'dark' : 'sound']),
  };
}

async function granted(router: Dispatcher, request: Request): Promise<Grant> {
  const grant = await router.acquire(request, never);
  assert.ok(grant.kind === 'server', JSON.stringify(grant));
  return grant;
}

/** Teams in the order in which they get the only server once it has room; both have asked for it by then. */
async function orderOf(router: Dispatcher, clock: ManualClock): Promise<readonly string[]> {
  const occupant = await granted(router, requestTo('sound', clock, undefined, 30_000));
  const order: string[] = [];
  for (const team of ['small', 'large']) {
    void router.acquire(requestTo('sound', clock, team, 13_000), never).then(async (grant) => {
      order.push(team);
      if (grant.kind !== 'server') return;
      await clock.sleep(100);
      grant.started();
      grant.finish('answered');
    });
  }
  await clock.advance(20);
  assert.deepEqual(order, [], 'the server has no room yet');
  occupant.started();
  occupant.finish('answered');
  for (let step = 0; step < 20; step += 1) {
    await clock.advance(20);
    router.tick();
  }
  return order;
}

/** Ends of requests before their first event; no result if the caller left or its time was up. */
const unserved: readonly (ServerOutcome | undefined)[] = [
  'unreachable',
  'refused',
  'misdirected',
  undefined,
];
for (const result of unserved) {
  // Guards against a team that waits behind others for tokens that it never got.
  test(`a request that ends before its first event (${result ?? 'given up'}) does not put its team behind`, async () => {
    const clock = Clock.manual(1_000);
    const router = start(clock);
    const lost = await granted(router, requestTo('dark', clock, 'large', 26_000));
    lost.finish(result);
    const served = await granted(router, requestTo('sound', clock, 'small', 13_000));
    served.started();
    served.finish('answered');
    await clock.advance(20);
    assert.deepEqual(await orderOf(router, clock), ['large', 'small']);
  });
}

// Shows that the order in the tests above comes from what was counted.
test('a team that was served less goes first', async () => {
  const clock = Clock.manual(1_000);
  const router = start(clock);
  const served = await granted(router, requestTo('sound', clock, 'small', 13_000));
  served.started();
  served.finish('answered');
  await clock.advance(20);
  assert.deepEqual(await orderOf(router, clock), ['large', 'small']);
});
