// What callers get of answers that servers break off, frame badly or send twice: every byte on the
// caller's connection, and whether the connection is kept for its next request.
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { start, type Addresses } from './datapathFakes.test.js';
import { Caller, chunk, head, serve, sized, wait, type Behaviour } from './rawPeers.test.js';

/** More than is held back until it is whole. */
const large = 'l'.repeat(70_000);
const largeHead = 'content-length: 100000\r\n';
const chunkedHead = 'transfer-encoding: chunked\r\n';
const closing = 'connection: close\r\n';
const reset = (socket: Socket): void => {
  setTimeout(() => socket.resetAndDestroy(), 30);
};

interface Case {
  readonly name: string;
  /** Sends the answer to the first request. */
  readonly first: (socket: Socket, request: string) => void;
  readonly method?: string;
  /** The answer that the caller is to get when the work may run once. */
  readonly once: string;
  /** And when it may run again, at a server that answers with `second`. */
  readonly again: string;
  /** Whether the caller's connection is kept. */
  readonly kept: boolean;
}

// Each guards against bytes that are not the caller's: too few that look whole, too many, or of another run.
const cases: readonly Case[] = [
  {
    name: 'a whole answer',
    first: (socket, request) => socket.write(sized(request, 'hello')),
    once: '200 hello',
    again: '200 hello',
    kept: true,
  },
  {
    name: 'a whole answer in chunks of a server that closes',
    first: (socket, request) =>
      socket.end(`${head(request, chunkedHead + closing)}${chunk('hello')}0\r\n\r\n`),
    once: '200 hello',
    again: '200 hello',
    kept: true,
  },
  {
    name: 'a whole answer in chunks with a trailer',
    first: (socket, request) =>
      socket.write(`${head(request, chunkedHead)}${chunk('hello')}0\r\nx-sum: 1\r\n\r\n`),
    once: '200 hello',
    again: '200 hello',
    kept: true,
  },
  {
    name: 'a whole answer behind interim ones',
    first: (socket, request) =>
      socket.write(
        `HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n${sized(request, 'hello')}`,
      ),
    once: '200 hello',
    again: '200 hello',
    kept: true,
  },
  {
    name: 'an answer behind leave to go on that nobody asked for',
    first: (socket, request) =>
      socket.write(`HTTP/1.1 100 Continue\r\n\r\n${sized(request, 'hello')}`),
    once: '502 connectionLost',
    again: '200 second',
    kept: true,
  },
  {
    name: 'a small answer with fewer bytes than declared',
    first: (socket, request) => socket.end(`${head(request, 'content-length: 9\r\n')}part`),
    once: '502 connectionLost',
    again: '200 second',
    kept: true,
  },
  {
    name: 'a large answer with fewer bytes than declared that ends in order',
    first: (socket, request) => socket.end(head(request, largeHead) + large),
    once: '200 l*70000 (cut)',
    again: '200 l*70000 (cut)',
    kept: false,
  },
  {
    name: 'a large answer that is reset',
    first: (socket, request) => {
      socket.write(head(request, largeHead) + large);
      reset(socket);
    },
    once: '200 l*70000 (cut)',
    again: '200 l*70000 (cut)',
    kept: false,
  },
  {
    name: 'a large answer of a server that closes, with fewer bytes than declared',
    first: (socket, request) => socket.end(head(request, largeHead + closing) + large),
    once: '200 l*70000 (cut)',
    again: '200 l*70000 (cut)',
    kept: false,
  },
  {
    name: 'chunks without their end on a connection that ends in order',
    first: (socket, request) => socket.end(`${head(request, chunkedHead)}${chunk('part')}`),
    once: '200 part (cut)',
    again: '200 part (cut)',
    kept: false,
  },
  {
    name: 'chunks without their end of a server that closes in order',
    first: (socket, request) =>
      socket.end(`${head(request, chunkedHead + closing)}${chunk('part')}`),
    once: '200 part (cut)',
    again: '200 part (cut)',
    kept: false,
  },
  {
    name: 'chunks of a server that closes, within one of which it ends',
    first: (socket, request) =>
      socket.end(`${head(request, chunkedHead + closing)}${chunk('part')}9\r\nmore`),
    once: '200 partmore (cut)',
    again: '200 partmore (cut)',
    kept: false,
  },
  {
    name: 'chunks of a server that closes, and resets',
    first: (socket, request) => {
      socket.write(`${head(request, chunkedHead + closing)}${chunk('part')}`);
      reset(socket);
    },
    once: '200 part (cut)',
    again: '200 part (cut)',
    kept: false,
  },
  {
    name: 'chunks, one of which has no size',
    first: (socket, request) => {
      socket.write(`${head(request, chunkedHead)}${chunk('part')}nonsense\r\n`);
    },
    once: '200 part (cut)',
    again: '200 part (cut)',
    kept: false,
  },
  {
    name: 'an answer without a length that ends in order',
    first: (socket, request) => socket.end(`${head(request, closing)}part`),
    once: '502 truncatedAnswer',
    again: '200 second',
    kept: true,
  },
  {
    name: 'an answer without a length that is reset',
    first: (socket, request) => {
      socket.write(`${head(request, closing)}part`);
      reset(socket);
    },
    once: '502 truncatedAnswer',
    again: '200 second',
    kept: true,
  },
  {
    name: 'an answer of HTTP 1.0 without a length',
    first: (socket, request) => socket.end(`${head(request).replace('/1.1', '/1.0')}part`),
    once: '502 truncatedAnswer',
    again: '200 second',
    kept: true,
  },
  {
    name: 'an answer with a length and chunks',
    first: (socket, request) =>
      socket.write(
        `${head(request, `content-length: 99\r\n${chunkedHead}`)}${chunk('part')}0\r\n\r\n`,
      ),
    once: '502 connectionLost',
    again: '200 second',
    kept: true,
  },
  {
    name: 'an answer with chunks and a length',
    first: (socket, request) =>
      socket.write(
        `${head(request, `${chunkedHead}content-length: 99\r\n`)}${chunk('part')}0\r\n\r\n`,
      ),
    once: '502 connectionLost',
    again: '200 second',
    kept: true,
  },
  {
    name: 'an answer with two lengths',
    first: (socket, request) =>
      socket.write(`${head(request, 'content-length: 4\r\ncontent-length: 9\r\n')}part`),
    once: '502 connectionLost',
    again: '200 second',
    kept: true,
  },
  {
    name: 'an answer with a coding that is not chunks',
    first: (socket, request) => socket.end(`${head(request, 'transfer-encoding: gzip\r\n')}part`),
    once: '502 truncatedAnswer',
    again: '200 second',
    kept: true,
  },
  {
    // Its caller would not learn of the coding, which ends with the connection to the server.
    name: 'an answer with a coding besides chunks',
    first: (socket, request) =>
      socket.write(
        `${head(request, 'transfer-encoding: gzip, chunked\r\n')}${chunk('part')}0\r\n\r\n`,
      ),
    once: '502 truncatedAnswer',
    again: '200 second',
    kept: true,
  },
  {
    name: 'an answer that changes the protocol',
    first: (socket, request) =>
      socket.write(head(request, 'upgrade: x\r\nconnection: upgrade\r\n', '101 Switching')),
    once: '502 connectionLost',
    again: '200 second',
    kept: true,
  },
  {
    name: 'bytes behind the declared length',
    first: (socket, request) => socket.write(`${sized(request, 'hello')}stray`),
    once: '200 hello',
    again: '200 hello',
    kept: true,
  },
  {
    name: 'bytes behind the declared length of a large answer',
    first: (socket, request) => socket.write(`${sized(request, large)}stray`),
    once: '200 l*70000',
    again: '200 l*70000',
    kept: true,
  },
  {
    name: 'bytes that come some time behind the declared length',
    first: (socket, request) => {
      socket.write(sized(request, 'hello'));
      setTimeout(() => socket.write('stray'), 30);
    },
    once: '200 hello',
    again: '200 hello',
    kept: true,
  },
  {
    name: 'a second answer behind the first',
    first: (socket, request) => socket.write(sized(request, 'hello') + sized(request, 'again')),
    once: '200 hello',
    again: '200 hello',
    kept: true,
  },
  {
    name: 'bytes behind the last chunk',
    first: (socket, request) =>
      socket.write(`${head(request, chunkedHead)}${chunk('hello')}0\r\n\r\nstray`),
    once: '200 hello',
    again: '200 hello',
    kept: true,
  },
  {
    name: 'a status without a body and without a length',
    first: (socket, request) => socket.write(head(request, '', '204 No Content')),
    once: '204 length none',
    again: '204 length none',
    kept: true,
  },
  {
    // RFC 9110 forbids the length, and a caller that believes it waits for the bytes.
    name: 'a status without a body that declares a length',
    first: (socket, request) =>
      socket.write(head(request, 'content-length: 4\r\n', '204 No Content')),
    once: '204 length none',
    again: '204 length none',
    kept: true,
  },
  {
    name: 'a status without a body that has one all the same',
    first: (socket, request) =>
      socket.write(`${head(request, 'content-length: 4\r\n', '204 No Content')}part`),
    once: '204 length none',
    again: '204 length none',
    kept: true,
  },
  {
    name: 'the length of what has not changed',
    first: (socket, request) =>
      socket.write(head(request, 'content-length: 4\r\n', '304 Not Modified')),
    once: '304 length 4',
    again: '304 length 4',
    kept: true,
  },
  {
    name: 'the length that a head alone declares',
    method: 'HEAD',
    first: (socket, request) => socket.write(head(request, 'content-length: 4\r\n')),
    once: '200 length 4',
    again: '200 length 4',
    kept: true,
  },
  {
    name: 'the large length that a head alone declares',
    method: 'HEAD',
    first: (socket, request) => socket.write(head(request, largeHead)),
    once: '200 length 100000',
    again: '200 length 100000',
    kept: true,
  },
  {
    name: 'a head alone without framing',
    method: 'HEAD',
    first: (socket, request) => socket.write(head(request)),
    once: '200 length none',
    again: '200 length none',
    kept: true,
  },
  {
    name: 'a head alone with chunks',
    method: 'HEAD',
    first: (socket, request) => socket.write(head(request, chunkedHead)),
    once: '200 length none',
    again: '200 length none',
    kept: true,
  },
  {
    name: 'a body where a head alone was asked for',
    method: 'HEAD',
    first: (socket, request) => socket.write(`${head(request, 'content-length: 4\r\n')}part`),
    once: '200 length 4',
    again: '200 length 4',
    kept: true,
  },
];

