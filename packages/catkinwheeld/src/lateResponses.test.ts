// A server sends a second response to a request on a connection that the router reuses for other requests.
// Each case guards against forwarding that late response as the response to another request.
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { startRouter } from './datapathFakes.test.js';
import {
  Caller,
  chunk,
  responseHead,
  startServer,
  completeResponse,
  delay,
} from './rawConnections.test.js';

interface LateResponseCase {
  readonly name: string;
  /** The second response to `request`. */
  readonly late: (request: string) => string;
}

const failureWithoutId = (status: string): string =>
  `HTTP/1.1 ${status}\r\nretry-after: 1\r\ncontent-length: 6\r\n\r\nfailed`;
const lateResponses: readonly LateResponseCase[] = [
  { name: 'the same response', late: (request) => completeResponse(request, 'first') },
  {
    name: 'a response without a body',
    late: (request) => responseHead(request, '', '204 No Content'),
  },
  {
    name: 'a chunked response',
    late: (request) =>
      `${responseHead(request, 'transfer-encoding: chunked\r\n')}${chunk('first')}0\r\n\r\n`,
  },
  {
    name: 'a truncated response',
    late: (request) => responseHead(request, 'content-length: 9\r\n'),
  },
  { name: 'a 200 without an id', late: () => failureWithoutId('200 OK') },
  { name: 'a 400 without an id', late: () => failureWithoutId('400 Bad Request') },
  { name: 'a 500 without an id', late: () => failureWithoutId('500 Internal Server Error') },
  { name: 'a 503 without an id', late: () => failureWithoutId('503 Service Unavailable') },
];

/** Sends `count` requests in sequence on one connection, and resolves with the responses. */
async function sendInSequence(
  url: string,
  entry: string,
  count: number,
): Promise<readonly string[]> {
  const caller = Caller.create(url);
  const methods = Array.from({ length: count }, () => 'GET');
  for (let asked = 1; asked <= count; asked += 1) {
    caller.send('GET', `/v1/services/${entry}/${asked}`);
    await caller.until(() => caller.responses(...methods).length > asked);
    // undici reuses a connection only after a turn of the event loop.
    await delay(60);
  }
  return caller.responses(...methods);
}

/** The path, which differs between the requests of `sendInSequence`. */
const pathIn = (request: string): string => request.split(' ')[1] ?? '';

for (const { name, late } of lateResponses) {
  test(`${name} that arrives late, before the next request, is not taken for its response`, async () => {
    const p1 = await startServer((socket, request, count) => {
      socket.write(completeResponse(request, pathIn(request)));
      if (count === 1) setTimeout(() => socket.write(late(request)), 20);
    });
    const responses = await sendInSequence(await startRouter({ p1 }), 'desk', 3);
    assert.deepEqual(responses, ['200 /1', '200 /2', '200 /3', 'open']);
  });

  test(`${name} that arrives late, partly before and partly after the next request, is not taken for its response`, async () => {
    let rest = '';
    const p1 = await startServer((socket, request, count) => {
      if (count === 1) {
        const bytes = late(request);
        rest = bytes.slice(9);
        setTimeout(() => socket.write(bytes.slice(0, 9)), 20);
      } else if (count === 2) socket.write(rest);
      socket.write(completeResponse(request, pathIn(request)));
    });
    const responses = await sendInSequence(await startRouter({ p1 }), 'desk', 3);
    assert.doesNotMatch(responses.join(), /first|failed/);
    assert.deepEqual(responses.slice(2), ['200 /3', 'open']);
  });

  for (const isAnswered of [true, false]) {
    const then = isAnswered ? 'followed by its own response' : 'followed by nothing';
    test(`${name} that arrives late, after the next request, ${then}, is not taken for the response to that or a later one`, async () => {
      const connections: Socket[] = [];
      const p1 = await startServer((socket, request, count) => {
        connections.push(socket);
        if (count === 2) {
          socket.write(late(request.replace(/x-request-id: \S+/i, `x-request-id: first.1`)));
          if (!isAnswered) return;
        }
        setTimeout(
          () => socket.write(completeResponse(request, pathIn(request))),
          count === 2 ? 20 : 0,
        );
      });
      const responses = await sendInSequence(await startRouter({ p1 }), 'desk', 4);
      assert.equal(connections[0], connections[1]);
      assert.notEqual(connections[1], connections[2], 'the connection was used again');
      const second = '502 answerMismatch';
      assert.deepEqual(responses, ['200 /1', second, '200 /3', '200 /4', 'open']);
    });
  }

  test(`${name} that arrives late, after a request that may be retried, is not taken for its response`, async () => {
    const p1 = await startServer((socket, request, count) => {
      if (count === 2) socket.write(late(request.replace(/(x-request-id: )\S+/i, '$1first.1')));
      else socket.write(completeResponse(request, pathIn(request)));
    });
    const p2 = await startServer((socket, request) =>
      socket.write(completeResponse(request, 'second')),
    );
    const responses = await sendInSequence(await startRouter({ p1, p2 }), 'read', 3);
    assert.deepEqual(responses, ['200 /1', '200 second', '200 /3', 'open']);
  });
}

test('a second response to the first attempt is not taken for the response to the second attempt at the same server', async () => {
  const p1 = await startServer((socket, request, count) => {
    if (count === 1) {
      const refusal = responseHead(request, 'content-length: 0\r\n', '503 Service Unavailable');
      socket.write(refusal);
      setTimeout(() => {
        // The second attempt was sent meanwhile.
        socket.write(completeResponse(request, 'first'));
      }, 60);
    } else setTimeout(() => socket.write(completeResponse(request, 'own')), count === 2 ? 100 : 0);
  });
  const responses = await sendInSequence(await startRouter({ p1, p2: p1 }), 'read', 2);
  assert.deepEqual(responses, ['200 own', '200 own', 'open']);
});
