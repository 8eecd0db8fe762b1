// Responses that a server truncates, frames incorrectly or sends twice: checks every byte on the caller's
// connection, and whether the connection stays usable for the caller's next request.
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { startRouter, type ServerAddresses } from './datapathFakes.test.js';
import {
  Caller,
  chunk,
  responseHead,
  startServer,
  completeResponse,
  delay,
  type RequestHandler,
} from './rawConnections.test.js';

/** Larger than the responses that the router buffers until they are complete. */
const largeBody = 'l'.repeat(70_000);
const largeLengthHeader = 'content-length: 100000\r\n';
const chunkedHeader = 'transfer-encoding: chunked\r\n';
const closeHeader = 'connection: close\r\n';
const resetAfterDelay = (socket: Socket): void => {
  setTimeout(() => socket.resetAndDestroy(), 30);
};

interface FramingCase {
  readonly name: string;
  /** Sends the response to the first request. */
  readonly first: (socket: Socket, request: string) => void;
  readonly method?: string;
  /** Expected response from an entry that is not idempotent, so that the request is not retried. */
  readonly expectedWithoutRetry: string;
  /** Expected response from an idempotent entry; a retry goes to a server that responds `second`. */
  readonly expectedWithRetry: string;
  /** Whether the caller's connection stays open for its next request. */
  readonly keepsConnection: boolean;
}

