// Bytes of answers on a caller's connection when servers send what they should not, or callers use their connections in
// unusual ways. The servers' bytes are written by the tests.

import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { once } from 'node:events';
import { after, afterEach, before, beforeEach, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { CallerConnection, type Answer } from './callerConnection.js';
import { StackFleet, desiredStateOf, modelFields, names, until } from './fleet.js';
import { RawServer, type RawRequest, type Script } from './rawServer.js';

let fleet: StackFleet;
let servers: RawServer[] = [];
let sockets: Socket[] = [];
let started = 0;
let sent = 0;

/** Time in which the router learns of servers that come or go. */
const feedTime = 250;
const bodyLimit = 32_000_000;

before(async () => {
  fleet = await StackFleet.start();
  const limits = { idleTimeoutMs: 5_000, headerTimeoutMs: 3_000, maxBodyBytes: bodyLimit };
  fleet.store.put('op', 'config', desiredStateOf(2, { limits }));
  for (const server of [...fleet.desks, ...fleet.models]) fleet.store.remove('servers', server.id);
  await fleet.addRouter();
  await fleet.ready();
});

after(() => fleet.close());

beforeEach(() => {
  servers = [];
  sockets = [];
});

afterEach(async () => {
  for (const socket of sockets) socket.destroy();
  for (const { id } of servers) fleet.store.remove('servers', id);
  await pause(feedTime);
  await Promise.all(servers.map((server) => server.close()));
});

/** Starts servers that treat all requests alike. */
async function start(service: string, script: Script, count = 2, slots = 6): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    started += 1;
    const server = await RawServer.start(`raw-${started}`, script);
    servers.push(server);
    fleet.store.put('servers', server.id, entryOf(server, service, slots));
  }
  await pause(feedTime);
}

function entryOf({ address }: RawServer, service: string, slots: number): unknown {
  const fixed = { zone: 'suva', version: 'v1', state: 'ready', warmupLeftMs: 0, sequence: 1 };
  return { ...fixed, service, address, slots, born: 1 };
}

/** Treats the first request by the first script, the second by the second one, and further ones by the last. */
function inOrder(...scripts: readonly Script[]): Script {
  let count = 0;
  return (request) => scripts[Math.min(count++, scripts.length - 1)]?.(request);
}

function address(): string {
  return fleet.routers[0]?.settings.listen.callers ?? '';
}

function headOf(
  { id, server }: Pick<RawRequest, 'id' | 'server'>,
  lines: readonly string[],
  status = '200 OK',
): string {
  const fields = [`Request-Id: ${id}`, `Response-Seal: seal-${server}`, ...lines];
  return `HTTP/1.1 ${status}\r\n${fields.map((line) => `${line}\r\n`).join('')}\r\n`;
}

function whole(request: Pick<RawRequest, 'id' | 'server'>, body?: string): string {
  const text = body ?? `${request.server} ran ${request.id}`;
  return headOf(request, [`Content-Length: ${text.length}`]) + text;
}

const answers: Script = (request) => request.socket.write(whole(request));

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const stream = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'];
const event = (id: number): string => `id: ${id}\ndata: ${id}\n\n`;
const eventsFrom = (first: number, last = 6): string =>
  Array.from({ length: last - first + 1 }, (_, index) => event(first + index)).join('');

/** Streams the events behind the one that the request names, up to the sixth. */
const streams: Script = (request) => {
  const last = Number(lastEventOf(request) ?? 0);
  request.socket.write(headOf(request, stream) + chunk(eventsFrom(last + 1)) + '0\r\n\r\n');
};

function lastEventOf({ head }: RawRequest): string | undefined {
  return /^last-event-id: (.*)$/im.exec(head)?.[1];
}

function fieldsOf(id: string): Readonly<Record<string, string>> {
  return {
    host: names.host,
    'request-id': id,
    'deadline-ms': '2500',
    authorization: `Bearer ${names.key}`,
  };
}

function requestText(
  path: string,
  options: {
    readonly method?: string;
    readonly fields?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly version?: string;
  } = {},
): { readonly id: string; readonly text: string } {
  sent += 1;
  const id = `review-${sent}`;
  const { method = 'GET', fields = {}, body = '', version = '1.1' } = options;
  const length: Record<string, string> = body === '' ? {} : { 'content-length': `${body.length}` };
  const lines = Object.entries({ ...fieldsOf(id), ...length, ...fields }).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return { id, text: `${method} ${path} HTTP/${version}\r\n${lines.join('')}\r\n${body}` };
}

