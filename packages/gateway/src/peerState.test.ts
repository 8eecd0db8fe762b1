// Load pattern: the registrations of many servers change within a second, and each change is told by all routers of a data centre.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import {
  Dispatcher,
  Members,
  WorkTimer,
  type DispatcherOptions,
} from '@catkinwheel/coordination/routing';
import { Clock } from '@catkinwheel/state';
import { Faults } from './faults.js';
import { Log } from './log.js';
import { Metrics } from './metrics.js';
import { PeerState } from './peerState.js';
import { StoreReplica, tableNames } from './storeReplica.js';

/** Other routers of a data centre. */
const peerCount = 15;

/** A router's copy of the tables, and routers beside it that answer with version `version` of them unless they are `silent`; they name no eras if `era` is left out. */
async function fleet(t: TestContext, version: number, silent: number, era?: number) {
  const clock = Clock.system();
  const log = Log.create(clock, 'own', 'boot');
  const faults = Faults.create(log, Metrics.create());
  const members = Members.create(clock, 'own', 1);
  const options: DispatcherOptions = {
    clock,
    work: WorkTimer.create(clock),
    self: 'own',
    dataCentre: 'suva',
    regionOf: {},
    cold: { factor: 1.5, slack: 5 },
    repeats: { ratio: 0.2, slack: 54, window: 10_000 },
    routers: () => members.names(),
    entrances: () => members.entryRouters(),
  };
  const dispatcher = Dispatcher.create(options);
  const storeReplica = StoreReplica.create(clock, dispatcher, log, faults);
  const peerState = PeerState.create({
    clock,
    dispatcher,
    storeReplica,
    members,
    log,
    router: 'own',
    ip: '127.0.0.1',
    capacity: 1,
  });
  let requests = 0;
  const revision = { era: era ?? 0, version };
  const changes = { era, version, rows: [] };
  const state = { operators: changes, servers: changes, routers: [], parts: [] };
  const addresses: string[] = [];
  for (let index = 0; index < peerCount; index += 1) {
    const server = createServer((_, response) => {
      requests += 1;
      if (index >= silent) response.end(JSON.stringify(state));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    t.after(() => {
      server.closeAllConnections();
      server.close();
    });
  }
  const hear = (): Promise<unknown> =>
    Promise.all(
      addresses.map((address) =>
        peerState.fetchNewer(address, { operators: revision, servers: revision }),
      ),
    );
  return { hear, storeReplica, requests: () => requests };
}

// Guards against FAIR of issue 42: each router asked all others for each change, which took the processor time of small VMs.
test('a change that all routers tell of is fetched from one of them', async (t) => {
  const { hear, storeReplica, requests } = await fleet(t, 7, 0);
  await hear();
  assert.equal(storeReplica.revision('servers').version, 7);
  await hear();
  assert.ok(requests() <= 2, `${requests()} requests`);
});

// Guards against a change that is missed since the router that was asked for it does not answer.
test('a change is fetched from another router if the one that was asked is silent', async (t) => {
  const { hear, storeReplica, requests } = await fleet(t, 7, peerCount - 1);
  const deadline = performance.now() + 5_000;
  while (storeReplica.revision('servers').version < 7 && performance.now() < deadline) {
    void hear();
    await pause(50);
  }
  assert.equal(storeReplica.revision('servers').version, 7);
  assert.ok(requests() <= peerCount, `${requests()} requests`);
});

// Guards against a router that cannot reach the store and keeps the rows that it has lost, since versions are lower after its return.
test('tables of a later era are fetched and replace those of this router, though their version is lower', async (t) => {
  const { hear, storeReplica } = await fleet(t, 7, 0, 2);
  const before = { revision: { era: 1, version: 100 }, rows: [] };
  for (const table of tableNames) storeReplica.replace(table, before, 'store');
  await hear();
  assert.deepEqual(storeReplica.revision('servers'), { era: 2, version: 7 });
});

// Guards against a router that goes back to the tables of a store before its return, which another router still has.
test('tables of an earlier era are not fetched, though their version is higher', async (t) => {
  const { hear, storeReplica, requests } = await fleet(t, 100, 0, 1);
  const now = { revision: { era: 2, version: 7 }, rows: [] };
  for (const table of tableNames) storeReplica.replace(table, now, 'store');
  await hear();
  assert.equal(requests(), 0);
});
