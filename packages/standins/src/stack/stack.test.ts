// The router of the platform deployment against stand-ins of the store and of servers: what reaches
// servers and callers when servers fail in each of the ways that the platform's pages list.

import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, test } from 'node:test';
import { call, type CallResult } from './caller.js';
import { StackFleet, desiredStateOf, modelFields, names, until } from './fleet.js';
import { setTimeout as pause } from 'node:timers/promises';
import type { Behaviour } from './behaviour.js';
import { streamLength, type StackServer } from './server.js';

let fleet: StackFleet;
let sent = 0;

before(async () => {
  fleet = await StackFleet.start();
  await fleet.addRouter();
  await fleet.ready();
});

after(() => fleet.close());

/** A server that refused a request gets none for a quarter of a second. */
const restTime = 300;

beforeEach(async () => {
  await pause(restTime);
  for (const server of [...fleet.models, ...fleet.desks]) {
    server.seen.length = 0;
    server.ran.length = 0;
    server.left.length = 0;
    server.behaviours = [];
  }
});

const routes = {
  read: { path: '/reads/1', method: 'GET' },
  charge: { path: '/charges/1', method: 'POST', body: '{"amount":1}' },
  letter: {
    path: '/letters/1?draft=1',
    method: 'POST',
    body: '{"prompt":"…"}',
    headers: modelFields,
  },
} as const;

function send(
  route: keyof typeof routes,
  changes: Partial<Parameters<typeof call>[0]> = {},
): Promise<CallResult> {
  sent += 1;
  return call({
    address: fleet.routers[0]?.settings.listen.callers ?? '',
    host: names.host,
    id: `request-${sent}`,
    key: names.key,
    ...routes[route],
    ...changes,
  });
}

/** Makes the next request to any of the servers fail in one way. */
function failNext(servers: readonly StackServer[], behaviour: Behaviour): void {
  for (const server of servers) server.behaviours = [behaviour];
}

function seen(servers: readonly StackServer[]): number {
  return servers.reduce((count, server) => count + server.seen.length, 0);
}

const events = (from: number): string =>
  Array.from({ length: streamLength - from + 1 }, (_, index) => from + index)
    .map((event) => `id: ${event}\ndata: ${event}\n\n`)
    .join('');

describe('requests', () => {
  test('a whole answer reaches its caller with its signature', async () => {
    const answer = await send('read');
    assert.equal(answer.status, 200);
    assert.match(answer.body, /^desk-\d ran request-/);
    assert.match(String(answer.headers['response-seal']), /^seal-desk/);
    assert.ok(answer.isWhole);
  });

  test('a server gets path, query, body and id as sent, the team and the time left, not the key', async () => {
    await send('letter', { timeLeft: 2_000 });
    const [request] = fleet.models.flatMap((server) => server.seen);
    assert.ok(request !== undefined);
    assert.equal(request.path, routes.letter.path);
    assert.equal(request.body, routes.letter.body);
    assert.equal(request.headers.tenant, names.team);
    assert.equal(request.headers.authorization, undefined);
    assert.equal(request.headers['prompt-prefix'], 'aa:1000,bb:200');
    const left = Number(request.headers['deadline-ms']);
    assert.ok(left > 1_500 && left <= 2_000);
  });

  test('fields that only the system sets are taken off', async () => {
    await send('charge', {
      headers: { tenant: 'small', 'pin-ms': '100', 'kv-hold': 'x', 'expect-instance': 'other' },
    });
    const [request] = fleet.desks.flatMap((server) => server.seen);
    assert.ok(request !== undefined);
    for (const field of ['tenant', 'pin-ms', 'kv-hold'])
      assert.equal(request.headers[field], undefined);
  });

  for (const [name, status, changes] of [
    ['an unknown key', 401, { key: 'none' }],
    ['a path without a route', 404, { path: '/none/' }],
    ['a host without routes', 404, { host: 'other.example' }],
  ] as const) {
    test(`${name} gets ${status} and reaches no server`, async () => {
      assert.equal((await send('read', changes)).status, status);
      assert.equal(seen(fleet.desks), 0);
    });
  }

  test('a public route needs no key', async () => {
    const { path, method, body } = routes.charge;
    const answer = await call({
      address: fleet.routers[0]?.settings.listen.callers ?? '',
      host: names.host,
      id: 'no-key',
      path,
      method,
      body,
    });
    assert.equal(answer.status, 200);
  });
});

