// Heads of first requests, as callers send them, and the connections that stay at their router.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, createServer as createListener, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { hasLeft } from './callerPresence.js';
import { readFirstRequest, type FirstRequest } from './firstRequest.js';

const head =
  'POST /reads/1 HTTP/1.1\r\nX-Host: a\r\nhost:  desk.example \r\nRequest-Id: r-1\r\nToken-Usage: 1200,60\r\n';
const whole = `${head}Content-Length: 4\r\n\r\nbody`;

/** A caller's connection, and what a router reads from it first. */
async function opened(t: TestContext): Promise<{
  readonly caller: Socket;
  readonly accepted: Promise<[Socket, FirstRequest | undefined]>;
}> {
  const listener = createListener({ allowHalfOpen: true });
  listener.listen(0, '127.0.0.1');
  await once(listener, 'listening');
  const accepted = once(listener, 'connection').then(async ([socket]) => {
    const first = await readFirstRequest(socket as Socket);
    return [socket as Socket, first] as [Socket, FirstRequest | undefined];
  });
  const caller = connect((listener.address() as AddressInfo).port, '127.0.0.1');
  await once(caller, 'connect');
  t.after(async () => {
    caller.destroy();
    listener.close();
    (await accepted)[0].destroy();
  });
  return { caller, accepted };
}

test('the head of a request is read when all of it has come', async (t) => {
  const { caller, accepted } = await opened(t);
  caller.write(whole.slice(0, 40));
  await pause(20);
  caller.write(whole.slice(40));
  const [, first] = await accepted;
  assert.ok(first !== undefined);
  assert.equal(first.takeBytes().toString(), whole);
  assert.deepEqual(first.head, {
    path: '/reads/1',
    headers: { host: 'desk.example' },
    id: 'r-1',
    key: undefined,
    size: { promptTokens: 1_200, outputLimit: 60 },
  });
});

// A request that is not understood here is left to the HTTP parser of this router.
for (const [what, text] of [
  ['without a host', 'GET / HTTP/1.1\r\n\r\n'],
  ['of HTTP/1.0', 'GET / HTTP/1.0\r\nHost: a\r\n\r\n'],
  [
    'that expects an interim response',
    'POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n',
  ],
  ['that is too long', `GET / HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(17_000)}`],
] as const) {
  test(`a request ${what} has no head`, async (t) => {
    const { caller, accepted } = await opened(t);
    caller.write(text);
    const [, first] = await accepted;
    assert.equal(first?.head, undefined);
  });
}

test('a caller that leaves before its head is complete is not served', async (t) => {
  const { caller, accepted } = await opened(t);
  caller.end('GET /');
  const [socket, first] = await accepted;
  assert.equal(first, undefined);
  assert.ok(socket.destroyed);
});

// Guards against GONE of issue 45: a body that is not read hides the end of the connection behind it.
test('the end of a connection is seen while its first request waits', async (t) => {
  const { caller, accepted } = await opened(t);
  caller.write(whole.slice(0, -2));
  const [socket, first] = await accepted;
  assert.ok(first?.head !== undefined);
  assert.ok(!hasLeft(socket));
  caller.end(whole.slice(-2));
  await once(socket, 'end');
  assert.ok(hasLeft(socket));
  assert.equal(first.takeBytes().toString(), whole);
});

// Guards against losing bytes of a request that stays at its router.
for (const [how, at] of [
  ['at once', undefined],
  ['slowly', 60],
] as const) {
  test(`a request that comes ${how} can be served from its first byte`, async (t) => {
    const { caller, accepted } = await opened(t);
    const server = createServer((request, response) => {
      request.pipe(response);
    });
    caller.write(whole.slice(0, at));
    const [socket, first] = await accepted;
    assert.ok(first !== undefined);
    socket.unshift(first.takeBytes());
    server.emit('connection', socket);
    socket.resume();
    if (at !== undefined) caller.write(whole.slice(at));
    const [chunk] = (await once(caller, 'data')) as [Buffer];
    assert.match(chunk.toString(), /^HTTP\/1\.1 200 OK[^]*body/);
  });
}
