// Orders to load a model. Guards against orders that are repeated too fast, that outlive the lease, or that
// an old keeper's order may follow on a server that does not check fences.

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

interface SentOrder {
  readonly order: Order;
  readonly at: Milliseconds;
}

/** Runs a single router with an engine that has not loaded its model; returns the orders. */
async function ordersWithin(
  checksFence: boolean,
  duration: Milliseconds,
): Promise<readonly SentOrder[]> {
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
  const sentOrders: SentOrder[] = [];
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
        sentOrders.push({ order, at: clock.now() });
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
  return sentOrders;
}

test('orders carry the fence, are not repeated within 5 s and stop with the lease', async () => {
  const sentOrders = await ordersWithin(true, 13_000);
  const fences: readonly FencingToken[] = sentOrders.map(({ order }) => order.fence);
  assert.deepEqual(fences, [1, 1, 1]);
  const [first, second] = sentOrders;
  assert.ok((first?.at ?? Infinity) < 3_000);
  assert.ok((second?.at ?? 0) - (first?.at ?? 0) >= 5_000);
});

test('a server that does not check fences gets its first order after any of the old keeper', async () => {
  const [first] = await ordersWithin(false, 13_000);
  assert.ok(first !== undefined && first.at >= 9_000, `ordered at ${first?.at ?? 0}`);
});