describe('servers that fail', () => {
  for (const behaviour of ['refuses', 'errors', 'resets', 'cuts', 'confuses'] as const) {
    test(`work that may not be repeated runs at most once when its server ${behaviour}`, async () => {
      failNext(fleet.desks, behaviour);
      const answer = await send('charge');
      assert.ok(!(answer.status === 200 && answer.isWhole));
      const runs = fleet.desks.reduce((count, server) => count + server.ran.length, 0);
      assert.equal(runs, behaviour === 'refuses' ? 0 : 1);
      const isPromise = answer.status === 503;
      assert.equal(isPromise, behaviour === 'refuses');
      if (isPromise) assert.ok(Number(answer.headers['retry-after']) > 0);
    });
  }

  for (const behaviour of ['refuses', 'errors', 'resets', 'confuses'] as const) {
    test(`an idempotent request is answered by another server when one ${behaviour}`, async () => {
      const [first] = fleet.desks;
      assert.ok(first !== undefined);
      for (const server of fleet.desks) server.behaviours = [behaviour];
      const answers = await Promise.all([send('read'), send('read'), send('read')]);
      assert.ok(answers.some(({ status, isWhole }) => status === 200 && isWhole));
    });
  }

  test('a stream that breaks off goes on at another server without a gap or a repeat', async () => {
    failNext(fleet.models, 'cuts');
    const answer = await send('letter');
    // The second server cuts it as well, two events later; the caller then resumes by itself.
    assert.equal(answer.status, 200);
    assert.ok(events(1).startsWith(answer.body));
    const [server] = fleet.models;
    assert.ok(server !== undefined);
    server.behaviours = [];
    for (const other of fleet.models) other.behaviours = [];
    const rest = await send('letter', {
      headers: { ...routes.letter.headers, 'last-event-id': '4' },
    });
    assert.equal(rest.body, events(5));
    assert.ok(rest.isWhole);
  });

  test('a stream resumed once is whole and keeps the signature of its first server', async () => {
    const [first] = fleet.models;
    assert.ok(first !== undefined);
    await send('letter');
    const holder = fleet.models.find((server) => server.seen.length > 0);
    assert.ok(holder !== undefined);
    holder.behaviours = ['cuts'];
    const answer = await send('letter');
    assert.equal(answer.body, events(1));
    assert.ok(answer.isWhole);
    assert.equal(answer.headers['response-seal'], `seal-${holder.id}`);
  });

  for (const behaviour of ['resetsUnframed', 'resetsChunked'] as const) {
    test(`an answer that ends with a reset never looks whole (${behaviour})`, async () => {
      for (let round = 0; round < 20; round += 1) {
        failNext(fleet.desks, behaviour);
        const answer = await send('charge');
        assert.ok(!(answer.status === 200 && answer.isWhole), `round ${round}: ${answer.body}`);
      }
    });
  }

  test('an answer without length is not handed on, since its end does not tell that it is whole', async () => {
    failNext(fleet.desks, 'closesUnframed');
    const answer = await send('charge');
    assert.equal(answer.status, 502);
    assert.equal(seen(fleet.desks), 1);
  });

  test('a request that hangs gets its final answer at the time limit of its route', async () => {
    failNext(fleet.desks, 'hangs');
    const start = Date.now();
    const answer = await send('charge', { timeLeft: 10_000 });
    assert.equal(answer.status, 504);
    assert.ok(Date.now() - start < 3_500);
  });
});

describe('callers that leave', () => {
  test('a server hears of it when the caller of a stream leaves', async () => {
    for (const server of fleet.models) server.eventPause = 200;
    const leaving = new AbortController();
    const answer = send('letter', { signal: leaving.signal });
    await until(() => seen(fleet.models) > 0);
    leaving.abort();
    await answer;
    await until(() => fleet.models.some((server) => server.left.length > 0));
    for (const server of fleet.models) server.eventPause = 5;
  });
});