/** Opens a connection on which the test reads bytes itself. */
async function open(): Promise<Socket> {
  const [host, port] = address().split(':');
  const socket = connect({ host, port: Number(port), noDelay: true });
  sockets.push(socket);
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

/** What comes on a connection until it ends or is silent for a while. */
async function readAll(socket: Socket, silence = 3_500): Promise<{ text: string; ended: boolean }> {
  const parts: Buffer[] = [];
  let last = Date.now();
  socket.on('data', (bytes: Buffer) => {
    parts.push(bytes);
    last = Date.now();
  });
  // A stream that was paused does not flow again by its listeners alone.
  socket.resume();
  while (!socket.destroyed && Date.now() - last < silence) await pause(10);
  return { text: Buffer.concat(parts).toString('latin1'), ended: socket.destroyed };
}

async function ask(
  connection: CallerConnection,
  path: string,
  changes: { method?: string; body?: string; headers?: Readonly<Record<string, string>> } = {},
): Promise<{ id: string; answer: Answer }> {
  sent += 1;
  const id = `review-${sent}`;
  const { headers = {}, ...others } = changes;
  const answer = await connection.ask({
    method: 'GET',
    path,
    ...others,
    headers: { ...fieldsOf(id), ...headers },
  });
  return { id, answer };
}

async function askOnce(path: string, changes: Parameters<typeof ask>[2] = {}): Promise<Answer> {
  const connection = await CallerConnection.open(address());
  const { answer } = await ask(connection, path, changes);
  await pause(50);
  const rest = connection.excess;
  connection.close();
  if (answer.kind === 'whole') assert.equal(rest, '', 'bytes behind the answer');
  return answer;
}

function brief(answer: Answer): string {
  return answer.kind === 'whole'
    ? `${answer.status} ${answer.body.slice(0, 200)} (${answer.body.length})`
    : JSON.stringify(answer).slice(0, 300);
}

const letter = { method: 'POST', body: '{}', headers: modelFields };
const large = 100_000;

// ---- 1: plain answers

// Guards against a second run behind a plain answer that was too long to be held.
test('a long plain answer that breaks off is broken for its caller and is not repeated', async () => {
  let runs = 0;
  await start(names.desk, async (request) => {
    runs += 1;
    request.socket.write(headOf(request, [`Content-Length: ${large}`]) + 'a'.repeat(40_000));
    await pause(50);
    request.socket.destroy();
  });
  const answer = await askOnce('/reads/1');
  assert.equal(answer.kind, 'broken', brief(answer));
  assert.equal(runs, 1);
});

// Guards against a second run behind a plain answer that was too slow to be held.
test('a slow plain answer that breaks off is broken for its caller and is not repeated', async () => {
  let runs = 0;
  await start(names.desk, async (request) => {
    runs += 1;
    request.socket.write(headOf(request, ['Transfer-Encoding: chunked']) + chunk('one'));
    await pause(700);
    request.socket.write(chunk('two'));
    await pause(50);
    request.socket.end();
  });
  const answer = await askOnce('/reads/1');
  assert.equal(answer.kind, 'broken', brief(answer));
  assert.equal(runs, 1);
});

// Guards against a time-out for silence in an answer that no other run can continue.
test('a long plain answer with a silence of 1.6 s in it reaches its caller whole', async () => {
  await start(names.desk, async (request) => {
    request.socket.write(headOf(request, [`Content-Length: ${large}`]) + 'a'.repeat(40_000));
    await pause(1_600);
    request.socket.write('a'.repeat(large - 40_000));
  });
  const answer = await askOnce('/reads/1');
  assert.ok(answer.kind === 'whole' && answer.body.length === large, brief(answer));
});

// Guards against an answer that looks whole at the deadline, and against bytes after it.
for (const [name, bytes] of [
  ['held', 10],
  ['handed-on', 40_000],
] as const) {
  test(`the deadline in a ${name} answer leaves one whole answer or a closed connection`, async () => {
    await start(names.desk, async (request) => {
      request.socket.write(headOf(request, [`Content-Length: ${large}`]) + 'a'.repeat(bytes));
      await pause(3_500);
      request.socket.write('b'.repeat(large - bytes));
    });
    const connection = await CallerConnection.open(address());
    const { answer } = await ask(connection, '/charges/1', { method: 'POST', body: 'x' });
    if (name === 'held') assert.ok(answer.kind === 'whole' && answer.status === 504, brief(answer));
    else assert.equal(answer.kind, 'broken', brief(answer));
    await pause(1_500);
    assert.equal(name === 'held' ? connection.excess : '', '');
    connection.close();
  });
}

// Guards against a caller's pause in reading that is taken as the server's silence.
test('a caller that reads nothing for 2 s gets the whole of a long answer', async () => {
  const size = 16_000_000;
  await start(names.desk, (request) =>
    request.socket.write(headOf(request, [`Content-Length: ${size}`]) + 'a'.repeat(size)),
  );
  const socket = await open();
  socket.pause();
  socket.write(requestText('/reads/1', { fields: { 'deadline-ms': '3000' } }).text);
  await pause(2_000);
  const { text } = await readAll(socket, 1_500);
  assert.equal(text.length - text.indexOf('\r\n\r\n') - 4, size);
});

// Guards against the loss of a server's places to callers that do not read their answers.
test('places of a server are free again after the deadline of callers that read nothing', async () => {
  const size = 16_000_000;
  await start(
    names.desk,
    (request) =>
      request.head.startsWith('GET /reads/long')
        ? request.socket.write(headOf(request, [`Content-Length: ${size}`]) + 'a'.repeat(size))
        : answers(request),
    1,
    1,
  );
  for (let index = 0; index < 12; index += 1) {
    const socket = await open();
    socket.pause();
    socket.write(requestText('/reads/long', { fields: { 'deadline-ms': '1000' } }).text);
  }
  await pause(2_500);
  const answer = await askOnce('/reads/1');
  assert.ok(answer.kind === 'whole' && answer.status === 200, brief(answer));
});

// Guards against places that are lost when a caller leaves while a later answer waits for an earlier one.
for (const count of [1, 2])
  test(`places of a server are free again after callers left with ${count} requests under way`, async () => {
    const size = 1_000_000;
    await start(
      names.desk,
      (request) => {
        if (request.head.startsWith('GET /reads/hang')) return;
        if (request.head.startsWith('GET /reads/long'))
          request.socket.write(headOf(request, [`Content-Length: ${size}`]) + 'a'.repeat(size));
        else answers(request);
      },
      1,
      4,
    );
    for (let index = 0; index < 8; index += 1) {
      const socket = await open();
      const fields = { 'deadline-ms': '1000' };
      const texts = ['/reads/hang', '/reads/long'].map(
        (path) => requestText(path, { fields }).text,
      );
      socket.write(texts.slice(0, count).join(''));
      await pause(150);
      socket.destroy();
    }
    await pause(3_500);
    const connection = await CallerConnection.open(address());
    const { answer } = await ask(connection, '/reads/1');
    assert.ok(answer.kind === 'whole' && answer.status === 200, brief(answer));
    connection.close();
  });

// Guards against answers out of order or joined when a caller sends its next request early.
test('the second of two requests sent at once breaks off behind the whole first answer', async () => {
  await start(names.desk, async (request) => {
    if (request.head.startsWith('GET /reads/first')) {
      await pause(400);
      answers(request);
      return;
    }
    request.socket.write(headOf(request, [`Content-Length: ${large}`]) + 'a'.repeat(40_000));
    await pause(50);
    request.socket.destroy();
  });
  const socket = await open();
  const first = requestText('/reads/first');
  socket.write(first.text + requestText('/reads/second').text);
  const { text, ended } = await readAll(socket, 1_500);
  assert.match(text, new RegExp(`ran ${first.id}`));
  assert.ok(ended);
  assert.ok(text.split('HTTP/1.1 ').length - 1 <= 2, text.slice(0, 600));
});

// Guards against the wait for an earlier answer on the connection that is taken as the server's silence.
test('a long answer that waits for an earlier one on its connection is whole', async () => {
  const size = 1_000_000;
  await start(names.desk, async (request) => {
    if (request.head.startsWith('GET /reads/first')) {
      await pause(1_450);
      answers(request);
      return;
    }
    request.socket.write(headOf(request, [`Content-Length: ${size}`]) + 'a'.repeat(size));
  });
  const socket = await open();
  const first = requestText('/reads/first');
  socket.write(first.text + requestText('/reads/second').text);
  const { text } = await readAll(socket, 1_800);
  assert.match(text, new RegExp(`ran ${first.id}`));
  assert.ok(text.endsWith('a'.repeat(size)), `${text.length} bytes`);
});

// Guards against an interim answer that is taken as the final one, and a field that the router's client refuses.
test('a request with Expect: 100-continue gets its answer', async () => {
  await start(names.desk, answers);
  const socket = await open();
  const { text, id } = requestText('/charges/1', {
    method: 'POST',
    body: 'x',
    fields: { expect: '100-continue' },
  });
  socket.write(text);
  const { text: got } = await readAll(socket, 500);
  assert.match(got, new RegExp(`^(HTTP/1.1 100 Continue\r\n\r\n)?HTTP/1.1 200 OK[^]*ran ${id}$`));
});

// Guards against a connection that ends without the 413, which callers repeat, and bytes of the body read as a request.
test('a body that is too large gets 413, and nothing of it is read as a request', async () => {
  await start(names.desk, answers);
  const socket = await open();
  const body = `${'x'.repeat(bodyLimit + 600_000)}${requestText('/reads/smuggled').text}`;
  socket.write(requestText('/charges/1', { method: 'POST', body }).text);
  const { text } = await readAll(socket, 800);
  assert.match(text, /^HTTP\/1\.1 413 /);
  assert.equal(text.split('HTTP/1.1 ').length - 1, 1);
  assert.equal(servers.flatMap(({ requests }) => requests).length, 0);
});

// Guards against a body where none may be, and a head that declares one.
for (const [name, method, status, lines] of [
  ['HEAD', 'HEAD', '200 OK', ['Content-Length: 12']],
  ['HEAD in chunks', 'HEAD', '200 OK', ['Transfer-Encoding: chunked']],
  ['204', 'GET', '204 No Content', []],
  ['304', 'GET', '304 Not Modified', []],
  ['304 with a length', 'GET', '304 Not Modified', ['Content-Length: 12']],
] as const) {
  test(`an answer without a body (${name}) leaves the connection usable`, async () => {
    await start(
      names.desk,
      inOrder((request) => request.socket.write(headOf(request, lines, status)), answers),
    );
    const connection = await CallerConnection.open(address());
    const first = await ask(connection, '/reads/1', { method });
    assert.ok(first.answer.kind === 'whole', brief(first.answer));
    assert.equal(first.answer.status, Number(status.slice(0, 3)));
    const next = await ask(connection, '/reads/2');
    assert.ok(
      next.answer.kind === 'whole' && next.answer.body.endsWith(next.id),
      brief(next.answer),
    );
    assert.equal(connection.excess, '');
    connection.close();
  });
}

// Guards against a declared length that is not that of the bytes.
for (const [name, lines, body] of [
  [
    'a length and chunks',
    ['Content-Length: 3', 'Transfer-Encoding: chunked'],
    chunk('seven b') + '0\r\n\r\n',
  ],
  ['two lengths', ['Content-Length: 3', 'Content-Length: 7'], 'seven b'],
  ['two equal lengths', ['Content-Length: 7', 'Content-Length: 7'], 'seven b'],
  ['a listed length', ['Content-Length: 7, 7'], 'seven b'],
  ['a signed length', ['Content-Length: +7'], 'seven b'],
  ['an encoded length', ['Transfer-Encoding: gzip, chunked'], chunk('seven b') + '0\r\n\r\n'],
  [
    'a trailer',
    ['Trailer: X-Sum', 'Transfer-Encoding: chunked'],
    chunk('seven b') + '0\r\nX-Sum: 1\r\n\r\n',
  ],
  ['a trailer and a length', ['Trailer: X-Sum', 'Content-Length: 7'], 'seven b'],
  ['Connection: close and a length', ['Connection: close', 'Content-Length: 7'], 'seven b'],
] as const) {
  test(`an answer with ${name} is whole or refused, and the connection stays in order`, async () => {
    await start(names.desk, (request) =>
      request.head.startsWith('GET /reads/2')
        ? answers(request)
        : request.socket.write(headOf(request, lines) + body),
    );
    const connection = await CallerConnection.open(address());
    const first = await ask(connection, '/reads/1');
    assert.equal(first.answer.kind, 'whole', brief(first.answer));
    if (first.answer.status === 200) assert.equal(first.answer.body, 'seven b');
    if (!connection.isClosed) {
      const next = await ask(connection, '/reads/2');
      assert.ok(next.answer.kind === 'whole', brief(next.answer));
    }
    assert.equal(connection.excess, '');
    connection.close();
  });
}

// Guards against an answer to HTTP/1.0 that ends early and looks whole, since only the connection's end ends it.
test('an answer to HTTP/1.0 that breaks off does not end in order', async () => {
  await start(names.desk, async (request) => {
    request.socket.write(
      headOf(request, ['Transfer-Encoding: chunked']) + chunk('a'.repeat(40_000)),
    );
    await pause(50);
    request.socket.destroy();
  });
  const socket = await open();
  let error: unknown;
  socket.on('error', (thrown) => {
    error = thrown;
  });
  socket.write(requestText('/reads/1', { version: '1.0' }).text);
  const { text } = await readAll(socket, 1_000);
  const hasLength = /content-length/i.test(text);
  assert.ok(
    hasLength || error !== undefined || !text.startsWith('HTTP/1.1 200'),
    text.slice(0, 300),
  );
});

// ---- 2: streams

// Guards against a continuation behind events that nothing names.
test('a stream whose events have no ids is not continued', async () => {
  const asked: (string | undefined)[] = [];
  const text = 'data: 1\n\ndata: 2\n\n';
  await start(
    names.model,
    inOrder(
      async (request) => {
        request.socket.write(headOf(request, stream) + chunk(text));
        await pause(50);
        request.socket.destroy();
      },
      (request) => {
        asked.push(lastEventOf(request));
        request.socket.write(headOf(request, stream) + chunk(text) + '0\r\n\r\n');
      },
    ),
  );
  const answer = await askOnce('/letters/1', letter);
  assert.deepEqual(asked, []);
  assert.equal(answer.kind, 'broken', brief(answer));
});

// Guards against a continuation behind a comment, which has no id and is no event.
test('a stream with a comment behind its third event is continued behind that event', async () => {
  const asked: (string | undefined)[] = [];
  await start(
    names.model,
    inOrder(
      async (request) => {
        request.socket.write(headOf(request, stream) + chunk(eventsFrom(1, 3)));
        await pause(50);
        request.socket.write(chunk(': still here\n\n'));
        await pause(50);
        request.socket.destroy();
      },
      (request) => {
        asked.push(lastEventOf(request));
        streams(request);
      },
    ),
  );
  const answer = await askOnce('/letters/1', letter);
  assert.deepEqual(asked, ['3']);
  assert.ok(answer.kind === 'whole', brief(answer));
  assert.equal(answer.body, `${eventsFrom(1, 3)}: still here\n\n${eventsFrom(4)}`);
});

// Guards against an event that comes twice because it has no id and lies behind the one that is named.
for (const [name, pieces] of [
  ['in one piece', [`${event(1)}data: 2\n\n`]],
  ['in two pieces', [event(1), 'data: 2\n\n']],
] as const) {
  test(`an event without an id behind one with an id does not come twice (${name})`, async () => {
    const all = `${event(1)}data: 2\n\n${eventsFrom(3)}`;
    await start(
      names.model,
      inOrder(
        async (request) => {
          request.socket.write(headOf(request, stream));
          for (const piece of pieces) {
            request.socket.write(chunk(piece));
            await pause(50);
          }
          request.socket.destroy();
        },
        (request) =>
          request.socket.write(
            headOf(request, stream) + chunk(`data: 2\n\n${eventsFrom(3)}`) + '0\r\n\r\n',
          ),
      ),
    );
    const answer = await askOnce('/letters/1', letter);
    assert.ok(
      answer.kind === 'broken' || (answer.kind === 'whole' && answer.body === all),
      brief(answer),
    );
  });
}

/** An answer whose text must not come into a stream. */
function errorOf(request: RawRequest, status: string, lines: readonly string[]): string {
  const text = 'data: the engine has failed\n\n';
  const head = headOf(request, [...lines, 'Connection: close'], status);
  if (lines.includes('Transfer-Encoding: chunked')) return `${head}${chunk(text)}0\r\n\r\n`;
  return head.replace(/\r\n\r\n$/, `\r\nContent-Length: ${text.length}\r\n\r\n${text}`);
}

// Guards against a joined stream when the second run is not the continuation that was asked for.
for (const [name, second] of [
  [
    'begins with an earlier event',
    (request) => headOf(request, stream) + chunk(eventsFrom(2)) + '0\r\n\r\n',
  ],
  [
    'is JSON',
    (request) =>
      headOf(request, ['Content-Type: application/json', 'Content-Length: 8']) + '{"a": 1}',
  ],
  ['is 204', (request) => headOf(request, stream.slice(0, 1), '204 No Content')],
  [
    'is 206',
    (request) => headOf(request, stream, '206 Partial') + chunk(eventsFrom(4)) + '0\r\n\r\n',
  ],
  [
    'ends within an event',
    (request) => headOf(request, stream) + chunk(`${eventsFrom(4)}id: 7\nda`) + '0\r\n\r\n',
  ],
  ['is an error with a text', (request) => errorOf(request, '500 Failed', [])],
  ['is an error in the form of events', (request) => errorOf(request, '500 Failed', stream)],
  ['is an error without an id', (request) => errorOf({ ...request, id: '' }, '500 Failed', [])],
  ['is a refusal', (request) => errorOf(request, '503 Full', ['Not-Executed: 1'])],
  ['is a success with an error in plain text', (request) => errorOf(request, '200 OK', [])],
] as readonly [string, (request: RawRequest) => string][]) {
  test(`a stream is broken or whole when its second run ${name}`, async () => {
    let lastEvent: string | undefined;
    await start(
      names.model,
      inOrder(
        async (request) => {
          request.socket.write(headOf(request, stream) + chunk(`${eventsFrom(1, 3)}id: 4\nda`));
          await pause(50);
          request.socket.destroy();
        },
        (request) => {
          lastEvent = lastEventOf(request);
          request.socket.write(second(request));
        },
      ),
    );
    const answer = await askOnce('/letters/1', letter);
    assert.equal(lastEvent, '3');
    const isWhole = answer.kind === 'whole' && answer.body === eventsFrom(1);
    assert.ok(answer.kind === 'broken' || isWhole, brief(answer));
  });
}

// Guards against a first run that ends early and is taken as whole.
for (const [name, lines, bytes, isReset] of [
  [
    'FIN in a chunk',
    [...stream, 'Connection: close'],
    chunk(eventsFrom(1, 3)) + '20\r\nid: 4',
    false,
  ],
  [
    'reset in a chunk',
    [...stream, 'Connection: close'],
    chunk(eventsFrom(1, 3)) + '20\r\nid: 4',
    true,
  ],
  ['FIN between chunks', [...stream, 'Connection: close'], chunk(eventsFrom(1, 3)), false],
  ['reset between chunks', [...stream, 'Connection: close'], chunk(eventsFrom(1, 3)), true],
  [
    'FIN in the last chunk',
    [...stream, 'Connection: close'],
    chunk(eventsFrom(1, 3)) + '0\r\n',
    false,
  ],
  [
    'reset in the last chunk',
    [...stream, 'Connection: close'],
    chunk(eventsFrom(1, 3)) + '0\r\n',
    true,
  ],
  [
    'FIN before the declared length',
    ['Content-Type: text/event-stream', 'Content-Length: 500', 'Connection: close'],
    eventsFrom(1, 3),
    false,
  ],
  [
    'reset before the declared length',
    ['Content-Type: text/event-stream', 'Content-Length: 500', 'Connection: close'],
    eventsFrom(1, 3),
    true,
  ],
  [
    'more events in one piece',
    [...stream, 'Connection: close'],
    chunk(event(1)) + chunk(event(2)) + '5\r\nid',
    true,
  ],
] as const) {
  test(`a stream that ends by ${name} is continued`, async () => {
    await start(
      names.model,
      inOrder(async (request) => {
        request.socket.write(headOf(request, lines) + bytes);
        await pause(50);
        if (isReset) request.socket.resetAndDestroy();
        else request.socket.end();
      }, streams),
    );
    const answer = await askOnce('/letters/1', letter);
    assert.ok(answer.kind === 'whole' && answer.body === eventsFrom(1), brief(answer));
  });
}

// Guards against a plain answer in chunks that ends early and is taken as whole.
for (const isReset of [false, true])
  for (const [name, bytes] of [
    ['in a chunk', '20\r\nhalf'],
    ['between chunks', chunk('half')],
    ['in the last chunk', chunk('half') + '0\r\n'],
  ] as const)
    test(`a plain answer that ends with a ${isReset ? 'reset' : 'FIN'} ${name} is not whole`, async () => {
      await start(names.desk, async (request) => {
        request.socket.write(
          headOf(request, ['Transfer-Encoding: chunked', 'Connection: close']) + bytes,
        );
        await pause(50);
        if (isReset) request.socket.resetAndDestroy();
        else request.socket.end();
      });
      const answer = await askOnce('/charges/1', { method: 'POST', body: 'x' });
      assert.ok(!(answer.kind === 'whole' && answer.status === 200), brief(answer));
    });

// Guards against a caller's own continuation that is not kept over two runs.
test("a caller's own Last-Event-Id stands until an event of this answer has come", async () => {
  const asked: (string | undefined)[] = [];
  await start(
    names.model,
    inOrder(
      async (request) => {
        asked.push(lastEventOf(request));
        request.socket.write(headOf(request, stream) + chunk('id: 3\nda'));
        await pause(50);
        request.socket.destroy();
      },
      (request) => {
        asked.push(lastEventOf(request));
        streams(request);
      },
    ),
  );
  const answer = await askOnce('/letters/1', {
    ...letter,
    headers: { ...modelFields, 'last-event-id': '2' },
  });
  assert.deepEqual(asked, ['2', '2']);
  assert.ok(answer.kind === 'whole' && answer.body === eventsFrom(3), brief(answer));
});

// Guards against a stream whose events are held to its end because its lines end otherwise.
test('events whose lines end with CR LF are handed on as they come', async () => {
  await start(names.model, async (request) => {
    request.socket.write(headOf(request, stream) + chunk('id: 1\r\ndata: 1\r\n\r\n'));
    await pause(900);
    request.socket.write('0\r\n\r\n');
  });
  const socket = await open();
  const begun = Date.now();
  socket.write(requestText('/letters/1', { method: 'POST', body: '{}', fields: modelFields }).text);
  await once(socket, 'data');
  assert.ok(Date.now() - begun < 500, `first bytes after ${Date.now() - begun} ms`);
});

// Guards against a second run of a request whose first one is waiting for its turn at the server, behind an early head.
test('a stream whose first event comes 1.4 s after its head is run once', async () => {
  let runs = 0;
  await start(names.model, async (request) => {
    runs += 1;
    request.socket.write(headOf(request, stream));
    await pause(1_400);
    request.socket.write(chunk(eventsFrom(1)) + '0\r\n\r\n');
  });
  const answer = await askOnce('/letters/1', letter);
  assert.ok(answer.kind === 'whole' && answer.body === eventsFrom(1), brief(answer));
  assert.equal(runs, 1);
});

// Guards against the stop of a stream because its caller reads slowly.
test('a caller that reads nothing of a stream for 2 s gets it whole from one server', async () => {
  const count = 400;
  const text = Array.from(
    { length: count },
    (_, index) => `id: ${index + 1}\ndata: ${'x'.repeat(40_000)}\n\n`,
  );
  let runs = 0;
  await start(names.model, (request) => {
    runs += 1;
    request.socket.write(headOf(request, stream) + text.map(chunk).join('') + '0\r\n\r\n');
  });
  const socket = await open();
  socket.pause();
  const fields = { ...modelFields, 'deadline-ms': '3000' };
  socket.write(requestText('/letters/1', { method: 'POST', body: '{}', fields }).text);
  await pause(2_000);
  const { text: got } = await readAll(socket, 1_500);
  assert.equal(runs, 1, `${runs} runs`);
  assert.ok(got.endsWith('0\r\n\r\n'), `ends after ${got.length} bytes`);
});

// ---- 3: servers

// Guards against a late second answer that is taken as that of the next request.
for (const [name, late] of [
  ['of the same id', ({ id }) => id],
  ['of another id', () => 'other'],
  ['without an id', () => undefined],
] as readonly [string, (request: RawRequest) => string | undefined][])
  for (const when of ['at once', 'before the next request', 'after the next request'] as const)
    test(`a second answer ${name} ${when} reaches no caller`, async () => {
      const second = (request: RawRequest): string => {
        const id = late(request);
        const answer = whole({ id: id ?? 'x', server: request.server }, 'late');
        return id === undefined ? answer.replace('Request-Id: x\r\n', '') : answer;
      };
      let before: RawRequest | undefined;
      await start(
        names.desk,
        async (request) => {
          if (
            before !== undefined &&
            when === 'after the next request' &&
            before.socket === request.socket
          ) {
            request.socket.write(second(before));
            await pause(20);
          }
          answers(request);
          if (when === 'at once') request.socket.write(second(request));
          if (when === 'before the next request')
            setTimeout(() => request.socket.write(second(request)), 30);
          before = request;
        },
        1,
      );
      const connection = await CallerConnection.open(address());
      for (let round = 0; round < 3; round += 1) {
        const { id, answer } = await ask(connection, '/charges/1', { method: 'POST', body: 'x' });
        const isOwn = answer.kind === 'whole' && answer.status === 200 && answer.body.endsWith(id);
        assert.ok(isOwn || (answer.kind === 'whole' && answer.status >= 500), brief(answer));
        await pause(when === 'before the next request' ? 100 : 0);
      }
      assert.equal(connection.excess, '');
      connection.close();
    });

// Guards against REFUSED and TWICE: a faulty server writes the refusal of an earlier request once more on a kept connection,
// while it runs the request that is sent there.
for (const [name, fields] of [
  ['of the earlier id', (id) => `Request-Id: ${id}\r\nNot-Executed: 1\r\n`],
  ['without an id', () => 'Not-Executed: 1\r\n'],
  [
    'with a time to come back',
    (id) => `Request-Id: ${id}\r\nNot-Executed: 1\r\nRetry-After: 1\r\n`,
  ],
] as readonly [string, (id: string) => string][])
  for (const when of ['before the request is sent', 'in place of its answer'] as const)
    test(`an earlier refusal ${name}, once more ${when}, is not that of a request that runs`, async () => {
      const runs: string[] = [];
      const refused = new Map<string, { readonly socket: Socket; readonly refusal: string }>();
      await start(names.desk, async (request) => {
        const { socket, id, server } = request;
        const earlier = refused.get(server);
        if (earlier === undefined) {
          const refusal = `HTTP/1.1 503 Full\r\n${fields(id)}Content-Length: 0\r\n\r\n`;
          refused.set(server, { socket, refusal });
          socket.write(refusal);
          if (when === 'before the request is sent') setTimeout(() => socket.write(refusal), 30);
          return;
        }
        runs.push(id);
        if (when === 'in place of its answer') socket.write(earlier.refusal);
        await pause(50);
        socket.write(whole(request));
      });
      const connection = await CallerConnection.open(address());
      const told = new Map<string, number | undefined>();
      for (let round = 0; round < 8; round += 1) {
        const { id, answer } = await ask(connection, '/charges/1', { method: 'POST', body: 'x' });
        told.set(id, answer.kind === 'whole' ? answer.status : undefined);
        await pause(300);
      }
      connection.close();
      assert.ok(runs.length > 0, 'no request runs');
      assert.equal(new Set(runs).size, runs.length);
      for (const id of runs) assert.notEqual(told.get(id), 503, `${id} has run`);
    });

// Guards against ORDER: a stream that no server can continue looks complete although its last event is not.
for (const [name, body, kind] of [
  ['within an event', `${eventsFrom(1, 3)}id: 4\nda`, 'broken'],
  ['within the empty line behind an event', eventsFrom(1, 3).slice(0, -1), 'broken'],
  ['between events', eventsFrom(1, 3), 'whole'],
  ['between events whose lines end with CR LF', 'id: 1\r\ndata: 1\r\n\r\n', 'whole'],
] as const)
  test(`a stream that cannot be resumed and ends ${name} is ${kind}`, async () => {
    await start(names.model, (request) => {
      request.socket.write(headOf(request, stream));
      for (const piece of body.match(/.{1,7}/gs) ?? []) request.socket.write(chunk(piece));
      request.socket.write('0\r\n\r\n');
    });
    const answer = await askOnce('/drafts/1', letter);
    assert.equal(answer.kind, kind, brief(answer));
  });

// Guards against a connection that stays one answer behind: each later request on it got the answer before its own.
test('a connection on which the answer to another request came is not used again', async () => {
  let isLate = false;
  await start(
    names.desk,
    (request) => {
      // The second request gets the first one's answer once more, and no other.
      if (request.connection === 0 && isLate)
        request.socket.write(whole({ ...request, id: 'other' }));
      else answers(request);
    },
    1,
  );
  const connection = await CallerConnection.open(address());
  const charge = { method: 'POST', body: 'x' };
  const statuses: (number | undefined)[] = [];
  for (let round = 0; round < 4; round += 1) {
    isLate = round > 0;
    const { answer } = await ask(connection, '/charges/1', charge);
    statuses.push(answer.kind === 'whole' ? answer.status : undefined);
  }
  connection.close();
  assert.deepEqual(statuses, [200, 502, 200, 200]);
});

// Guards against bytes behind a whole answer, in the same segment or later.
for (const delay of [0, 5, 40] as const)
  test(`bytes behind a whole answer after ${delay} ms reach no caller`, async () => {
    await start(names.desk, (request) => {
      if (delay === 0) request.socket.write(`${whole(request)}GARBAGE\r\n\r\n`);
      else {
        answers(request);
        setTimeout(() => request.socket.write('GARBAGE\r\n\r\n'), delay);
      }
    });
    const connection = await CallerConnection.open(address());
    for (let round = 0; round < 6; round += 1) {
      const { id, answer } = await ask(connection, '/reads/1');
      const isOwn = answer.kind === 'whole' && answer.status === 200 && answer.body.endsWith(id);
      assert.ok(isOwn || (answer.kind === 'whole' && answer.status >= 500), brief(answer));
      await pause(10 * round);
    }
    assert.equal(connection.excess, '');
    connection.close();
  });

// Guards against other bytes where a server expects the rest of a body that it answered early.
test('a server that answers before it has read a long body gets the rest of that body', async () => {
  const body = 'y'.repeat(8_000_000);
  const bodies: string[] = [];
  await start(
    names.desk,
    async (request) => {
      request.socket.write(whole(request));
      request.socket.pause();
      await pause(200);
      request.socket.resume();
      bodies.push(await request.body);
    },
    1,
  );
  const results = await Promise.all(
    Array.from({ length: 2 }, async () => {
      const connection = await CallerConnection.open(address());
      for (let round = 0; round < 3; round += 1) {
        const { id, answer } = await ask(connection, '/charges/1', { method: 'POST', body });
        assert.ok(answer.kind === 'whole' && answer.body.endsWith(id), brief(answer));
      }
      connection.close();
    }),
  );
  assert.equal(results.length, 2);
  await pause(500);
  assert.ok(bodies.length > 0);
  for (const got of bodies) assert.ok(got === body, `${got.length} bytes`);
  for (const { requests } of servers)
    for (const { head } of requests) assert.match(head, /^POST \/charges\/1 HTTP\/1\.1\r\n/);
});

// Guards against a request that the router's client sends a second time by itself.
for (const isReset of [false, true])
  test(`work that may not be repeated is sent once when its kept connection ends by ${isReset ? 'reset' : 'FIN'}`, async () => {
    const runs = new Map<string, number>();
    await start(names.desk, async (request) => {
      await request.body;
      runs.set(request.id, (runs.get(request.id) ?? 0) + 1);
      if (request.head.includes('/charges/1')) answers(request);
      else if (isReset) request.socket.resetAndDestroy();
      else request.socket.end();
    });
    for (let round = 0; round < 8; round += 1) {
      await askOnce('/charges/1', { method: 'POST', body: 'x' });
      await askOnce('/charges/2', { method: 'POST', body: 'x' });
    }
    assert.ok(runs.size > 8);
    assert.deepEqual(
      [...runs.values()].filter((count) => count > 1),
      [],
    );
  });

// Guards against the loss of an answer that a server made, and of a refusal's promise.
for (const [name, answerOf, expected] of [
  [
    '400 that is not run and names no id',
    () => 'HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n',
    undefined,
  ],
  [
    '400 that is not run',
    (request) => headOf(request, ['Not-Executed: 1', 'Content-Length: 0'], '400 Bad'),
    400,
  ],
  ['404', (request) => headOf(request, ['Content-Length: 0'], '404 None'), 404],
  ['301', (request) => headOf(request, ['Location: /x', 'Content-Length: 0'], '301 Moved'), 301],
  ['500', (request) => headOf(request, ['Content-Length: 0'], '500 Failed'), 500],
  ['504', (request) => headOf(request, ['Content-Length: 0'], '504 Late'), 504],
  ['503 that may have run', (request) => headOf(request, ['Content-Length: 0'], '503 Full'), 502],
  [
    '503 that is not run',
    (request) => headOf(request, ['Not-Executed: 1', 'Content-Length: 0'], '503 Full'),
    503,
  ],
  [
    'identity encoding',
    (request) => headOf(request, ['Content-Encoding: identity', 'Content-Length: 0']),
    502,
  ],
] as readonly [string, (request: RawRequest) => string, number | undefined][])
  test(`what a caller gets of ${name}`, async () => {
    await start(names.desk, (request) => {
      request.socket.write(answerOf(request));
    });
    const answer = await askOnce('/charges/1', { method: 'POST', body: 'x' });
    if (expected !== undefined)
      assert.ok(answer.kind === 'whole' && answer.status === expected, brief(answer));
  });

// ---- 5

// Guards against work that goes on for a caller that left while its answer is held.
test('a server hears of it when a caller leaves while its answer is held', async () => {
  let closed = 0;
  const begun = Date.now();
  await start(names.desk, (request) => {
    request.socket.on('close', () => {
      closed = Date.now();
    });
    request.socket.write(headOf(request, [`Content-Length: ${large}`]) + 'half');
  });
  const socket = await open();
  socket.write(requestText('/reads/1').text);
  await until(() => servers.some(({ requests }) => requests.length > 0));
  await pause(100);
  const left = Date.now();
  socket.destroy();
  await until(() => closed > 0);
  assert.ok(closed - left < 300, `${closed - left} ms, begun ${begun}`);
});

// Guards against an answer that is lost because the router stops while it holds it.
test('an answer that is held while its router stops reaches its caller whole', async () => {
  const stopping = await StackFleet.start();
  for (const server of stopping.desks) stopping.store.remove('servers', server.id);
  const server = await RawServer.start('held-1', async (request) => {
    const text = `${request.server} ran ${request.id}`;
    request.socket.write(headOf(request, [`Content-Length: ${text.length}`]) + text.slice(0, 3));
    await pause(1_500);
    request.socket.write(text.slice(3));
  });
  stopping.store.put('servers', server.id, entryOf(server, names.desk, 6));
  const gateway = await stopping.addRouter();
  await stopping.ready();
  const callers = stopping.routers[0]?.settings.listen.callers ?? '';
  const connection = await CallerConnection.open(callers);
  const asked = ask(connection, '/charges/1', { method: 'POST', body: 'x' });
  await until(() => server.requests.length > 0);
  const stopped = gateway.stop();
  const { id, answer } = await asked;
  assert.ok(answer.kind === 'whole' && answer.body.endsWith(id), brief(answer));
  assert.equal(connection.excess, '');
  connection.close();
  await stopped;
  await server.close();
  await stopping.close();
});

// Guards against a late answer that is taken as that of a request that names no id either.
test('a late answer without an id is not that of a request without an id', async () => {
  const late = 'HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nlate';
  let before: Socket | undefined;
  await start(
    names.desk,
    async (request) => {
      if (request.id === '') {
        if (before === request.socket) request.socket.write(late);
        await pause(50);
        request.socket.write('HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n');
        return;
      }
      before = request.socket;
      answers(request);
    },
    1,
  );
  await askOnce('/charges/1', { method: 'POST', body: 'x' });
  const socket = await open();
  const { text, id } = requestText('/charges/1', { method: 'POST', body: 'x' });
  socket.write(text.replace(`request-id: ${id}\r\n`, ''));
  const { text: got } = await readAll(socket, 500);
  assert.doesNotMatch(got, /late/);
  assert.match(got, /^HTTP\/1\.1 [45]/);
});

// Guards against memory that grows with the number of pieces of a held answer rather than with its bytes.
test('an answer that is held takes about as much memory as it has bytes', async () => {
  const count = 30_000;
  const requests = 40;
  await start(
    names.desk,
    (request) =>
      request.socket.write(
        headOf(request, ['Transfer-Encoding: chunked']) + '1\r\nx\r\n'.repeat(count),
      ),
    1,
    100,
  );
  // What the many pieces leave behind is not held, and goes with the next collection.
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  const used = (): number => {
    collect();
    return process.memoryUsage().heapUsed + process.memoryUsage().external;
  };
  const begun = used();
  for (let index = 0; index < requests; index += 1) {
    const socket = await open();
    socket.write(requestText('/charges/1', { method: 'POST', body: 'x' }).text);
  }
  await pause(1_500);
  // Ten times the bytes of the bodies, and the test's own share in them.
  assert.ok(used() - begun < 10 * requests * count, `${used() - begun} bytes more`);
});
