// What callers get of answers that servers break off, frame badly or send twice: every byte on the
// caller's connection, and whether the connection is kept for its next request.
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
} from './rawPeers.test.js';

/** More than is held back until it is whole. */
const largeBody = 'l'.repeat(70_000);
const largeLengthHeader = 'content-length: 100000\r\n';
const chunkedHeader = 'transfer-encoding: chunked\r\n';
const closeHeader = 'connection: close\r\n';
const resetAfterDelay = (socket: Socket): void => {
  setTimeout(() => socket.resetAndDestroy(), 30);
};

interface FramingCase {
  readonly name: string;
  /** Sends the answer to the first request. */
  readonly first: (socket: Socket, request: string) => void;
  readonly method?: string;
  /** The answer that the caller is to get when the work may run once. */
  readonly expectedWithoutRetry: string;
  /** And when it may run again, at a server that answers with `second`. */
  readonly expectedWithRetry: string;
  /** Whether the caller's connection is kept. */
  readonly keepsConnection: boolean;
}

// Each guards against bytes that are not the caller's: too few that look whole, too many, or of another run.
const cases: readonly FramingCase[] = [
  {
    name: 'a whole answer',
    first: (socket, request) => socket.write(completeResponse(request, 'hello')),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a whole answer in chunks of a server that closes',
    first: (socket, request) =>
      socket.end(`${responseHead(request, chunkedHeader + closeHeader)}${chunk('hello')}0\r\n\r\n`),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a whole answer in chunks with a trailer',
    first: (socket, request) =>
      socket.write(`${responseHead(request, chunkedHeader)}${chunk('hello')}0\r\nx-sum: 1\r\n\r\n`),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a whole answer behind interim ones',
    first: (socket, request) =>
      socket.write(
        `HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n${completeResponse(request, 'hello')}`,
      ),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'an answer behind leave to go on that nobody asked for',
    first: (socket, request) =>
      socket.write(`HTTP/1.1 100 Continue\r\n\r\n${completeResponse(request, 'hello')}`),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'a small answer with fewer bytes than declared',
    first: (socket, request) => socket.end(`${responseHead(request, 'content-length: 9\r\n')}part`),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'a large answer with fewer bytes than declared that ends in order',
    first: (socket, request) => socket.end(responseHead(request, largeLengthHeader) + largeBody),
    expectedWithoutRetry: '200 l*70000 (cut)',
    expectedWithRetry: '200 l*70000 (cut)',
    keepsConnection: false,
  },
  {
    name: 'a large answer that is reset',
    first: (socket, request) => {
      socket.write(responseHead(request, largeLengthHeader) + largeBody);
      resetAfterDelay(socket);
    },
    expectedWithoutRetry: '200 l*70000 (cut)',
    expectedWithRetry: '200 l*70000 (cut)',
    keepsConnection: false,
  },
  {
    name: 'a large answer of a server that closes, with fewer bytes than declared',
    first: (socket, request) =>
      socket.end(responseHead(request, largeLengthHeader + closeHeader) + largeBody),
    expectedWithoutRetry: '200 l*70000 (cut)',
    expectedWithRetry: '200 l*70000 (cut)',
    keepsConnection: false,
  },
  {
    name: 'chunks without their end on a connection that ends in order',
    first: (socket, request) =>
      socket.end(`${responseHead(request, chunkedHeader)}${chunk('part')}`),
    expectedWithoutRetry: '200 part (cut)',
    expectedWithRetry: '200 part (cut)',
    keepsConnection: false,
  },
  {
    name: 'chunks without their end of a server that closes in order',
    first: (socket, request) =>
      socket.end(`${responseHead(request, chunkedHeader + closeHeader)}${chunk('part')}`),
    expectedWithoutRetry: '200 part (cut)',
    expectedWithRetry: '200 part (cut)',
    keepsConnection: false,
  },
  {
    name: 'chunks of a server that closes, within one of which it ends',
    first: (socket, request) =>
      socket.end(`${responseHead(request, chunkedHeader + closeHeader)}${chunk('part')}9\r\nmore`),
    expectedWithoutRetry: '200 partmore (cut)',
    expectedWithRetry: '200 partmore (cut)',
    keepsConnection: false,
  },
  {
    name: 'chunks of a server that closes, and resets',
    first: (socket, request) => {
      socket.write(`${responseHead(request, chunkedHeader + closeHeader)}${chunk('part')}`);
      resetAfterDelay(socket);
    },
    expectedWithoutRetry: '200 part (cut)',
    expectedWithRetry: '200 part (cut)',
    keepsConnection: false,
  },
  {
    name: 'chunks, one of which has no size',
    first: (socket, request) => {
      socket.write(`${responseHead(request, chunkedHeader)}${chunk('part')}nonsense\r\n`);
    },
    expectedWithoutRetry: '200 part (cut)',
    expectedWithRetry: '200 part (cut)',
    keepsConnection: false,
  },
  {
    name: 'an answer without a length that ends in order',
    first: (socket, request) => socket.end(`${responseHead(request, closeHeader)}part`),
    expectedWithoutRetry: '502 truncatedAnswer',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'an answer without a length that is reset',
    first: (socket, request) => {
      socket.write(`${responseHead(request, closeHeader)}part`);
      resetAfterDelay(socket);
    },
    expectedWithoutRetry: '502 truncatedAnswer',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'an answer of HTTP 1.0 without a length',
    first: (socket, request) => socket.end(`${responseHead(request).replace('/1.1', '/1.0')}part`),
    expectedWithoutRetry: '502 truncatedAnswer',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'an answer with a length and chunks',
    first: (socket, request) =>
      socket.write(
        `${responseHead(request, `content-length: 99\r\n${chunkedHeader}`)}${chunk('part')}0\r\n\r\n`,
      ),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'an answer with chunks and a length',
    first: (socket, request) =>
      socket.write(
        `${responseHead(request, `${chunkedHeader}content-length: 99\r\n`)}${chunk('part')}0\r\n\r\n`,
      ),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'an answer with two lengths',
    first: (socket, request) =>
      socket.write(`${responseHead(request, 'content-length: 4\r\ncontent-length: 9\r\n')}part`),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'an answer with a coding that is not chunks',
    first: (socket, request) =>
      socket.end(`${responseHead(request, 'transfer-encoding: gzip\r\n')}part`),
    expectedWithoutRetry: '502 truncatedAnswer',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    // Its caller would not learn of the coding, which ends with the connection to the server.
    name: 'an answer with a coding besides chunks',
    first: (socket, request) =>
      socket.write(
        `${responseHead(request, 'transfer-encoding: gzip, chunked\r\n')}${chunk('part')}0\r\n\r\n`,
      ),
    expectedWithoutRetry: '502 truncatedAnswer',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'an answer that changes the protocol',
    first: (socket, request) =>
      socket.write(responseHead(request, 'upgrade: x\r\nconnection: upgrade\r\n', '101 Switching')),
    expectedWithoutRetry: '502 connectionLost',
    expectedWithRetry: '200 second',
    keepsConnection: true,
  },
  {
    name: 'bytes behind the declared length',
    first: (socket, request) => socket.write(`${completeResponse(request, 'hello')}stray`),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'bytes behind the declared length of a large answer',
    first: (socket, request) => socket.write(`${completeResponse(request, largeBody)}stray`),
    expectedWithoutRetry: '200 l*70000',
    expectedWithRetry: '200 l*70000',
    keepsConnection: true,
  },
  {
    name: 'bytes that come some time behind the declared length',
    first: (socket, request) => {
      socket.write(completeResponse(request, 'hello'));
      setTimeout(() => socket.write('stray'), 30);
    },
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a second answer behind the first',
    first: (socket, request) =>
      socket.write(completeResponse(request, 'hello') + completeResponse(request, 'again')),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'bytes behind the last chunk',
    first: (socket, request) =>
      socket.write(`${responseHead(request, chunkedHeader)}${chunk('hello')}0\r\n\r\nstray`),
    expectedWithoutRetry: '200 hello',
    expectedWithRetry: '200 hello',
    keepsConnection: true,
  },
  {
    name: 'a status without a body and without a length',
    first: (socket, request) => socket.write(responseHead(request, '', '204 No Content')),
    expectedWithoutRetry: '204 length none',
    expectedWithRetry: '204 length none',
    keepsConnection: true,
  },
  {
    // RFC 9110 forbids the length, and a caller that believes it waits for the bytes.
    name: 'a status without a body that declares a length',
    first: (socket, request) =>
      socket.write(responseHead(request, 'content-length: 4\r\n', '204 No Content')),
    expectedWithoutRetry: '204 length none',
    expectedWithRetry: '204 length none',
    keepsConnection: true,
  },
  {
    name: 'a status without a body that has one all the same',
    first: (socket, request) =>
      socket.write(`${responseHead(request, 'content-length: 4\r\n', '204 No Content')}part`),
    expectedWithoutRetry: '204 length none',
    expectedWithRetry: '204 length none',
    keepsConnection: true,
  },
  {
    name: 'the length of what has not changed',
    first: (socket, request) =>
      socket.write(responseHead(request, 'content-length: 4\r\n', '304 Not Modified')),
    expectedWithoutRetry: '304 length 4',
    expectedWithRetry: '304 length 4',
    keepsConnection: true,
  },
  {
    name: 'the length that a head alone declares',
    method: 'HEAD',
    first: (socket, request) => socket.write(responseHead(request, 'content-length: 4\r\n')),
    expectedWithoutRetry: '200 length 4',
    expectedWithRetry: '200 length 4',
    keepsConnection: true,
  },
  {
    name: 'the large length that a head alone declares',
    method: 'HEAD',
    first: (socket, request) => socket.write(responseHead(request, largeLengthHeader)),
    expectedWithoutRetry: '200 length 100000',
    expectedWithRetry: '200 length 100000',
    keepsConnection: true,
  },
  {
    name: 'a head alone without framing',
    method: 'HEAD',
    first: (socket, request) => socket.write(responseHead(request)),
    expectedWithoutRetry: '200 length none',
    expectedWithRetry: '200 length none',
    keepsConnection: true,
  },
  {
    name: 'a head alone with chunks',
    method: 'HEAD',
    first: (socket, request) => socket.write(responseHead(request, chunkedHeader)),
    expectedWithoutRetry: '200 length none',
    expectedWithRetry: '200 length none',
    keepsConnection: true,
  },
  {
    name: 'a body where a head alone was asked for',
    method: 'HEAD',
    first: (socket, request) =>
      socket.write(`${responseHead(request, 'content-length: 4\r\n')}part`),
    expectedWithoutRetry: '200 length 4',
    expectedWithRetry: '200 length 4',
    keepsConnection: true,
  },
];

