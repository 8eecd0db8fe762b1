// Load pattern: many callers connect at once, so that the router's probe is accepted among them.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { AcceptQueue } from '@catkinwheel/coordination/routing';
import { Clock } from '@catkinwheel/state';
import { AcceptProbe } from './acceptProbe.js';
import { Log } from './log.js';

const backlog = 64;

// Guards against a probe that is not recognised: it seemed to wait on and on, and all new requests were refused.
test('every probe is told from the callers that come at the same time', async (t) => {
  const clock = Clock.system();
  const server = createServer();
  const queue = AcceptQueue.create(clock, backlog);
  const probe = AcceptProbe.create(server, queue, Log.create(clock, 'router', 'boot'));
  let callers = 0;
  server.on('connection', (socket) => {
    socket.on('error', () => undefined);
    callers += Number(probe.take(socket));
  });
  server.listen({ host: '127.0.0.1', port: 0, backlog });
  await once(server, 'listening');
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const sockets: Socket[] = [];
  for (let round = 0; round < 20; round += 1) {
    for (let index = 0; index < 12; index += 1) {
      const socket = connect({ host: '127.0.0.1', port });
      socket.on('error', () => undefined);
      sockets.push(socket);
    }
    await pause(20);
  }
  await pause(100);
  const waits = [queue.wait];
  await pause(300);
  waits.push(queue.wait);
  for (const socket of sockets) socket.destroy();
  assert.ok(callers >= sockets.length);
  assert.ok(Math.max(...waits) < 100, `waits ${waits.join(', ')} ms while nothing waits`);
});