/** A server that answers its first request as in the case and all others with `next`. */
function firstThenNext(first: Case['first']): Behaviour {
  return (socket, request, count) => {
    if (count === 1) first(socket, request);
    else socket.write(sized(request, 'next'));
  };
}

for (const { name, first, method = 'GET', once, again, kept } of cases) {
  for (const [entry, expected] of [
    ['desk', once],
    ['read', again],
  ] as const) {
    test(`of ${name}, the caller of ${entry} gets its own bytes and keeps its connection only behind a whole answer`, async () => {
      const p1 = await serve(firstThenNext(first));
      const p2 = await serve((socket, request, count) =>
        socket.write(
          sized(request, count === 1 && expected.endsWith('second') ? 'second' : 'next'),
        ),
      );
      const caller = Caller.create(await start({ p1, p2 }));
      caller.ask(method, `/v1/services/${entry}/x`);
      await caller.until(() => /^HTTP.*\r\n\r\n/s.test(caller.text));
      await wait(100);
      if (kept) caller.ask('GET', `/v1/services/${entry}/y`);
      await caller.until(() => caller.text.endsWith('next'));
      await wait(50);
      assert.deepEqual(
        caller.answers(method, 'GET'),
        kept ? [expected, '200 next', 'open'] : [expected, 'closed'],
      );
    });
  }
}

