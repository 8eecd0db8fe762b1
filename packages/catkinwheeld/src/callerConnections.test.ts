// State of a caller's connection after a truncated response or a malformed request: the caller may read
// slowly, use HTTP/1.0, or have pipelined more requests on the same connection.
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

const largeBody = 'l'.repeat(8 * 1024 * 1024);
const partialBody = 'p'.repeat(70_000);
const chunkedHeader = 'transfer-encoding: chunked\r\n';

/** Sends the beginning of a response, and ends the connection once the system accepted all bytes. */
function truncateResponse(fields: string, body: string, endConnection: (socket: Socket) => void) {
  return (socket: Socket, request: string): void => {
    socket.write(responseHead(request, fields) + body, () => {
      setTimeout(endConnection, 50, socket);
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
for (const [ending, endConnection] of endings) {
  for (const [framing, fields, body] of framings) {
    // Guards against a connection that stays open because its caller does not read, and a truncated response
    // that looks complete.
    test(`a response with ${framing} whose server connection ${ending} closes the connection of a slowly reading caller`, async () => {
      const p1 = await startServer(truncateResponse(fields, body, endConnection));
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
      assert.match(caller.responses('GET')[0] ?? '', /^200 l\*\d+ \(cut\)$/);
      assert.notEqual(caller.state, 'open');
    });
  }

  // HTTP/1.0 marks the end of such a response by closing the connection. Guards against a truncated response
  // that ends the same way and so looks complete.
  test(`a response whose server connection ${ending} does not look complete to an HTTP/1.0 caller`, async () => {
    const p1 = await startServer(truncateResponse(chunkedHeader, chunk('part'), endConnection));
    const caller = Caller.create(await startRouter({ p1 }));
    caller.send('GET', '/v1/services/desk/x', '', '1.0');
    await caller.until(() => false);
    assert.equal(caller.state, 'reset');
  });

  // Guards against a response that is sent in the place of the one before it.
  test(`a pipelined response whose server connection ${ending} closes the caller connection only after the complete response before it`, async () => {
    const p1 = await startServer((socket, request) => {
      if (request.includes(' /slow '))
        setTimeout(() => socket.write(completeResponse(request, 'hello')), 200);
      else
        truncateResponse(
          'content-length: 99999999\r\n',
          partialBody,
          endConnection,
        )(socket, request);
    });
    const caller = Caller.create(await startRouter({ p1 }));
    caller.send('GET', '/v1/services/desk/slow');
    caller.send('GET', '/v1/services/desk/x');
    caller.send('GET', '/v1/services/desk/slow');
    await caller.until(() => false);
    assert.equal(caller.responses('GET', 'GET')[0], '200 hello');
    assert.match(caller.responses('GET', 'GET')[1] ?? 'closed', /^(200 p\*\d+ \(cut\)|closed)$/);
    assert.equal(caller.state, 'closed');
  });
}

// A refusal states that the request did not run. Guards against sending it in the place of the response to a
// running request.
for (const [name, text] of [
  ['a request without a valid request line', 'nonsense\r\n\r\n'],
  [
    'a request with an invalid content-length',
    'POST /v1/services/desk/y HTTP/1.1\r\nContent-Length: x\r\n\r\n',
  ],
] as const) {
  test(`${name} after a running request does not replace its response`, async () => {
    const p1 = await startServer((socket, request) => {
      setTimeout(() => socket.write(completeResponse(request, 'hello')), 100);
    });
    const caller = Caller.create(await startRouter({ p1 }));
    caller.send('POST', '/v1/services/desk/x');
    caller.socket.write(text);
    await caller.until(() => false);
    assert.deepEqual(caller.responses('POST', 'POST'), ['200 hello', '400 badRequest', 'closed']);
  });

  test(`${name} after a running and a refused request replaces neither of their responses`, async () => {
    const p1 = await startServer((socket, request) => {
      setTimeout(() => socket.write(completeResponse(request, 'hello')), 100);
    });
    const caller = Caller.create(await startRouter({ p1 }));
    caller.send('POST', '/v1/services/desk/x');
    caller.send('POST', '/v1/services/none/x');
    caller.socket.write(text);
    await caller.until(() => false);
    assert.deepEqual(caller.responses('POST', 'POST', 'POST'), [
      '200 hello',
      '404 unknownEntry',
      '400 badRequest',
      'closed',
    ]);
  });
}

// Guards against a second response to one request, which its caller would take for that of its next one.
test('a refused request with malformed chunks in its body gets exactly one response', async () => {
  const caller = Caller.create(await startRouter({}));
  caller.socket.write(
    'POST /v1/services/none/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n',
  );
  await caller.until(() => caller.text.includes('HTTP/1.1 401'));
  caller.socket.write('nonsense\r\n');
  await caller.until(() => false);
  assert.deepEqual(caller.responses('POST'), ['401 unauthenticated', 'closed']);
});