/** A server that answers its first request as in the case and all others with `next`. */
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
  expectedWithoutRetry: once,
  expectedWithRetry: again,
  keepsConnection: kept,
} of cases) {
  for (const [entry, expected] of [
    ['desk', once],
    ['read', again],
  ] as const) {
    test(`of ${name}, the caller of ${entry} gets its own bytes and keeps its connection only behind a whole answer`, async () => {
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
      if (kept) caller.send('GET', `/v1/services/${entry}/y`);
      await caller.until(() => caller.text.endsWith('next'));
      await delay(50);
      assert.deepEqual(
        caller.answers(method, 'GET'),
        kept ? [expected, '200 next', 'open'] : [expected, 'closed'],
      );
    });
  }
}

const eventStreamHeader = 'content-type: text/event-stream\r\n';
const tokenEvent = (content: string): string =>
  `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`;
const chatBody = JSON.stringify({ model: 'chat', stream: true, messages: [] });

/** Resolves with the answers to a chat request and to a second one on the same connection. */
async function chat(addresses: ServerAddresses): Promise<readonly string[]> {
  const caller = Caller.create(await startRouter(addresses));
  caller.send('POST', '/v1/chat/completions', chatBody);
  await caller.until(() => caller.text.endsWith('\r\n0\r\n\r\n'));
  const length = caller.text.length;
  caller.send('POST', '/v1/chat/completions', chatBody);
  await caller.until(() => caller.text.length > length && caller.text.endsWith('\r\n0\r\n\r\n'));
  return caller.answers('POST', 'POST');
}