// Each case guards against wrong bytes in a response: a truncated response that looks complete, surplus
// bytes, or bytes of another execution of the request.
const cases: readonly FramingCase[] = [
  {
    name: 'a complete response',
    first: (socket, request) => socket.write(completeResponse(request, 'hello')),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a complete chunked response from a server that closes the connection',
    first: (socket, request) =>
      socket.end(`${responseHead(request, chunkedHeader + closeHeader)}${chunk('hello')}0\r\n\r\n`),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a complete chunked response with a trailer',
    first: (socket, request) =>
      socket.write(`${responseHead(request, chunkedHeader)}${chunk('hello')}0\r\nx-sum: 1\r\n\r\n`),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a complete response after informational responses',
    first: (socket, request) =>
      socket.write(
        `HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n${completeResponse(request, 'hello')}`,
      ),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a response after an unsolicited 100 Continue',
    first: (socket, request) =>
      socket.write(`HTTP/1.1 100 Continue\r\n\r\n${completeResponse(request, 'hello')}`),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'a small response with fewer bytes than declared',
    first: (socket, request) => socket.end(`${responseHead(request, 'content-length: 9\r\n')}part`),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'a large response with fewer bytes than declared that ends with FIN',
    first: (socket, request) => socket.end(responseHead(request, largeLengthHeader) + largeBody),
    expectedWithoutRetry: '200 l*70000 (cut)',
    expectedWithRetry: '200 l*70000 (cut)',
    keepsConnection: false,
  },
  {
    name: 'a large response that ends with a reset',
    first: (socket, request) => {
      socket.write(responseHead(request, largeLengthHeader) + largeBody);
      resetAfterDelay(socket);
    },
    expectedWithoutRetry: '200 l*70000 (cut)',
    expectedWithRetry: '200 l*70000 (cut)',
    keepsConnection: false,
  },
  {
    name: 'a large response with fewer bytes than declared and connection: close',
    first: (socket, request) =>
      socket.end(responseHead(request, largeLengthHeader + closeHeader) + largeBody),
    expectedWithoutRetry: '200 l*70000 (cut)',
    expectedWithRetry: '200 l*70000 (cut)',
    keepsConnection: false,
  },
  {
    name: 'a chunked response without its last chunk that ends with FIN',
    first: (socket, request) =>
      socket.end(`${responseHead(request, chunkedHeader)}${chunk('part')}`),
    expectedWithoutRetry: '200 part (cut)',
    expectedWithRetry: '200 part (cut)',
    keepsConnection: false,
  },
  {
    name: 'a chunked response without its last chunk, with connection: close, that ends with FIN',
    first: (socket, request) =>
      socket.end(`${responseHead(request, chunkedHeader + closeHeader)}${chunk('part')}`),
    expectedWithoutRetry: '200 part (cut)',
    expectedWithRetry: '200 part (cut)',
    keepsConnection: false,
  },
  {
    name: 'a response with connection: close that ends within a chunk',
    first: (socket, request) =>
      socket.end(`${responseHead(request, chunkedHeader + closeHeader)}${chunk('part')}9\r\nmore`),
    expectedWithoutRetry: '200 partmore (cut)',
    expectedWithRetry: '200 partmore (cut)',
    keepsConnection: false,
  },
  {
    name: 'a chunked response with connection: close that ends with a reset',
    first: (socket, request) => {
      socket.write(`${responseHead(request, chunkedHeader + closeHeader)}${chunk('part')}`);
      resetAfterDelay(socket);
    },
    expectedWithoutRetry: '200 part (cut)',
    expectedWithRetry: '200 part (cut)',
    keepsConnection: false,
  },
  {
    name: 'a chunked response with a chunk without a size',
    first: (socket, request) => {
      socket.write(`${responseHead(request, chunkedHeader)}${chunk('part')}nonsense\r\n`);
    },
    expectedWithoutRetry: '200 part (cut)',
    expectedWithRetry: '200 part (cut)',
    keepsConnection: false,
  },
  {
    name: 'a response without a length that ends with FIN',
    first: (socket, request) => socket.end(`${responseHead(request, closeHeader)}part`),
    expectedWithoutRetry: '502 truncatedAnswer',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'a response without a length that ends with a reset',
    first: (socket, request) => {
      socket.write(`${responseHead(request, closeHeader)}part`);
      resetAfterDelay(socket);
    },
    expectedWithoutRetry: '502 truncatedAnswer',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'an HTTP/1.0 response without a length',
    first: (socket, request) => socket.end(`${responseHead(request).replace('/1.1', '/1.0')}part`),
    expectedWithoutRetry: '502 truncatedAnswer',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'a response with content-length before transfer-encoding: chunked',
    first: (socket, request) =>
      socket.write(
        `${responseHead(request, `content-length: 99\r\n${chunkedHeader}`)}${chunk('part')}0\r\n\r\n`,
      ),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'a response with content-length after transfer-encoding: chunked',
    first: (socket, request) =>
      socket.write(
        `${responseHead(request, `${chunkedHeader}content-length: 99\r\n`)}${chunk('part')}0\r\n\r\n`,
      ),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'a response with two content-length fields',
    first: (socket, request) =>
      socket.write(`${responseHead(request, 'content-length: 4\r\ncontent-length: 9\r\n')}part`),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'a response with a transfer coding other than chunked',
    first: (socket, request) =>
      socket.end(`${responseHead(request, 'transfer-encoding: gzip\r\n')}part`),
    expectedWithoutRetry: '502 truncatedAnswer',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    // Transfer codings are hop-by-hop, so the caller would not learn that the body is compressed.
    name: 'a response with a transfer coding besides chunked',
    first: (socket, request) =>
      socket.write(
        `${responseHead(request, 'transfer-encoding: gzip, chunked\r\n')}${chunk('part')}0\r\n\r\n`,
      ),
    expectedWithoutRetry: '502 truncatedAnswer',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'a response that switches protocols',
    first: (socket, request) =>
      socket.write(responseHead(request, 'upgrade: x\r\nconnection: upgrade\r\n', '101 Switching')),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'a response followed by bytes beyond its declared length',
    first: (socket, request) => socket.write(`${completeResponse(request, 'hello')}stray`),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a large response followed by bytes beyond its declared length',
    first: (socket, request) => socket.write(`${completeResponse(request, largeBody)}stray`),
    expectedWithoutRetry: '200 l*70000',
    expectedWithRetry: '200 l*70000',
    keepsConnection: true,
  },
  {
    name: 'a response followed after a delay by bytes beyond its declared length',
    first: (socket, request) => {
      socket.write(completeResponse(request, 'hello'));
      setTimeout(() => socket.write('stray'), 30);
    },
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a response followed by a second one',
    first: (socket, request) =>
      socket.write(completeResponse(request, 'hello') + completeResponse(request, 'again')),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a chunked response followed by bytes after its last chunk',
    first: (socket, request) =>
      socket.write(`${responseHead(request, chunkedHeader)}${chunk('hello')}0\r\n\r\nstray`),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a bodiless status without a length',
    first: (socket, request) => socket.write(responseHead(request, '', '204 No Content')),
    expectedWithoutRetry: '204 length none',
    expectedWithRetry: '204 length none',
    keepsConnection: true,
  },
  {
    // RFC 9110 forbids the length, and a caller that relies on it would wait for the bytes.
    name: 'a bodiless status that declares a length',
    first: (socket, request) =>
      socket.write(responseHead(request, 'content-length: 4\r\n', '204 No Content')),
    expectedWithoutRetry: '204 length none',
    expectedWithRetry: '204 length none',
    keepsConnection: true,
  },
  {
    name: 'a bodiless status that is followed by a body',
    first: (socket, request) =>
      socket.write(`${responseHead(request, 'content-length: 4\r\n', '204 No Content')}part`),
    expectedWithoutRetry: '204 length none',
    expectedWithRetry: '204 length none',
    keepsConnection: true,
  },
  {
    name: 'a 304 response that declares a length',
    first: (socket, request) =>
      socket.write(responseHead(request, 'content-length: 4\r\n', '304 Not Modified')),
    expectedWithoutRetry: '304 length 4',
    expectedWithRetry: '304 length 4',
    keepsConnection: true,
  },
  {
    name: 'a response to HEAD that declares a length',
    method: 'HEAD',
    first: (socket, request) => socket.write(responseHead(request, 'content-length: 4\r\n')),
    expectedWithoutRetry: '200 length 4',
    expectedWithRetry: '200 length 4',
    keepsConnection: true,
  },
  {
    name: 'a response to HEAD that declares a large length',
    method: 'HEAD',
    first: (socket, request) => socket.write(responseHead(request, largeLengthHeader)),
    expectedWithoutRetry: '200 length 100000',
    expectedWithRetry: '200 length 100000',
    keepsConnection: true,
  },
  {
    name: 'a response to HEAD without framing',
    method: 'HEAD',
    first: (socket, request) => socket.write(responseHead(request)),
    expectedWithoutRetry: '200 length none',
    expectedWithRetry: '200 length none',
    keepsConnection: true,
  },
  {
    name: 'a response to HEAD with transfer-encoding: chunked',
    method: 'HEAD',
    first: (socket, request) => socket.write(responseHead(request, chunkedHeader)),
    expectedWithoutRetry: '200 length none',
    expectedWithRetry: '200 length none',
    keepsConnection: true,
  },
  {
    name: 'a response to HEAD that is followed by a body',
    method: 'HEAD',
    first: (socket, request) =>
      socket.write(`${responseHead(request, 'content-length: 4\r\n')}part`),
    expectedWithoutRetry: '200 length 4',
    expectedWithRetry: '200 length 4',
    keepsConnection: true,
  },
];

