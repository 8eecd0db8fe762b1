// Keepers in a simulated fleet: takeovers, handovers, partitions, outages of the platform and pauses. Guards
// against servers without a keeper and against more requests in flight than the limit of a server.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FleetOptions } from './fleet.test.js';
import { Fleet, link } from './fleet.test.js';

test('every server gets one keeper, and its limit is used and not exceeded', async () => {
  const fleet = new Fleet();
  await fleet.run(5_000);
  let used = 0;
  for (let step = 0; step < 100; step += 1) {
    await fleet.run(100);
    for (const { name } of fleet.servers) {
      const [state] = fleet
        .keeperOf(name)
        .keepers.states()
        .filter((one) => one.server === name);
      used += state?.inFlight ?? 0;
    }
  }
  // The limit of 4 on 3 servers over 100 samples; 97 % is the target for utilisation.
  assert.ok(used >= 0.97 * 1_200, `${used} permits in use in total`);
  assert.equal(fleet.maxRunning(), 4);
});

/** Makes the keeper of the only server grant all its permits just before it hands the server over. */
async function handOver(fleet: Fleet): Promise<void> {
  const keeper = fleet.keeperOf('s1');
  void keeper.leave();
  await fleet.run(400);
  for (const node of fleet.nodes) void node.sendDemand();
  await fleet.run(6_000);
  assert.equal(fleet.fence('s1'), 2);
  assert.notEqual(fleet.keeperOf('s1').name, keeper.name);
  assert.ok(fleet.maxRunning() <= 4, `${fleet.maxRunning()} in flight`);
}

/** Permits of the first keeper are used late and for long, so that they overlap those of the second one. */
const slowFirst: Partial<FleetOptions> = {
  servers: 1,
  hasDemand: false,
  useDelay: ({ fence }) => (fence === 1 ? 950 : 0),
  runTime: ({ fence }) => (fence === 1 ? 4_000 : 200),
};

test('after a handover, granted permits that are not used yet count as in flight', async () => {
  const fleet = new Fleet(slowFirst);
  await fleet.run(8_000);
  await handOver(fleet);
  assert.ok(((await fleet.startedIn(3_000))[0] ?? 0) > 30);
});

for (const reportInterval of [100, 2_500]) {
  test(`a new keeper counts permits of an unreachable router, with load reports ${reportInterval} ms old`, async () => {
    const fleet = new Fleet({ ...slowFirst, reportInterval });
    await fleet.run(10_000);
    const [one = '', other = ''] = fleet.others(fleet.keeperOf('s1').name);
    fleet.cuts.add(link(one, other));
    await fleet.run(3_000);
    await handOver(fleet);
  });
}

test('a dead keeper is replaced with a higher fence, and its permits stay counted', async () => {
  const fleet = new Fleet();
  await fleet.run(8_000);
  const keeper = fleet.keeperOf('s1');
  const fence = fleet.fence('s1');
  keeper.kill();
  await fleet.run(10_000);
  assert.equal(fleet.fence('s1'), fence + 1);
  for (const started of await fleet.startedIn(5_000)) assert.ok(started > 15);
  assert.ok(fleet.maxRunning() <= 4);
});

test('a keeper that resumes after a pause finds its lease lapsed and grants nothing', async () => {
  const fleet = new Fleet();
  await fleet.run(8_000);
  const keeper = fleet.keeperOf('s1');
  keeper.pause();
  await fleet.run(12_000);
  fleet.cut([keeper.name]);
  fleet.isolate([keeper.name]);
  keeper.resume();
  const granted = keeper.metrics.of('keeper.grant');
  await fleet.run(5_000);
  assert.equal(keeper.metrics.of('keeper.grant'), granted);
  assert.ok(fleet.maxRunning() <= 4, `${fleet.maxRunning()} in flight`);
});

test('a router that returns from a partition does not use the rows it read before', async () => {
  const fleet = new Fleet();
  await fleet.run(8_000);
  const keeper = fleet.keeperOf('s1');
  fleet.cut([keeper.name]);
  fleet.isolate([keeper.name]);
  await fleet.run(12_000);
  fleet.table.paths.set(keeper.name, { kind: 'slow', delay: 300 });
  await fleet.run(10_000);
  assert.ok(fleet.maxRunning() <= 4, `${fleet.maxRunning()} in flight`);
});