const completeStream = `${tokenEvent('a')}${tokenEvent('b')}data: [DONE]\n\n`;
const sendStream = (socket: Socket, request: string): void => {
  socket.write(
    `${responseHead(request, eventStreamHeader + chunkedHeader)}${chunk(completeStream)}0\r\n\r\n`,
  );
};
const streams: readonly (readonly [string, FramingCase['first']])[] = [
  // Guards against a length of the server's bytes on events that are framed anew.
  [
    'a stream whose head declares its length',
    (socket, request) =>
      socket.write(
        `${responseHead(request, `${eventStreamHeader}content-length: ${completeStream.length}\r\n`)}${completeStream}`,
      ),
  ],
  // Guards against a stream that counts as whole by its connection's end.
  [
    'a stream that declares a length and is cut within it',
    (socket, request) =>
      socket.end(
        `${responseHead(request, `${eventStreamHeader}content-length: 9999\r\n`)}${tokenEvent('a')}data: {"cho`,
      ),
  ],
  [
    'a stream of a server that closes and is cut within an event',
    (socket, request) =>
      socket.end(
        `${responseHead(request, eventStreamHeader + chunkedHeader + closeHeader)}${chunk(`${tokenEvent('a')}data: {"cho`)}`,
      ),
  ],
  // Guards against bytes behind the end mark, which would belong to no answer.
  [
    'a stream with events behind its end mark',
    (socket, request) =>
      socket.write(
        `${responseHead(request, eventStreamHeader + chunkedHeader)}${chunk(completeStream + tokenEvent('c'))}0\r\n\r\nstray`,
      ),
  ],
];
for (const [name, first] of streams) {
  test(`of ${name}, the caller gets each token once in one whole answer`, async () => {
    const e1 = await startServer((socket, request, count) => {
      if (count === 1) first(socket, request);
      else if (request.startsWith('GET /v1/streams')) {
        socket.write(
          `${responseHead(request, eventStreamHeader + chunkedHeader)}${chunk(`${tokenEvent('b')}data: [DONE]\n\n`)}0\r\n\r\n`,
        );
      } else sendStream(socket, request);
    });
    const completeAnswer = `200 ${completeStream}`;
    assert.deepEqual(await chat({ e1 }), [completeAnswer, completeAnswer, 'open']);
  });
}
