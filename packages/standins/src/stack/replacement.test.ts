// What becomes of a stream when its server falls silent and goes on, while the server that is to take over fails, or the retry
// budget is used up for a time.

import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { Settings } from '@catkinwheel/platform';
import { call, type CallResult } from './caller.js';
import { StackFleet, desiredStateOf, fleetBounds, modelFields, names } from './fleet.js';
import { streamLength } from './server.js';

const timeLimit = 10_000;
const eventPause = 300;
/** Longer than the router waits for bytes before it looks for another server, shorter than callers wait: 2 s. */
const silence = { after: 3, duration: 1_700 };
const { routes } = desiredStateOf(1) as { readonly routes: readonly object[] };
const patientRoutes = routes.map((route) => ({ ...route, timeoutMs: timeLimit }));

async function start(t: TestContext, changes: Partial<Settings['bounds']>): Promise<StackFleet> {
  const fleet = await StackFleet.start();
  t.after(() => fleet.close());
  fleet.store.put('op', 'config', desiredStateOf(2, { routes: patientRoutes }));
  await fleet.addRouter({ bounds: { ...fleetBounds, ...changes } });
  await fleet.ready();
  for (const server of fleet.models) {
    server.eventPause = eventPause;
    server.silence = silence;
  }
  return fleet;
}

function stream(fleet: StackFleet, id: string): Promise<CallResult> {
  const address = fleet.routers[0]?.settings.listen.callers ?? '';
  const own = { address, host: names.host, id, key: names.key, timeLeft: timeLimit };
  return call({ ...own, path: '/letters/1', method: 'POST', body: '{}', headers: modelFields });
}

function assertWhole({ isWhole, body }: CallResult): void {
  assert.ok(isWhole && body.includes(`id: ${streamLength}\n`), JSON.stringify(body.slice(-20)));
}

for (const how of ['refuses', 'resets'] as const)
  // Guards against LOST: a server that is given up for one that then does not take over.
  test(`a stream whose server pauses is whole though the other server ${how}`, async (t) => {
    const fleet = await start(t, {});
    const running = stream(fleet, 'a');
    await pause(eventPause);
    const other = fleet.models.find(({ seen }) => seen.length === 0);
    assert.ok(other !== undefined);
    other.behaviours = [how, how, how];
    assertWhole(await running);
  });

// Guards against a retry that is refused for a lack of budget that is over.
test('a stream whose server paused without retry budget is continued once there is budget', async (t) => {
  const fleet = await start(t, { retryRatio: 1, retrySlack: 0 });
  const running = stream(fleet, 'a');
  await pause(silence.after * eventPause + 1_500);
  const first = fleet.models.find(({ seen }) => seen.length > 0);
  assert.ok(first !== undefined);
  for (const server of fleet.models) server.silence = undefined;
  const others = Array.from({ length: 40 }, (_, index) => stream(fleet, `other-${index}`));
  await pause(500);
  first.dropConnections();
  assertWhole(await running);
  await Promise.all(others);
});
