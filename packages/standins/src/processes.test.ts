import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { counted } from './control.js';
import { Fleet } from './fleet.js';
import { Load } from './load.js';
import { magnitude, randomFrom } from './random.js';
import type { FleetSpec } from './spec.js';

// Real processes: three routers, two model engines and the platform, with streams under way.

const clock = Clock.system();
const finishWithin: Milliseconds = 30_000;

const spec: FleetSpec = {
  dataCentres: ['suva', 'nadi'],
  routers: 3,
  services: [
    { kind: 'model', name: 'letters', servers: 2, settings: { cold: 4, warm: 8, rate: 100 } },
  ],
  teams: [
    {
      name: 'readers',
      weight: 1,
      entries: {
        'readers-work': {
          service: 'letters',
          class: 'interactive',
          idempotent: true,
          maxWait: 30_000,
          maxRun: 60_000,
        },
      },
    },
  ],
  policy: 'fair',
  relays: false,
};

async function underLoad(t: TestContext): Promise<{ fleet: Fleet; load: Load }> {
  const fleet = await Fleet.start(spec);
  t.after(() => fleet.end());
  const load = Load.start(
    [
      {
        team: 'readers',
        weight: 1,
        entry: 'readers-work',
        kind: 'stream',
        mode: { kind: 'closed', open: 24 },
        reach: () => fleet.callerAddresses(),
        size: (random) => ({ prompt: 10, amount: magnitude(random, 20, 300), hint: 300 }),
      },
    ],
    randomFrom(1),
  );
  await clock.sleep(4_000);
  return { fleet, load };
}

/** What must hold after every test: whole answers, no overload, no violated invariant. */
async function assertSound(fleet: Fleet, load: Load): Promise<void> {
  assert.equal(load.totals.broken, 0, [...(load.records[0]?.reasons ?? [])].join(' '));
  assert.equal(load.unfinished, 0);
  assert.deepEqual(fleet.overloads, []);
  for (const router of fleet.routers) {
    if (!router.child.isRunning) continue;
    assert.equal(counted(await fleet.metrics(router), 'invariant.violation'), 0);
  }
}

test('a planned stop cuts no request: streams end whole and the router exits with 0', async (t) => {
  const { fleet, load } = await underLoad(t);
  const [first] = fleet.routers;
  assert.equal(await first?.child.stop(), 0);
  await load.finish(finishWithin);
  assert.equal(load.totals.mayHaveRun, 0);
  assert.ok(load.totals.answered > 0);
  await assertSound(fleet, load);
});

// Guards against a second signal that cuts the requests that the first one lets end.
test('signals that come again during a planned stop cut no request', async (t) => {
  const { fleet, load } = await underLoad(t);
  const [first] = fleet.routers;
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGTERM'] as const) {
    first?.child.signal(signal);
    await clock.sleep(300);
  }
  await load.finish(finishWithin);
  assert.equal(await first?.child.exited, 0);
  assert.equal(load.totals.mayHaveRun, 0);
  await assertSound(fleet, load);
});

// Guards against a log that ends the process when its reader is gone.
test('a router whose log is read no longer goes on and stops with 0', async (t) => {
  const { fleet, load } = await underLoad(t);
  const [first] = fleet.routers;
  first?.child.closeOutput();
  // Each signal makes the router write a line.
  for (let count = 0; count < 3; count += 1) {
    first?.child.signal('SIGHUP');
    await clock.sleep(500);
  }
  // The gauge is set once per second.
  await clock.sleep(1_200);
  const isRunning = first?.child.isRunning;
  const metrics = first && isRunning ? await fleet.metrics(first) : undefined;
  const exited = first?.child.stop();
  await load.finish(finishWithin);
  assert.equal(isRunning, true);
  const lost = metrics?.gauges['log.linesLost'] ?? 0;
  assert.ok(lost >= 3, `${lost} lines lost`);
  assert.equal(await exited, 0);
  await assertSound(fleet, load);
});

test('service goes on while the platform is down for longer than every lease', async (t) => {
  const { fleet, load } = await underLoad(t);
  await fleet.faults({ outage: 'refuse' });
  await clock.sleep(6_000);
  const before = load.totals.answered;
  await clock.sleep(3_000);
  const during = load.totals.answered - before;
  await fleet.faults({ outage: 'none' });
  await load.finish(finishWithin);
  assert.ok(during > 0, 'answers come 6 s after every lease lapsed');
  assert.equal(load.totals.notRun, 0);
  await assertSound(fleet, load);
});

test('a router frozen for longer than its lease does no harm when it goes on', async (t) => {
  const { fleet, load } = await underLoad(t);
  const [first] = fleet.routers;
  first?.child.freeze();
  await clock.sleep(5_000);
  first?.child.thaw();
  await clock.sleep(2_000);
  await load.finish(finishWithin);
  await assertSound(fleet, load);
});
