// What becomes of a caller's connection when its answer breaks off: the caller may read slowly or not at
// all, speak HTTP 1.0, or have asked for more on the same connection already.
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
} from './rawPeers.test.js';

const largeBody = 'l'.repeat(8 * 1024 * 1024);
const partialBody = 'p'.repeat(70_000);
const chunkedHeader = 'transfer-encoding: chunked\r\n';

/** Sends a large part of an answer, and breaks it off once all of it was handed to the system. */
function truncateResponse(fields: string, body: string, breaks: (socket: Socket) => void) {
  return (socket: Socket, request: string): void => {
    socket.write(responseHead(request, fields) + body, () => {
      setTimeout(breaks, 50, socket);
    });
  };
}

const endings: readonly (readonly [string, (socket: Socket) => void])[] = [
  ['is closed', (socket) => socket.end()],
  ['is reset', (socket) => socket.resetAndDestroy()],
];
const framings: readonly (readonly [string, string, string])[] = [
  ['a length', 'content-length: 99999999\r\n', largeBody],
  ['chunks', chunkedHeader, chunk(largeBody)],
];
for (const [ending, breaks] of endings) {
  for (const [framing, fields, body] of framings) {
    // Guards against a connection that stays open for want of a reader, and an answer that looks whole.
    test(`an answer with ${framing} that ${ending} closes the connection of a caller that reads slowly`, async () => {
      const p1 = await startServer(truncateResponse(fields, body, breaks));
      const caller = Caller.create(await startRouter({ p1 }));
      caller.send('GET', '/v1/services/desk/x');
      caller.socket.pause();
      await delay(300);
      const readTimer = setInterval(() => {
        caller.socket.resume();
        setImmediate(() => caller.socket.pause());
      }, 5);
      try {
        await caller.until(() => false);
      } finally {
        clearInterval(readTimer);
      }
      assert.match(caller.answers('GET')[0] ?? '', /^200 l\*\d+ \(cut\)$/);
      assert.notEqual(caller.state, 'open');
    });
  }

  // Guards against an answer whose end is told by the connection alone, and which would look whole.
  test(`an answer that ${ending} does not look whole to a caller of HTTP 1.0`, async () => {
    const p1 = await startServer(truncateResponse(chunkedHeader, chunk('part'), breaks));
    const caller = Caller.create(await startRouter({ p1 }));
    caller.send('GET', '/v1/services/desk/x', '', '1.0');
    await caller.until(() => false);
    assert.equal(caller.state, 'reset');
  });

  // Guards against an answer that comes in the place of the one before it.
  test(`an answer that ${ending} cuts its caller off behind the whole one that was asked for before`, async () => {
    const p1 = await startServer((socket, request) => {
      if (request.includes(' /slow '))
        setTimeout(() => socket.write(completeResponse(request, 'hello')), 200);
      else truncateResponse('content-length: 99999999\r\n', partialBody, breaks)(socket, request);
    });
    const caller = Caller.create(await startRouter({ p1 }));
    caller.send('GET', '/v1/services/desk/slow');
    caller.send('GET', '/v1/services/desk/x');
    caller.send('GET', '/v1/services/desk/slow');
    await caller.until(() => false);
    assert.equal(caller.answers('GET', 'GET')[0], '200 hello');
    assert.match(caller.answers('GET', 'GET')[1] ?? 'closed', /^(200 p\*\d+ \(cut\)|closed)$/);
    assert.equal(caller.state, 'closed');
  });
}

// Guards against a refusal, which says that nothing ran, in the place of an answer to a request that runs.
for (const [name, text] of [
  ['no request', 'nonsense\r\n\r\n'],
  ['a broken request', 'POST /v1/services/desk/y HTTP/1.1\r\nContent-Length: x\r\n\r\n'],
] as const) {
  test(`${name} behind a request that runs takes nothing away from its answer`, async () => {
    const p1 = await startServer((socket, request) => {
      setTimeout(() => socket.write(completeResponse(request, 'hello')), 100);
    });
    const caller = Caller.create(await startRouter({ p1 }));
    caller.send('POST', '/v1/services/desk/x');
    caller.socket.write(text);
    await caller.until(() => false);
    assert.deepEqual(caller.answers('POST', 'POST'), ['200 hello', '400 badRequest', 'closed']);
  });

  test(`${name} behind a request that runs and one that was refused takes nothing away from either`, async () => {
    const p1 = await startServer((socket, request) => {
      setTimeout(() => socket.write(completeResponse(request, 'hello')), 100);
    });
    const caller = Caller.create(await startRouter({ p1 }));
    caller.send('POST', '/v1/services/desk/x');
    caller.send('POST', '/v1/services/none/x');
    caller.socket.write(text);
    await caller.until(() => false);
    assert.deepEqual(caller.answers('POST', 'POST', 'POST'), [
      '200 hello',
      '404 unknownEntry',
      '400 badRequest',
      'closed',
    ]);
  });
}

// Guards against a second answer to one request, which its caller would take for that of its next.
test('a refused request whose body is broken gets one answer', async () => {
  const caller = Caller.create(await startRouter({}));
  caller.socket.write(
    'POST /v1/services/none/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n',
  );
  await caller.until(() => caller.text.includes('HTTP/1.1 401'));
  caller.socket.write('nonsense\r\n');
  await caller.until(() => false);
  assert.deepEqual(caller.answers('POST'), ['401 unauthenticated', 'closed']);
});