test('a minority without the platform grants nothing for cold servers that the others took over', async () => {
  const fleet = new Fleet();
  await fleet.run(8_000);
  const [lone = ''] = fleet.others(fleet.keeperOf('s1').name);
  const minority = fleet.others(lone);
  fleet.cut(minority);
  fleet.isolate(minority);
  await fleet.run(15_000);
  for (const started of await fleet.startedIn(10_000))
    assert.ok(started > 30, 'served by the majority');
  assert.ok(fleet.maxRunning() <= 4, `${fleet.maxRunning()} in flight`);
});

test('in an outage, only the keeper with the highest fence serves a cold server, while all routers agree', async () => {
  const fleet = new Fleet();
  await fleet.run(8_000);
  const old = fleet.keeperOf('s1');
  fleet.cut([old.name]);
  fleet.isolate([old.name]);
  await fleet.run(10_000);
  fleet.isolate(fleet.nodes.map(({ name }) => name));
  fleet.cuts.clear();
  await fleet.run(8_000);
  assert.notEqual(fleet.keeperOf('s1').name, old.name);
  for (const started of await fleet.startedIn(10_000)) assert.ok(started > 30, 'served');
  assert.ok(fleet.maxRunning() <= 4, `${fleet.maxRunning()} in flight`);
});

test('a router that started during an outage leaves cold servers to the acting keepers', async () => {
  const fleet = new Fleet({ routers: 2 });
  await fleet.run(8_000);
  fleet.isolate(['r1', 'r2']);
  await fleet.run(5_000);
  fleet.start('r3');
  fleet.cut(['r3']);
  await fleet.run(15_000);
  assert.ok(fleet.maxRunning() <= 4, `${fleet.maxRunning()} in flight`);
  assert.ok(fleet.fence('s1') > 1, 'the row was taken');
  fleet.heal();
  await fleet.run(10_000);
  for (const started of await fleet.startedIn(5_000)) assert.ok(started > 15, 'served again');
  assert.ok(fleet.maxRunning() <= 4);
});

test('in an outage, a dead keeper of a warm server is replaced, with the same fence', async () => {
  const fleet = new Fleet({ outcome: 'used' });
  await fleet.run(20_000);
  fleet.isolate(fleet.nodes.map(({ name }) => name));
  await fleet.run(5_000);
  const fence = fleet.fence('s1');
  fleet.keeperOf('s1').kill();
  await fleet.run(8_000);
  const [state] = fleet
    .keeperOf('s1')
    .keepers.states()
    .filter(({ server }) => server === 's1');
  assert.deepEqual([state?.fence, state?.authority, state?.phase], [fence, 'acting', 'warm']);
  for (const started of await fleet.startedIn(5_000)) assert.ok(started > 40);
});

test('within 1 s after a warm server turns cold, the permits above its cold limit are revoked', async () => {
  let runTime = 100;
  const fleet = new Fleet({ outcome: 'used', servers: 1, warmLimit: 12, runTime: () => runTime });
  await fleet.run(15_000);
  runTime = 60_000;
  await fleet.run(3_000);
  const server = fleet.server('s1');
  assert.ok(server.running.size > 10, `${server.running.size} in flight`);
  server.boot += 1;
  await fleet.run(1_000);
  assert.ok(server.running.size <= 4, `${server.running.size} in flight`);
});

test('a leaving server gets no new requests after 3 s and is ramped up again if it stays', async () => {
  const leavings: readonly ((fleet: Fleet, leaving: boolean) => void)[] = [
    ({ vms }, leaving) => vms.set('vm-s1', leaving ? 'leaving' : 'live'),
    (fleet, leaving) => {
      fleet.server('s1').leaving = leaving;
    },
    (fleet, leaving) => {
      const drain = { dataCentres: [], vms: leaving ? ['vm-s1'] : [] };
      fleet.catalogue = { ...fleet.catalogue, drain };
    },
  ];
  for (const leave of leavings) {
    const fleet = new Fleet({ servers: 2, runTime: () => 200 });
    await fleet.run(8_000);
    leave(fleet, true);
    await fleet.run(3_000);
    const [left, stayed] = await fleet.startedIn(3_000);
    assert.equal(left, 0);
    assert.ok((stayed ?? 0) > 25, `${stayed ?? 0} requests`);
    leave(fleet, false);
    await fleet.run(3_000);
    assert.ok(((await fleet.startedIn(3_000))[0] ?? 0) > 25);
  }
});

