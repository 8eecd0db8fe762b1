// Servers that say in their responses that they are leaving while the store says nothing of it, late, or something else.

import assert from 'node:assert/strict';
import { after, afterEach, before, beforeEach, describe, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { HeadBehaviour } from './behaviour.js';
import { call, type CallResult } from './caller.js';
import { StackFleet, modelFields, names } from './fleet.js';
import type { StackServer } from './server.js';

/** `drainTimeoutMs` of the published deployments. */
const drainTimeout = 2_000;
/** A third of the time that callers have. */
const longestRefusal = 1_000;
/** Requests sent to a router in the hope that each server gets some. */
const burst = 12;
/** Requests within which each server must have got one. */
const maxTries = 100;

const routes = {
  read: { path: '/reads/1', method: 'GET' },
  letter: { path: '/letters/1', method: 'POST', body: '{"prompt":"…"}', headers: modelFields },
} as const;
type RouteName = keyof typeof routes;

let fleet: StackFleet;
let sent = 0;

/** Sends a request to the router at `index`. */
function send(route: RouteName, index = 0): Promise<CallResult> {
  sent += 1;
  return call({
    address: fleet.routers[index]?.settings.listen.callers ?? '',
    host: names.host,
    id: `leaving-${sent}`,
    key: names.key,
    ...routes[route],
  });
}

function sendBurst(route: RouteName, index = 0): Promise<readonly CallResult[]> {
  return Promise.all(Array.from({ length: burst }, () => send(route, index)));
}

function first(servers: readonly StackServer[]): StackServer {
  const [server] = servers;
  assert.ok(server !== undefined);
  return server;
}

/** Sends requests in pairs, so that one server does not get all of them, until one reaches the server. */
async function meet(server: StackServer, route: RouteName): Promise<void> {
  const from = server.seen.length;
  for (let tries = 0; server.seen.length === from; tries += 1) {
    assert.ok(tries < maxTries, 'the server gets no requests to begin with');
    await Promise.all([send(route), send(route)]);
  }
}

/** Ids of the requests that reach the server while `action` runs. */
async function reaching(
  server: StackServer,
  action: () => Promise<unknown>,
): Promise<readonly string[]> {
  const from = server.seen.length;
  await action();
  return server.seen.slice(from).map(({ id }) => id);
}

describe('a server that says that it is leaving', () => {
  before(async () => {
    fleet = await StackFleet.start();
    await fleet.addRouter();
    await fleet.addRouter();
    await fleet.ready(0);
    await fleet.ready(1);
  });

  after(() => fleet.close());

  // Each test begins with new instances, since an instance that leaves does not come back.
  let born = 1;
  beforeEach(async () => {
    born += 1;
    for (const server of fleet.models) fleet.register(server, names.model, { born });
    for (const server of fleet.desks) fleet.register(server, names.desk, { born });
    await pause(300);
  });

  afterEach(() => {
    fleet.store.mode = 'well';
    for (const server of [...fleet.models, ...fleet.desks]) {
      server.isLeaving = false;
      server.behaviours = [];
    }
  });

  const cases: readonly (readonly [RouteName, HeadBehaviour])[] = [
    ['read', 'answers'],
    ['read', 'errors'],
    ['read', 'refuses'],
    ['letter', 'answers'],
    ['letter', 'errors'],
    ['letter', 'refuses'],
  ];
  for (const [route, behaviour] of cases) {
    // Guards against DRAIN: a router that reads the store only sends requests to a server that leaves.
    test(`gets no ${route} after the drain time, though the store says ready (it ${behaviour})`, async () => {
      const server = first(route === 'read' ? fleet.desks : fleet.models);
      server.isLeaving = true;
      server.behaviours = [behaviour];
      await meet(server, route);
      await pause(drainTimeout);
      assert.deepEqual(await reaching(server, () => sendBurst(route)), []);
    });
  }

  // Guards against DRAIN where the registration and the store's silence hide that a server leaves.
  test('gets none while the store is away', async () => {
    const server = first(fleet.desks);
    fleet.store.mode = 'silent';
    server.isLeaving = true;
    await meet(server, 'read');
    await pause(drainTimeout);
    assert.deepEqual(await reaching(server, () => sendBurst('read')), []);
  });

  // Guards against DRAIN by a row that is older than the news: heartbeats may be written late.
  test('gets none after a further registration that says ready', async () => {
    const server = first(fleet.desks);
    server.isLeaving = true;
    await meet(server, 'read');
    fleet.register(server, names.desk, { born, sequence: 7 });
    await pause(drainTimeout);
    assert.deepEqual(await reaching(server, () => sendBurst('read')), []);
  });

  // Guards against DRAIN by a registration that lapses while the store is away and comes back.
  test('gets none after its registration was removed and written again', async () => {
    const server = first(fleet.desks);
    server.isLeaving = true;
    await meet(server, 'read');
    fleet.store.remove('servers', server.id);
    await pause(300);
    fleet.register(server, names.desk, { born });
    await pause(drainTimeout);
    assert.deepEqual(await reaching(server, () => sendBurst('read')), []);
  });

  // Guards against each router having to meet the server itself before it stops.
  test('gets none from a router that learns of it from another one', async () => {
    const server = first(fleet.desks);
    server.isLeaving = true;
    await meet(server, 'read');
    await pause(drainTimeout);
    assert.deepEqual(await reaching(server, () => sendBurst('read', 1)), []);
  });

  // Guards against a remedy that holds for an id or an address instead of an instance.
  test('is sent requests again as soon as a new instance is registered under its id', async () => {
    const server = first(fleet.desks);
    server.isLeaving = true;
    await meet(server, 'read');
    server.isLeaving = false;
    born += 1;
    fleet.register(server, names.desk, { born });
    await pause(300);
    assert.notDeepEqual(await reaching(server, () => sendBurst('read')), []);
  });

  // Guards against requests that wait for a server that will not come back.
  test('as the last of its service makes the router refuse long before the deadline', async () => {
    for (const server of fleet.desks) {
      server.isLeaving = true;
      await meet(server, 'read');
    }
    await pause(drainTimeout);
    const started = performance.now();
    const answers = await sendBurst('read');
    const took = performance.now() - started;
    assert.ok(took < longestRefusal, `refused after ${took} ms`);
    for (const { status, headers } of answers) {
      assert.equal(status, 503);
      assert.ok(Number(headers['retry-after']) > 0);
    }
  });
});
