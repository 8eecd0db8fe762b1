// Callers of an overloaded router are served by another one, which may be gone, stop or be killed meanwhile.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { Clock, type ManualClock, type Milliseconds } from '@catkinwheel/state';
import { Log } from './log.js';
import { Tunnels, type Endpoint } from './tunnels.js';

async function listen(t: TestContext, onSocket: (socket: Socket) => void): Promise<Server> {
  const sockets: Socket[] = [];
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    onSocket(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return server;
}

function endOf(server: Server): Endpoint {
  const { address: host, port } = server.address() as AddressInfo;
  return { host, port };
}

/** Opens a caller's connection to a router that tunnels it to `end`. */
async function tunnelled(
  t: TestContext,
  end: Endpoint,
  { first = '', answerBy = Infinity }: { first?: string; answerBy?: Milliseconds } = {},
): Promise<{ readonly caller: Socket; readonly tunnels: Tunnels; readonly clock: ManualClock }> {
  const clock = Clock.manual(1_000);
  const tunnels = Tunnels.create(clock, Log.create(clock, 'router', 'boot'));
  const router = await listen(t, (socket) => {
    socket.pause();
    const request = { takeBytes: () => Buffer.from(first), id: 'request-1', answerBy };
    void tunnels.open(socket, request, end).then((isOpen) => {
      if (!isOpen) socket.end('served here');
    });
  });
  const caller = connect({ ...endOf(router), allowHalfOpen: true });
  await once(caller, 'connect');
  t.after(() => {
    tunnels.close();
    caller.destroy();
  });
  return { caller, tunnels, clock };
}

/** Polls `find` until it returns a value. */
async function until<Value>(find: () => Value | undefined): Promise<Value> {
  for (;;) {
    const found = find();
    if (found !== undefined) return found;
    await pause(5);
  }
}

async function bytesUntilEnd(socket: Socket): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of socket) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

test('bytes pass unchanged in both directions, also in large numbers', async (t) => {
  const other = await listen(t, (socket) => socket.pipe(socket));
  const { caller, tunnels } = await tunnelled(t, endOf(other));
  const sent = 'request '.repeat(100_000);
  caller.end(sent);
  assert.equal(await bytesUntilEnd(caller), sent);
  assert.equal(tunnels.openedCount, 1);
});

// Guards against losing a caller because the router chosen for it has just stopped.
test('a connection whose target router cannot be reached stays at its router', async (t) => {
  const gone = createServer();
  gone.listen(0, '127.0.0.1');
  await once(gone, 'listening');
  const end = endOf(gone);
  gone.close();
  const { caller, tunnels } = await tunnelled(t, end, { first: 'request' });
  assert.equal(await bytesUntilEnd(caller), 'served here');
  assert.ok(tunnels.isEmpty);
});

// Violation GONE: the other router must stop working for a caller that has left.
test('the other router sees the end of the connection when the caller has left', async (t) => {
  const seen = new Promise<Socket>((resolve) => {
    void listen(t, resolve).then(async (other) => {
      const { caller } = await tunnelled(t, endOf(other));
      caller.write('request');
      setTimeout(() => caller.resetAndDestroy(), 50);
    });
  });
  const socket = await seen;
  socket.resume();
  await once(socket, 'end');
});

// Guards against GONE of issue 45: the request of a caller that closes its connection while it waits for its turn is sent to another
// router, and reaches a server before the end of the connection does.
test('a request whose caller has closed its connection is not passed on', async (t) => {
  const passedOn: string[] = [];
  const other = await listen(t, (socket) => {
    socket.on('data', (bytes) => passedOn.push(bytes.toString()));
  });
  const clock = Clock.manual(1_000);
  const tunnels = Tunnels.create(clock, Log.create(clock, 'router', 'boot'));
  const request = { takeBytes: () => Buffer.from('request'), id: 'request-1', answerBy: Infinity };
  const opened = new Promise<void>((resolve) => {
    void listen(t, (socket) => {
      socket.pause();
      socket.on('end', () => {
        void tunnels.open(socket, request, endOf(other)).then(() => {
          resolve();
        });
      });
    }).then((router) => connect(endOf(router)).end());
  });
  await opened;
  await pause(50);
  assert.deepEqual(passedOn, []);
  assert.ok(tunnels.isEmpty);
});

