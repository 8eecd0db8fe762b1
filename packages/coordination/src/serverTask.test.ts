import type { Order } from '@catkinwheel/protocol';
import type { Catalogue, FencingToken, Milliseconds } from '@catkinwheel/state';
import { Clock, emptyCatalogue } from '@catkinwheel/state';
import { okAsync } from 'neverthrow';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FakeMembers,
  FakeMetrics,
  FakeTable,
  eventLog,
  relayOf,
  router,
  seededRandom,
} from './fakes.test.js';
import { Keepers } from './keepers.js';
import { Session } from './session.js';

interface Given {
  readonly order: Order;
  readonly at: Milliseconds;
}

/** Runs one router alone with a model engine that has not loaded its model. */
async function ordersIn(checksFence: boolean, duration: Milliseconds): Promise<readonly Given[]> {
  const clock = Clock.manual();
  const table = new FakeTable(clock);
  const self = router('r1');
  const common = {
    self,
    clock,
    members: new FakeMembers(self),
    metrics: new FakeMetrics(),
    eventLog,
    random: seededRandom(1),
  };
  const service = { kind: 'model', model: 'm', coldLimit: 2, warmLimit: 4 } as const;
  const engine = { service: 'chat', address: 'e1', vm: 'v', dataCentre: 'd', checksFence };
  const catalogue: Catalogue = {
    ...emptyCatalogue,
    services: { chat: service },
    servers: { e1: engine },
  };
  const session = Session.create({ ...common, table: table.path('r1'), relay: relayOf(table) });
  const given: Given[] = [];
  const load = { boot: 'b', running: 0, waiting: 0, leaving: false, models: ['other'], age: 0 };
  const keepers = Keepers.create({
    ...common,
    session,
    table: session.table(),
    vmList: { vms: () => okAsync([]) },
    outbox: { send: () => undefined },
    catalogue: { current: () => catalogue },
    control: {
      load: () => okAsync(load),
      order: (_address, order) => {
        given.push({ order, at: clock.now() });
        return okAsync(undefined);
      },
    },
  });
  const stop = new AbortController();
  void session.run(stop.signal);
  void keepers.run(stop.signal);
  await clock.advance(duration);
  table.paths.set('r1', { kind: 'down' });
  await clock.advance(20_000);
  stop.abort();
  return given;
}

test('orders carry the fence, are not repeated within 5 s and end with the lease', async () => {
  const given = await ordersIn(true, 13_000);
  const fences: readonly FencingToken[] = given.map(({ order }) => order.fence);
  assert.deepEqual(fences, [1, 1, 1]);
  const [first, second] = given;
  assert.ok((first?.at ?? Infinity) < 3_000);
  assert.ok((second?.at ?? 0) - (first?.at ?? 0) >= 5_000);
});

test('a server that ignores fences gets its first order after those of the old keeper', async () => {
  const [first] = await ordersIn(false, 13_000);
  assert.ok(first !== undefined && first.at >= 9_000, `ordered at ${first?.at ?? 0}`);
});
