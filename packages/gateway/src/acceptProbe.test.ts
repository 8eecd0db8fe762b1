// Many callers connect at once, so that the router's probe connection is accepted among theirs.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { AcceptQueue } from '@catkinwheel/coordination/routing';
import { Clock } from '@catkinwheel/state';
import { AcceptProbe } from './acceptProbe.js';
import { Log } from './log.js';

const backlog = 64;

// Guards against a probe that is not recognised because its local port is read before the socket is connected: it then
// seems to wait forever, and all new requests are refused.
test('a probe is distinguished from callers that are accepted while it is being opened', async (t) => {
  const server = createServer();
  const queue = AcceptQueue.create(Clock.system(), backlog);
  const probe = AcceptProbe.create(server, queue, Log.create(Clock.system(), 'router', 'boot'));
  let callers = 0;
  server.on('connection', (socket) => {
    socket.on('error', () => undefined);
    callers += Number(probe.accept(socket));
  });
  server.listen({ host: '127.0.0.1', port: 0, backlog });
  await once(server, 'listening');
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const socket = connect({ host: '127.0.0.1', port });
  await once(socket, 'connect');
  // More callers than it takes for a probe to be due; the last ones come before the probe has a port.
  for (let index = 0; index < 8; index += 1) callers += Number(probe.accept(socket));
  await pause(100);
  const before = queue.wait;
  await pause(300);
  socket.destroy();
  // The probe counts as a caller as well if it is accepted before its port is known.
  assert.ok(callers === 9 || callers === 10);
  assert.ok(
    before < 100 && queue.wait < 100,
    `waits ${before} and ${queue.wait} ms while nothing waits`,
  );
});