/** Sends the case's response to the first request and `next` to all others. */
function firstThenNext(first: FramingCase['first']): RequestHandler {
  return (socket, request, count) => {
    if (count === 1) first(socket, request);
    else socket.write(completeResponse(request, 'next'));
  };
}

for (const {
  name,
  first,
  method = 'GET',
  expectedWithoutRetry,
  expectedWithRetry,
  keepsConnection,
} of cases) {
  for (const [entry, expected] of [
    ['desk', expectedWithoutRetry],
    ['read', expectedWithRetry],
  ] as const) {
    test(`${name}: the caller of ${entry} gets only bytes of its response and keeps its connection only if it is complete`, async () => {
      const p1 = await startServer(firstThenNext(first));
      const p2 = await startServer((socket, request, count) =>
        socket.write(
          completeResponse(request, count === 1 && expected.endsWith('second') ? 'second' : 'next'),
        ),
      );
      const caller = Caller.create(await startRouter({ p1, p2 }));
      caller.send(method, `/v1/services/${entry}/x`);
      await caller.until(() => /^HTTP.*\r\n\r\n/s.test(caller.text));
      await delay(100);
      if (keepsConnection) caller.send('GET', `/v1/services/${entry}/y`);
      await caller.until(() => caller.text.endsWith('next'));
      await delay(50);
      assert.deepEqual(
        caller.responses(method, 'GET'),
        keepsConnection ? [expected, '200 next', 'open'] : [expected, 'closed'],
      );
    });
  }
}

