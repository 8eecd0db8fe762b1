// Callers that send a request before the response to the one before it has come.

import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@catkinwheel/state';
import { CallerConnection, type Answer, type PlainRequest } from './callerConnection.js';
import { StackFleet, desiredStateOf, names, until } from './fleet.js';

/** Time that a response takes, longer than the pauses between what happens meanwhile. */
const workTime: Milliseconds = 600;
const pairs = 4;

async function startFleet(t: TestContext): Promise<StackFleet> {
  const fleet = await StackFleet.start();
  t.after(() => fleet.close());
  await fleet.addRouter();
  await fleet.ready();
  for (const server of fleet.desks) server.answerPause = workTime;
  return fleet;
}

async function connectTo(t: TestContext, fleet: StackFleet): Promise<CallerConnection> {
  const connection = await CallerConnection.open(fleet.routers[0]?.settings.listen.callers ?? '');
  t.after(() => {
    connection.close();
  });
  return connection;
}

/** A request that may run again, and one that may not. */
function pairOf(name: string): readonly PlainRequest[] {
  const headers = { host: names.host, 'deadline-ms': '3000' };
  const authorization = `Bearer ${names.key}`;
  return [
    {
      method: 'GET',
      path: '/reads/1',
      headers: { ...headers, authorization, 'request-id': `${name}-read` },
    },
    {
      method: 'POST',
      path: '/charges/1',
      headers: { ...headers, 'request-id': `${name}-charge` },
      body: '{}',
    },
  ];
}

function statusOf(answer: Answer | undefined): string {
  return answer?.kind === 'whole'
    ? `${answer.status} ${answer.headers.connection ?? ''}`
    : (answer?.kind ?? '');
}

// Guards against LOST: the response to the first request closes the connection under the second, which has run.
test('a planned stop answers both of two requests that were sent together', async (t) => {
  const fleet = await startFleet(t);
  const connections = await Promise.all(
    Array.from({ length: 2 * pairs }, () => connectTo(t, fleet)),
  );
  const ask = (from: number): Promise<readonly Answer[]>[] =>
    connections
      .slice(from, from + pairs)
      .map((connection, index) => connection.pipeline(pairOf(`${from + index}`)));
  const before = ask(0);
  await pause(workTime / 4);
  void fleet.routers[0]?.gateway.stop();
  await pause(workTime / 4);
  const answers = await Promise.all([...before, ...ask(pairs)]);
  for (const [read, charge] of answers) {
    assert.match(statusOf(read), /^200 (keep-alive)?$/);
    assert.match(statusOf(charge), /^200 /);
  }
  // A response that is the only one due closes the connection: that to the later request if the other one is complete by then,
  // otherwise that to a further request.
  const [single] = pairOf('single');
  const lastOfPair = answers[0]?.[1];
  assert.ok(single !== undefined && connections[0] !== undefined);
  const isClosed = statusOf(lastOfPair) === '200 close';
  const last = isClosed ? lastOfPair : await connections[0].ask(single);
  assert.equal(statusOf(last), '200 close');
});

/** Longer than the header timeout and the interval of its checks. */
const longWorkTime: Milliseconds = 1_450;
const headerTimeoutMs: Milliseconds = 300;

const unreadable = [
  { name: 'a head that stops midway', bytes: 'GET /reads/1 HTTP/1.1\r\nhost: ', status: 408 },
  { name: 'bytes that are no request', bytes: 'no request\r\n\r\n', status: 400 },
  {
    name: 'a head that is too large',
    bytes: `GET / HTTP/1.1\r\nhost: a\r\nx: ${'x'.repeat(20_000)}\r\n\r\n`,
    status: 431,
  },
];

// Guards against REFUSED and LOST: a response of the router, or the end of the connection, in place of that of a request which runs.
test('bytes that cannot be read leave the responses to whole requests before them', async (t) => {
  const fleet = await startFleet(t);
  const limits = { idleTimeoutMs: 5_000, headerTimeoutMs };
  fleet.store.put('op', 'config', desiredStateOf(2, { limits }));
  await pause(workTime);
  for (const server of fleet.desks) server.answerPause = longWorkTime;
  await Promise.all(
    unreadable.flatMap(({ name, bytes, status }) => [
      (async () => {
        const connection = await connectTo(t, fleet);
        const answers = await connection.pipeline(pairOf(name), bytes);
        for (const answer of answers) assert.match(statusOf(answer), /^200 /, name);
        await until(() => connection.isClosed);
        assert.equal(connection.excess, '', name);
      })(),
      (async () => {
        const connection = await connectTo(t, fleet);
        connection.write(bytes);
        await until(() => connection.isClosed);
        assert.match(connection.excess, new RegExp(`^HTTP/1.1 ${status} .*\r\nConnection: close`));
      })(),
    ]),
  );
});
