// Callers of an overloaded router are served by another one, which may be gone, stop or be killed meanwhile.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { Clock } from '@catkinwheel/state';
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
  { fallback = end, clock = Clock.system() }: { fallback?: Endpoint; clock?: Clock } = {},
): Promise<{ readonly caller: Socket; readonly tunnels: Tunnels }> {
  const tunnels = Tunnels.create(clock, Log.create(clock, 'router', 'boot'));
  const router = await listen(t, (socket) => {
    void tunnels.open(socket, end, fallback);
  });
  const caller = connect({ ...endOf(router), allowHalfOpen: true });
  await once(caller, 'connect');
  t.after(() => {
    tunnels.close();
    caller.destroy();
  });
  return { caller, tunnels };
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
test('a connection whose target router cannot be reached goes to the fallback', async (t) => {
  const gone = createServer();
  gone.listen(0, '127.0.0.1');
  await once(gone, 'listening');
  const end = endOf(gone);
  gone.close();
  const own = await listen(t, (socket) => socket.end('served here'));
  const { caller } = await tunnelled(t, end, { fallback: endOf(own) });
  assert.equal(await bytesUntilEnd(caller), 'served here');
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

// Violation MIXED: a response that breaks off must not look complete.
test('a connection that the other router resets is reset for the caller', async (t) => {
  const other = await listen(t, (socket) => {
    socket.write('half an answer', () => setTimeout(() => socket.resetAndDestroy(), 20));
  });
  const { caller } = await tunnelled(t, endOf(other));
  await assert.rejects(bytesUntilEnd(caller), /ECONNRESET/);
});

// Violation LOST: a stopping router must wait for requests that other routers serve through its tunnels,
// however long they are silent.
test('a tunnel counts as busy while a response is due or continues', async (t) => {
  const clock = Clock.manual(1_000);
  const sockets: Socket[] = [];
  const other = await listen(t, (socket) => sockets.push(socket));
  const { caller, tunnels } = await tunnelled(t, endOf(other), { clock });
  caller.write('request');
  await once(await until(() => sockets[0]), 'data');
  await clock.advance(60_000);
  assert.equal(tunnels.busy, 1, 'a response is due');
  sockets[0]?.write('answer');
  await once(caller, 'data');
  assert.equal(tunnels.busy, 1, 'the response may continue');
  await clock.advance(60_000);
  assert.equal(tunnels.busy, 0, 'the response has ended');
});

// Guards against callers that wait for a frozen or partitioned router.
test('the tunnels to a lost router are reset', async (t) => {
  const other = await listen(t, (socket) => socket.pipe(socket));
  const { caller, tunnels } = await tunnelled(t, endOf(other));
  caller.write('request');
  await once(caller, 'data');
  tunnels.drop((host) => host !== endOf(other).host);
  assert.equal(tunnels.busy, 1);
  const lost = assert.rejects(bytesUntilEnd(caller), /ECONNRESET/);
  tunnels.drop((host) => host === endOf(other).host);
  await lost;
});