describe('the platform', () => {
  test('a new desired state is in force within its bound, and an older one never again', async () => {
    const [, ...others] = (desiredStateOf(1) as { routes: readonly unknown[] }).routes;
    fleet.store.put('op', 'config', desiredStateOf(5, { routes: others }));
    await until(async () => (await send('letter')).status === 404);
    fleet.store.put('op', 'config', desiredStateOf(3));
    await pause(300);
    assert.equal((await send('letter')).status, 404);
    fleet.store.put('op', 'config', desiredStateOf(7));
    await until(async () => (await send('letter')).status === 200);
  });

  test('a desired state that cannot be read leaves the last one in force', async () => {
    fleet.store.put('op', 'config', { version: 8, routes: 'none' });
    await pause(200);
    assert.equal((await send('read')).status, 200);
    fleet.store.put('op', 'config', desiredStateOf(9));
  });

  test('entries that cannot be read name no server, and the others hold', async () => {
    fleet.store.putRaw('servers', 'odd-1', Buffer.from([0xff, 0x00, 0x7b]));
    fleet.store.put('servers', 'odd-2', { service: names.desk, address: 7 });
    fleet.store.put('servers', 'odd-3', { ...entryOf(), state: 'resting' });
    await pause(200);
    for (let index = 0; index < 6; index += 1) assert.equal((await send('read')).status, 200);
  });

  test('a server that says that it leaves gets nothing more', async () => {
    const [first, second] = fleet.desks;
    assert.ok(first !== undefined && second !== undefined);
    fleet.register(first, names.desk, { state: 'draining', sequence: 2 });
    await pause(300);
    for (let index = 0; index < 8; index += 1) await send('read');
    assert.equal(first.seen.length, 0);
    assert.ok(second.seen.length > 0);
    fleet.register(first, names.desk, { sequence: 3 });
  });

  test('a removal that was lost with the history of the store is found again', async () => {
    const [first] = fleet.desks;
    assert.ok(first !== undefined);
    fleet.store.remove('servers', first.id);
    fleet.store.compact();
    await pause(300);
    first.seen.length = 0;
    for (let index = 0; index < 8; index += 1) await send('read');
    assert.equal(first.seen.length, 0);
    fleet.register(first, names.desk);
    await pause(300);
  });

  for (const mode of ['busy', 'silent', 'losesAnswers'] as const) {
    test(`requests are served while the store ${mode === 'losesAnswers' ? 'loses answers' : `is ${mode}`}`, async () => {
      fleet.store.mode = mode;
      await pause(200);
      assert.equal((await send('read')).status, 200);
      fleet.store.mode = 'well';
    });
  }
});

describe('several routers', () => {
  test('a router that starts while the store is away learns everything from another one', async () => {
    fleet.store.mode = 'busy';
    await fleet.addRouter();
    await fleet.ready(1);
    const address = fleet.routers[1]?.settings.listen.callers ?? '';
    assert.equal((await send('read', { address })).status, 200);
    fleet.store.mode = 'well';
  });

  test('a router that stops is not ready at once, leaves the directory and cuts nothing', async () => {
    await until(async () => (await directory()).length === 2);
    for (const server of fleet.models) server.eventPause = 150;
    const address = fleet.routers[1]?.settings.listen.callers ?? '';
    const answer = send('letter', { address });
    await until(() => seen(fleet.models) > 0);
    const stopped = fleet.routers[1]?.gateway.stop();
    assert.equal((await fleet.call(1, 'ready', '/-/ready')).status, 503);
    await until(async () => (await directory()).length === 1);
    const whole = await answer;
    assert.ok(whole.isWhole);
    assert.equal(whole.body, events(1));
    await stopped;
    for (const server of fleet.models) server.eventPause = 5;
  });
});

describe('a restart of all routers', () => {
  test('servers are asked once what they keep, also by a router that serves already', async () => {
    const restarted = await StackFleet.start();
    await restarted.addRouter({ isFirstStart: false });
    await until(async () => (await restarted.call(0, 'ready', '/-/ready')).status === 200);
    const address = restarted.routers[0]?.settings.listen.callers ?? '';
    assert.equal((await send('letter', { address })).status, 200);
    const calls = (): number => restarted.models.reduce((sum, server) => sum + server.listCalls, 0);
    await until(() => calls() === restarted.models.length);
    await restarted.addRouter({ isFirstStart: false });
    await restarted.ready(1);
    // The second router learns from the first one and asks no server.
    await pause(1_000);
    assert.equal(calls(), restarted.models.length);
    await restarted.close();
  });
});

async function directory(): Promise<readonly string[]> {
  const answer = await fleet.call(0, 'directory', `/-/resolve?name=${names.host}&zone=suva`);
  return ((await answer.json()) as { addresses: readonly string[] }).addresses;
}

function entryOf(): Record<string, unknown> {
  return fleet.desks[0]?.entry(names.desk) as Record<string, unknown>;
}
