// What callers get of answers that servers break off, frame badly or send twice: every byte on the
// caller's connection, and whether the connection is kept for its next request.
import assert from 'node:assert/strict';
import { connect, createServer, type Socket } from 'node:net';
import { test } from 'node:test';
import { closeAfterTests, headers, listen, start, type Addresses } from './datapathFakes.test.js';

/** What a server does with the request that it received; `count` starts at 1. */
type Behaviour = (socket: Socket, request: string, count: number) => void;

/** A server that answers each request by writing bytes as it likes. */
async function serve(behaviour: Behaviour): Promise<string> {
  let count = 0;
  const server = createServer((socket) => {
    closeAfterTests(() => socket.destroy());
    socket.on('error', () => undefined);
    let seen = '';
    socket.on('data', (chunk) => {
      seen += chunk.toString();
      const end = seen.indexOf('\r\n\r\n') + 4;
      const length = Number(/content-length: (\d+)/i.exec(seen)?.[1] ?? 0);
      if (end === 3 || seen.length < end + length) return;
      const request = seen;
      seen = '';
      count += 1;
      behaviour(socket, request, count);
    });
  });
  return listen(server);
}

const idIn = (request: string): string => /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';

function head(request: string, fields = '', status = '200 OK'): string {
  return `HTTP/1.1 ${status}\r\nx-request-id: ${idIn(request)}\r\n${fields}\r\n`;
}

const sized = (request: string, body: string): string =>
  `${head(request, `content-length: ${body.length}\r\n`)}${body}`;
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const wait = (time: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, time));

/** A caller with one connection, which records every byte and how the connection ended. */
class Caller {
  readonly socket: Socket;
  #seen = Buffer.alloc(0);
  #state: 'open' | 'closed' | 'reset' = 'open';

  private constructor(port: number) {
    this.socket = connect({ port, host: '127.0.0.1' });
    closeAfterTests(() => this.socket.destroy());
    this.socket.on('data', (bytes) => {
      this.#seen = Buffer.concat([this.#seen, bytes]);
    });
    this.socket.on('error', () => {
      this.#state = 'reset';
    });
    this.socket.on('close', () => {
      if (this.#state === 'open') this.#state = 'closed';
    });
  }

  static create(url: string): Caller {
    return new Caller(Number(new URL(url).port));
  }

  get state(): 'open' | 'closed' | 'reset' {
    return this.#state;
  }

  /** All bytes received. */
  get text(): string {
    return this.#seen.toString('latin1');
  }

  ask(method: string, path: string, body = '', version = '1.1'): void {
    const fields = `Host: x\r\nAuthorization: ${headers.authorization}\r\n`;
    const length = method === 'POST' ? `Content-Length: ${body.length}\r\n` : '';
    this.socket.write(`${method} ${path} HTTP/${version}\r\n${fields}${length}\r\n${body}`);
  }

  /** Resolves once `isDone` or the connection has ended, and fails after 3 s. */
  async until(isDone: () => boolean): Promise<void> {
    const deadline = Date.now() + 3_000;
    while (!isDone() && this.#state === 'open') {
      if (Date.now() > deadline) throw new Error(`no end: ${this.text.slice(-2_000)}`);
      await wait(5);
    }
  }

  /** The answers to requests with these methods, and what became of the connection. */
  answers(...methods: readonly string[]): readonly string[] {
    return [...read(this.text, methods), this.#state];
  }
}

/** Reads answers by their framing alone, as a caller that keeps its connection has to. */
function read(text: string, methods: readonly string[]): readonly string[] {
  const answers: string[] = [];
  let rest = text;
  for (const method of methods) {
    while (/^HTTP\/1\.1 1\d\d /.test(rest)) rest = rest.slice(rest.indexOf('\r\n\r\n') + 4);
    const split = rest.indexOf('\r\n\r\n');
    if (!rest.startsWith('HTTP/1.1 ') || split === -1) break;
    const fields = rest.slice(0, split);
    const body = bodyOf(method, fields, rest.slice(split + 4));
    answers.push(`${fields.slice(9, 12)} ${body.text}`);
    rest = body.rest;
  }
  return rest === '' ? answers : [...answers, `stray ${rest}`];
}

interface Body {
  readonly text: string;
  readonly rest: string;
}

function bodyOf(method: string, fields: string, rest: string): Body {
  const status = fields.slice(9, 12);
  const isProblem = /content-type: application\/problem/i.test(fields);
  const declared = /^content-length: (\d+)$/im.exec(fields)?.[1];
  const hasNone = method === 'HEAD' || status === '204' || status === '304';
  if (hasNone) return { text: `length ${declared ?? 'none'}`, rest };
  if (/^transfer-encoding: chunked$/im.test(fields)) {
    assert.equal(declared, undefined, 'both a length and chunks');
    return chunkedBody(rest);
  }
  if (declared === undefined) return { text: `${rest} (to the end)`, rest: '' };
  const length = Number(declared);
  const body = rest.slice(0, length);
  const text = isProblem ? /"reason":"(\w+)"/.exec(body)?.[1] : shorten(body);
  const cut = body.length < length ? ' (cut)' : '';
  return { text: `${text ?? ''}${cut}`, rest: rest.slice(length) };
}

function chunkedBody(bytes: string): Body {
  let body = '';
  let rest = bytes;
  for (;;) {
    const match = /^([0-9a-f]+)\r\n/i.exec(rest);
    const size = parseInt(match?.[1] ?? '', 16);
    const from = match?.[0].length ?? 0;
    if (match === null || rest.length < from + size + 2) {
      return { text: `${shorten(body)} (cut)`, rest: '' };
    }
    body += rest.slice(from, from + size);
    rest = rest.slice(from + size + 2);
    if (size === 0) return { text: shorten(body), rest };
  }
}

/** Long bodies of one letter as the letter and their length. */
function shorten(body: string): string {
  return body.length > 1_000 && /^(.)\1*$/.test(body) ? `${body[0] ?? ''}*${body.length}` : body;
}

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
