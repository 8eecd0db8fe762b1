// Connections wait in the accept queue until their callers have left, so that both the requests and the ends of the
// connections are readable when the router begins to read.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { callerLeft } from './callerLeft.js';

const body = 'x'.repeat(1_500);
const requestText = `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

// Guards against requests that are sent to servers long after their callers have left (violation GONE,
// issue 15). This happens if the end of a connection is noticed only after a server has been chosen for its request.
for (const leaves of [true, false]) {
  test(`a caller that ${leaves ? 'has left' : 'waits'} is detected when its request is read`, async (t) => {
    const results: boolean[] = [];
    const callers = 20;
    const server = createServer((request: IncomingMessage, response: ServerResponse) => {
      assert.ok(!request.socket.destroyed && !request.socket.readableEnded);
      void callerLeft(request).then((left) => {
        results.push(left);
        request.resume();
        response.end();
        if (results.length === callers) server.emit('checked');
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
