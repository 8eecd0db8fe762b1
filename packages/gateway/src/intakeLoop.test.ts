// Connections wait in the accept queue until their callers have left, so that both the requests and the ends of the
// connections are readable when the router begins to read.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { Intake } from '@catkinwheel/coordination/routing';
import { Clock } from '@catkinwheel/state';
import { hasLeft } from './callerPresence.js';
import { Faults } from './faults.js';
import { IntakeLoop, type PendingRequest } from './intakeLoop.js';
import { Log } from './log.js';
import { Metrics } from './metrics.js';

const body = 'x'.repeat(1_500);
const requestText = `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

// Guards against requests that are sent to servers long after their callers have left (violation GONE,
// issue 15). This happens if the end of a connection is noticed only after a server has been chosen for its request.
for (const leaves of [true, false]) {
  test(`a caller that ${leaves ? 'has left' : 'waits'} is detected when its request is read`, async (t) => {
    const results: boolean[] = [];
    const callers = 20;
    const clock = Clock.system();
    const faults = Faults.create(Log.create(clock, 'router', 'boot'), Metrics.create());
    const intake = Intake.create<PendingRequest>(clock, {
      received: () => 0,
      mostReceived: () => 0,
    });
    const loop = IntakeLoop.create(intake, faults, clock);
    const server = createServer((request: IncomingMessage, response: ServerResponse) => {
      const { socket } = request;
      assert.ok(!hasLeft(socket));
      const end = (left: boolean): void => {
        results.push(left);
        request.resume();
        response.end();
        if (results.length === callers) server.emit('checked');
      };
      loop.add({
        team: '',
        earlier: 0,
        waitedUnread: true,
        hasLeft: () => hasLeft(socket),
        begin: () => {
          end(false);
          return 1;
        },
        refuse: () => {
          end(false);
        },
        drop: () => {
          end(true);
        },
      });
    });
    server.listen({ host: '127.0.0.1', port: 0 });
    await once(server, 'listening');
    t.after(() => {
      server.closeAllConnections();
      server.close();
    });
    const allChecked = once(server, 'checked');
    const { port } = server.address() as AddressInfo;
    for (let index = 0; index < callers; index += 1) {
      const socket = connect({ host: '127.0.0.1', port }, () => {
        socket.write(requestText);
        if (leaves) socket.destroy();
      });
    }
    await allChecked;
    assert.deepEqual(results, Array<boolean>(callers).fill(leaves));
  });
}
