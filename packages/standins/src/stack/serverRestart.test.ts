// Servers that start again under the ids that they had, at other addresses.

import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { call, type CallResult } from './caller.js';
import { StackFleet, modelFields, names, until } from './fleet.js';
import { StackServer } from './server.js';

/** Time in which routers know of a registration. */
const noticeTime = 500;
/** Requests sent in the hope that each server gets some. */
const burst = 12;
/** Time in which a router that is behind has caught up. */
const catchUpTime = 500;
/** Time for which a former instance works on a request. */
const slowAnswer = 1_000;

interface RouteFields {
  readonly path: string;
  readonly method: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

const routes: Readonly<Record<'read' | 'charge' | 'letter', RouteFields>> = {
  read: { path: '/reads/1', method: 'GET' },
  charge: { path: '/charges/1', method: 'POST', body: '{"amount":1}' },
  letter: { path: '/letters/1', method: 'POST', body: '{"prompt":"…"}', headers: modelFields },
};
type RouteName = keyof typeof routes;

let fleet: StackFleet;
let sent = 0;

/** Sends a request to the router at `index`. */
function send(route: RouteName, index = 0): Promise<CallResult> {
  sent += 1;
  // A shared part of its own, so that requests to models are spread over them.
  const part = { 'prompt-prefix': `${sent.toString(16)}:1000,bb:200` };
  const { headers = {}, ...rest } = routes[route];
  return call({
    address: fleet.routers[index]?.settings.listen.callers ?? '',
    host: names.host,
    id: `restart-${sent}`,
    key: names.key,
    ...rest,
    headers: route === 'letter' ? { ...headers, ...part } : {},
  });
}

/**
 * Sends requests one by one, so that none has to wait for another. A router whose process stood still refuses requests until it has
 * caught up, whatever servers there are; such a request is sent again.
 */
async function sendSeries(route: RouteName, index = 0): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let tries = 0; statuses.length < burst && tries < 2 * burst; tries += 1) {
    const { status, body } = await send(route, index);
    if (status === 503 && body === '{"error":"behind"}') await pause(catchUpTime);
    else statuses.push(status);
  }
  return statuses;
}

function first(servers: readonly StackServer[]): StackServer {
  const [server] = servers;
  assert.ok(server !== undefined);
  return server;
}

const allServed = Array.from({ length: burst }, () => 200);

describe('a server that starts again under its id at another address', () => {
  before(async () => {
    fleet = await StackFleet.start();
    await fleet.addRouter();
    await fleet.addRouter();
    await fleet.ready(0);
    await fleet.ready(1);
  });

  after(() => fleet.close());

  let born = 1;
  beforeEach(async () => {
    born += 1;
    for (const server of fleet.models) fleet.register(server, names.model, { born });
    for (const server of fleet.desks) fleet.register(server, names.desk, { born });
    await pause(noticeTime);
    // Each router sends to each server, so that it keeps connections.
    for (const index of [0, 1])
      for (const route of ['read', 'letter'] as const)
        await Promise.all(Array.from({ length: burst }, () => send(route, index)));
  });

  // Guards against connections that are kept for an id and lead to the address that its first instance had.
  for (const route of ['read', 'charge', 'letter'] as const) {
    test(`is sent ${route}s by each router`, async () => {
      const servers = route === 'letter' ? fleet.models : fleet.desks;
      const service = route === 'letter' ? names.model : names.desk;
      born += 1;
      for (const server of servers) {
        await server.startElsewhere();
        fleet.register(server, service, { born });
      }
      await pause(noticeTime);
      assert.deepEqual(await sendSeries(route, 0), allServed);
      assert.deepEqual(await sendSeries(route, 1), allServed);
    });
  }

  // Guards against a start time as the only sign of a new instance: a registration may lack it.
  test('is sent requests if its registrations name no start time', async () => {
    for (const server of fleet.desks) fleet.register(server, names.desk, { born: undefined });
    await pause(noticeTime);
    assert.deepEqual(await sendSeries('read'), allServed);
    for (const server of fleet.desks) {
      await server.startElsewhere();
      fleet.register(server, names.desk, { born: undefined });
    }
    await pause(noticeTime);
    assert.deepEqual(await sendSeries('read'), allServed);
  });

  // Guards against a write of the former instance that the store performs late.
  test('is sent requests if a registration of its former instance comes after its own', async () => {
    const formerBorn = born;
    born += 1;
    for (const server of fleet.desks) {
      const { address } = server;
      await server.startElsewhere();
      fleet.register(server, names.desk, { born });
      await pause(noticeTime);
      fleet.register(server, names.desk, { born: formerBorn, address, state: 'draining' });
    }
    await pause(noticeTime);
    assert.deepEqual(await sendSeries('read'), allServed);
  });

  // Guards against a change of instance that ends the requests of the former one, which runs them to a good end.
  test('leaves the requests of its former instance to their end', async () => {
    const former = first(fleet.desks);
    for (const server of fleet.desks) server.answerPause = slowAnswer;
    const sentBefore = Array.from({ length: burst / 2 }, () => send('charge'));
    await until(() => former.seen.some(({ path }) => path === routes.charge.path));
    const next = await StackServer.start(former.id);
    born += 1;
    fleet.register(next, names.desk, { born });
    await pause(noticeTime);
    for (const server of fleet.desks) server.answerPause = 0;
    assert.deepEqual(await sendSeries('read'), allServed);
    assert.ok(next.seen.length > 0, 'the new instance got no request');
    for (const { status } of await Promise.all(sentBefore)) assert.equal(status, 200);
    await next.close();
  });
});
