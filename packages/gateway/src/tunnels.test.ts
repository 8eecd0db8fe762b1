// Load pattern: callers of a saturated router are served by another one, which may be gone, stop or be killed meanwhile.

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

/** A caller's connection to a router that hands it on to `end`. */
async function tunnelled(
  t: TestContext,
  end: Endpoint,
  { fallback = end, clock = Clock.system() }: { fallback?: Endpoint; clock?: Clock } = {},
): Promise<{ readonly caller: Socket; readonly tunnels: Tunnels }> {
  const tunnels = Tunnels.create(clock, Log.create(clock, 'router', 'boot'));
  const entrance = await listen(t, (socket) => {
    void tunnels.join(socket, end, fallback);
  });
  const caller = connect({ ...endOf(entrance), allowHalfOpen: true });
  await once(caller, 'connect');
  t.after(() => {
    tunnels.close();
    caller.destroy();
  });
  return { caller, tunnels };
}

/** Waits until there is a value. */
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

test('bytes pass unchanged in both directions, also many of them', async (t) => {
  const other = await listen(t, (socket) => socket.pipe(socket));
  const { caller, tunnels } = await tunnelled(t, endOf(other));
  const sent = 'request '.repeat(100_000);
  caller.end(sent);
  assert.equal(await bytesUntilEnd(caller), sent);
  assert.equal(tunnels.opened, 1);
});

// Guards against a caller that is lost because the router chosen for it has just gone.
test('a connection whose receiver cannot be reached goes to the fallback', async (t) => {
  const gone = createServer();
  gone.listen(0, '127.0.0.1');
  await once(gone, 'listening');
  const end = endOf(gone);
  gone.close();
  const own = await listen(t, (socket) => socket.end('served here'));
  const { caller } = await tunnelled(t, end, { fallback: endOf(own) });
  assert.equal(await bytesUntilEnd(caller), 'served here');
});

// Guards against GONE: the other router must stop working for a caller that has left.
test('the other router sees that the caller has left', async (t) => {
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

// Guards against MIXED: an answer that breaks off must not look as if it had ended.
test('a connection that the other router resets is reset for the caller', async (t) => {
  const other = await listen(t, (socket) => {
    socket.write('half an answer', () => setTimeout(() => socket.resetAndDestroy(), 20));
  });
  const { caller } = await tunnelled(t, endOf(other));
  await assert.rejects(bytesUntilEnd(caller), /ECONNRESET/);
});

// Guards against LOST: a router that stops waits for what others serve on its connections, however long they are silent.
test('a tunnel counts as busy while an answer is due or goes on', async (t) => {
  const clock = Clock.manual(1_000);
  const sockets: Socket[] = [];
  const other = await listen(t, (socket) => sockets.push(socket));
  const { caller, tunnels } = await tunnelled(t, endOf(other), { clock });
  caller.write('request');
  await once(await until(() => sockets[0]), 'data');
  await clock.advance(60_000);
  assert.equal(tunnels.busy, 1, 'the request waits');
  sockets[0]?.write('answer');
  await once(caller, 'data');
  assert.equal(tunnels.busy, 1, 'the answer may go on');
  await clock.advance(60_000);
  assert.equal(tunnels.busy, 0, 'the answer has ended');
});

// Guards against callers that wait for a router which is frozen or cut off.
test('the tunnels of a router that is lost are reset', async (t) => {
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