const eventStreamHeader = 'content-type: text/event-stream\r\n';
const tokenEvent = (content: string): string =>
  `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`;
const chatBody = JSON.stringify({ model: 'chat', stream: true, messages: [] });

/** Resolves with the responses to two chat requests in sequence on one connection, and its state. */
async function chat(addresses: ServerAddresses): Promise<readonly string[]> {
  const caller = Caller.create(await startRouter(addresses));
  caller.send('POST', '/v1/chat/completions', chatBody);
  await caller.until(() => caller.text.endsWith('\r\n0\r\n\r\n'));
  const length = caller.text.length;
  caller.send('POST', '/v1/chat/completions', chatBody);
  await caller.until(() => caller.text.length > length && caller.text.endsWith('\r\n0\r\n\r\n'));
  return caller.responses('POST', 'POST');
}

const completeStream = `${tokenEvent('a')}${tokenEvent('b')}data: [DONE]\n\n`;
const sendStream = (socket: Socket, request: string): void => {
  socket.write(
    `${responseHead(request, eventStreamHeader + chunkedHeader)}${chunk(completeStream)}0\r\n\r\n`,
  );
};
const streams: readonly (readonly [string, FramingCase['first']])[] = [
  // Guards against forwarding the server's content-length although the router frames the events itself.
  [
    'a stream whose head declares its length',
    (socket, request) =>
      socket.write(
        `${responseHead(request, `${eventStreamHeader}content-length: ${completeStream.length}\r\n`)}${completeStream}`,
      ),
  ],
  // Guards against a stream that counts as complete because its connection ended.
  [
    'a stream that declares a length and is truncated',
    (socket, request) =>
      socket.end(
        `${responseHead(request, `${eventStreamHeader}content-length: 9999\r\n`)}${tokenEvent('a')}data: {"cho`,
      ),
  ],
  [
    'a stream with connection: close that is truncated within an event',
    (socket, request) =>
      socket.end(
        `${responseHead(request, eventStreamHeader + chunkedHeader + closeHeader)}${chunk(`${tokenEvent('a')}data: {"cho`)}`,
      ),
  ],
  // Guards against bytes after the end mark, which belong to no response.
  [
    'a stream with events after its end mark',
    (socket, request) =>
      socket.write(
        `${responseHead(request, eventStreamHeader + chunkedHeader)}${chunk(completeStream + tokenEvent('c'))}0\r\n\r\nstray`,
      ),
  ],
];
for (const [name, first] of streams) {
  test(`${name}: the caller gets each token once in one complete response`, async () => {
    const e1 = await startServer((socket, request, count) => {
      if (count === 1) first(socket, request);
      else if (request.startsWith('GET /v1/streams')) {
        socket.write(
          `${responseHead(request, eventStreamHeader + chunkedHeader)}${chunk(`${tokenEvent('b')}data: [DONE]\n\n`)}0\r\n\r\n`,
        );
      } else sendStream(socket, request);
    });
    const completeResult = `200 ${completeStream}`;
    assert.deepEqual(await chat({ e1 }), [completeResult, completeResult, 'open']);
  });
}