const events = 'content-type: text/event-stream\r\n';
const token = (content: string): string =>
  `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`;
const chatBody = JSON.stringify({ model: 'chat', stream: true, messages: [] });

/** Resolves with the answers to a chat request and to a second one on the same connection. */
async function chat(addresses: Addresses): Promise<readonly string[]> {
  const caller = Caller.create(await start(addresses));
  caller.ask('POST', '/v1/chat/completions', chatBody);
  await caller.until(() => caller.text.endsWith('\r\n0\r\n\r\n'));
  const length = caller.text.length;
  caller.ask('POST', '/v1/chat/completions', chatBody);
  await caller.until(() => caller.text.length > length && caller.text.endsWith('\r\n0\r\n\r\n'));
  return caller.answers('POST', 'POST');
}

const wholeStream = `${token('a')}${token('b')}data: [DONE]\n\n`;
const sendStream = (socket: Socket, request: string): void => {
  socket.write(`${head(request, events + chunkedHead)}${chunk(wholeStream)}0\r\n\r\n`);
};
const streams: readonly (readonly [string, Case['first']])[] = [
  // Guards against a length of the server's bytes on events that are framed anew.
  [
    'a stream whose head declares its length',
    (socket, request) =>
      socket.write(
        `${head(request, `${events}content-length: ${wholeStream.length}\r\n`)}${wholeStream}`,
      ),
  ],
  // Guards against a stream that counts as whole by its connection's end.
  [
    'a stream that declares a length and is cut within it',
    (socket, request) =>
      socket.end(`${head(request, `${events}content-length: 9999\r\n`)}${token('a')}data: {"cho`),
  ],
  [
    'a stream of a server that closes and is cut within an event',
    (socket, request) =>
      socket.end(
        `${head(request, events + chunkedHead + closing)}${chunk(`${token('a')}data: {"cho`)}`,
      ),
  ],
  // Guards against bytes behind the end mark, which would belong to no answer.
  [
    'a stream with events behind its end mark',
    (socket, request) =>
      socket.write(
        `${head(request, events + chunkedHead)}${chunk(wholeStream + token('c'))}0\r\n\r\nstray`,
      ),
  ],
];
for (const [name, first] of streams) {
  test(`of ${name}, the caller gets each token once in one whole answer`, async () => {
    const e1 = await serve((socket, request, count) => {
      if (count === 1) first(socket, request);
      else if (request.startsWith('GET /v1/streams')) {
        socket.write(
          `${head(request, events + chunkedHead)}${chunk(`${token('b')}data: [DONE]\n\n`)}0\r\n\r\n`,
        );
      } else sendStream(socket, request);
    });
    const whole = `200 ${wholeStream}`;
    assert.deepEqual(await chat({ e1 }), [whole, whole, 'open']);
  });
}