test('recovery after an outage of 20 minutes stays within the request budget of the table', async () => {
  const fleet = new Fleet({ routers: 8, servers: 4, hasDemand: false, heartbeatInterval: 1_000 });
  const reads = (): number =>
    fleet.nodes.reduce((sum, { metrics }) => sum + metrics.of('table.read'), 0);
  await fleet.run(10_000);
  fleet.isolate(fleet.nodes.map(({ name }) => name));
  await fleet.clock.advance(20 * 60_000);
  const [written, read] = [fleet.table.writes.length, reads()];
  fleet.heal();
  await fleet.run(10_000);
  const times = fleet.table.writes.slice(written);
  const densest = Math.max(
    ...times.map((at) => times.filter((t) => t >= at && t < at + 1_000).length),
  );
  // 8 renewals per second and nothing else: every keeper keeps its servers.
  assert.ok(densest <= 16, `${densest} writes in a second`);
  assert.ok(reads() - read < 10 * 8 * 4, `${reads() - read} reads in 10 s`);
  for (const { name } of fleet.servers) assert.equal(fleet.fence(name), 1);
});

type Fault = (fleet: Fleet, victim: string, other: string) => void;

/** Faults that may happen at any moment; `heal` undoes those that last. */
const faults: readonly Fault[] = [
  ({ table }, victim) => table.paths.set(victim, { kind: 'down' }),
  ({ table }, victim) => table.paths.set(victim, { kind: 'silent', writes: true }),
  ({ table }, victim) => table.paths.set(victim, { kind: 'slow', delay: 700 }),
  (fleet) => {
    fleet.isolate(fleet.nodes.map(({ name }) => name));
  },
  ({ cuts }, victim, other) => cuts.add(link(victim, other)),
  (fleet, victim) => {
    fleet.cut([victim]);
  },
  (fleet, victim) => {
    if (!fleet.node(victim).process.isPaused) fleet.node(victim).pause();
  },
  (fleet, victim) => {
    fleet.restart(victim, Math.floor(fleet.clock.now()));
  },
  ({ servers, random }) => servers[Math.floor(random() * servers.length)]?.restart(),
];

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`no cold server exceeds its limit with any combination of faults, seed ${seed}`, async () => {
    const fleet = new Fleet({ routers: 4, seed, loss: 0.01 });
    await fleet.run(8_000);
    const pick = <T>(values: readonly T[]): T =>
      values[Math.floor(fleet.random() * values.length)] ?? assert.fail('nothing to pick');
    for (let round = 0; round < 40; round += 1) {
      const [victim, other] = [pick(fleet.nodes).name, pick(fleet.nodes).name];
      pick(faults)(fleet, victim, other);
      await fleet.run(200 + Math.floor(fleet.random() * 4_000));
      if (fleet.random() < 0.4) fleet.heal();
      assert.ok(fleet.maxRunning() <= 4, `round ${round}: ${fleet.maxRunning()} in flight`);
    }
    fleet.heal();
    await fleet.run(15_000);
    for (const started of await fleet.startedIn(10_000)) assert.ok(started > 30, 'served again');
    assert.ok(fleet.maxRunning() <= 4);
    const violations = fleet.nodes.map(({ metrics }) => metrics.of('invariant.violation'));
    assert.deepEqual(new Set(violations), new Set([0]));
  });
}

// Guards against permits for a service that has lost the server, and none for the one that has got it.
test('a server that the catalogue moves to another service is kept for that one', async () => {
  const fleet = new Fleet({ servers: 1, hasDemand: false });
  await fleet.run(8_000);
  const { app } = fleet.catalogue.services;
  const { s1 } = fleet.catalogue.servers;
  assert.ok(app !== undefined && s1 !== undefined);
  fleet.catalogue = {
    ...fleet.catalogue,
    revision: 2,
    services: { app, next: app },
    servers: { s1: { ...s1, service: 'next', address: 'elsewhere' } },
  };
  fleet.server('s1').restart();
  await fleet.run(5_000);
  const services = fleet.nodes.flatMap(({ keepers }) => keepers.states().map((one) => one.service));
  assert.deepEqual(services, ['next']);
  assert.equal(fleet.keepersOf('s1').length, 1);
});