// Violation MIXED: a response that breaks off must not look complete.
test('a connection that the other router resets is reset for the caller', async (t) => {
  const other = await listen(t, (socket) => {
    socket.write('half an answer', () => setTimeout(() => socket.resetAndDestroy(), 20));
  });
  const { caller } = await tunnelled(t, endOf(other));
  await assert.rejects(bytesUntilEnd(caller), /ECONNRESET/);
});

/** The response of a router whose caller's tunnel is lost. */
const errorResponse = (status: string): string =>
  `HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\nrequest-id: request-1\r\n\r\n`;

// Violation LOST (review case 5): the loss of another router must not leave a request without an answer.
for (const [how, lose] of [
  ['resets', (socket: Socket) => socket.resetAndDestroy()],
  ['closes', (socket: Socket) => socket.destroy()],
  ['half-closes', (socket: Socket) => socket.end()],
] as const) {
  test(`a caller gets 502 for a connection that the other router ${how} before its response`, async (t) => {
    const other = await listen(t, (socket) => {
      socket.once('data', () => {
        lose(socket);
      });
    });
    const { caller, tunnels } = await tunnelled(t, endOf(other), { first: 'request' });
    assert.equal(await bytesUntilEnd(caller), errorResponse('502 Bad Gateway'));
    assert.ok(tunnels.isEmpty);
  });
}

// Violation LOST: a stopping router must wait for requests that other routers serve through its tunnels,
// however long they are silent.
test('a tunnel is open until its response has ended', async (t) => {
  const sockets: Socket[] = [];
  const other = await listen(t, (socket) => sockets.push(socket));
  const { caller, tunnels, clock } = await tunnelled(t, endOf(other), { first: 'request' });
  const socket = await until(() => sockets[0]);
  await once(socket, 'data');
  await clock.advance(60_000);
  tunnels.endLost(() => false);
  assert.ok(!tunnels.isEmpty, 'a response is due');
  socket.write('answer');
  await once(caller, 'data');
  assert.ok(!tunnels.isEmpty, 'the response may continue');
  socket.end();
  await once(caller, 'end');
  caller.end();
  await until(() => tunnels.isEmpty || undefined);
});

// Violation CONFIG: a router that is frozen must not hold a request beyond the timeout of its route.
test('a caller gets 504 when the other router has not begun a response in time', async (t) => {
  const sockets: Socket[] = [];
  const other = await listen(t, (socket) => sockets.push(socket));
  const options = { first: 'request', answerBy: 4_000 };
  const { caller, tunnels, clock } = await tunnelled(t, endOf(other), options);
  await once(await until(() => sockets[0]), 'data');
  await clock.advance(3_000);
  tunnels.endLost(() => false);
  assert.ok(!tunnels.isEmpty, 'there is time left');
  await clock.advance(100);
  tunnels.endLost(() => false);
  assert.equal(await bytesUntilEnd(caller), errorResponse('504 Gateway Timeout'));
});

// Guards against callers that wait for a frozen or partitioned router.
test('the tunnels to a lost router are ended: with 502, or with a reset if a response has begun', async (t) => {
  const sockets: Socket[] = [];
  const other = await listen(t, (socket) => sockets.push(socket));
  const waiting = await tunnelled(t, endOf(other), { first: 'request' });
  await once(await until(() => sockets[0]), 'data');
  const begun = await tunnelled(t, endOf(other), { first: 'request' });
  const socket = await until(() => sockets[1]);
  await once(socket, 'data');
  socket.write('half an answer');
  await once(begun.caller, 'data');
  for (const { tunnels } of [waiting, begun]) {
    tunnels.endLost((host) => host !== endOf(other).host);
    assert.ok(!tunnels.isEmpty);
  }
  const reset = assert.rejects(bytesUntilEnd(begun.caller), /ECONNRESET/);
  for (const { tunnels } of [waiting, begun]) tunnels.endLost((host) => host === endOf(other).host);
  await reset;
  assert.equal(await bytesUntilEnd(waiting.caller), errorResponse('502 Bad Gateway'));
});
