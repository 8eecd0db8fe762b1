import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { connect } from 'node:net';
import { after, test } from 'node:test';
import type { Call, ResponsePart } from '@catkinwheel/protocol';
import {
  emptyCatalogue,
  mayHaveRun,
  notRun,
  type Catalogue,
  type Failure,
} from '@catkinwheel/state';
import { Frontend, type FrontendOptions } from './frontend.js';
import type { ProblemDetails } from './problemDetails.js';

const hash = (key: string): string => createHash('sha256').update(key).digest('hex');
const entry = {
  team: 'red',
  class: 'interactive',
  idempotent: true,
  maxWait: 1_000,
  maxRun: 1_000,
} as const;
const team = {
  weight: 1,
  limits: { waiting: 1, waitingBytes: 1, inFlight: 1 },
  waitAlarm: 1_000,
};
const catalogue: Catalogue = {
  ...emptyCatalogue,
  services: {
    model: { kind: 'model', model: 'letters', coldLimit: 1, warmLimit: 1 },
    desk: { kind: 'plain', coldLimit: 1, warmLimit: 1 },
  },
  teams: { red: { ...team, keys: [hash('red')] }, blue: { ...team, keys: [hash('blue')] } },
  entries: {
    letters: { ...entry, service: 'model' },
    chat: { ...entry, service: 'model' },
    desk: { ...entry, service: 'desk' },
  },
};

const fronts: Frontend[] = [];
after(async () => {
  await Promise.all(fronts.map((front) => front.close()));
});

interface Served {
  readonly url: string;
  readonly port: number;
  readonly front: Frontend;
  readonly calls: readonly Call[];
  readonly counts: readonly string[];
}

type Run = FrontendOptions['run'];

// eslint-disable-next-line @typescript-eslint/require-await -- a server that answers at once
async function* echo(call: Call): AsyncGenerator<ResponsePart, void, void> {
  const body = Buffer.from(call.request.body ?? '');
  const headers = { 'content-length': String(body.length), 'x-request-id': 'attempt' };
  yield { kind: 'head', status: 200, headers, events: false };
  yield { kind: 'bytes', bytes: body };
  yield { kind: 'end' };
}

async function startFrontend(run: Run = echo, refusal?: Failure): Promise<Served> {
  const calls: Call[] = [];
  const counts: string[] = [];
  const front = Frontend.create({
    host: '127.0.0.1',
    port: 0,
    catalogue: { current: () => catalogue },
    status: {
      refusal: () => refusal,
      routers: () => [{ name: 'r2', address: '127.0.0.1:2', dataCentre: 'd' }],
    },
    run: (call, caller) => {
      calls.push(call);
      return run(call, caller);
    },
    metrics: { count: (name, tags) => counts.push([name, ...Object.values(tags ?? {})].join(' ')) },
    directoryTtl: 5_000,
    limits: { bytes: 1_000, timeout: 200, headerTimeout: 300 },
  });
  fronts.push(front);
  const port = await front.listen();
  return { url: `http://127.0.0.1:${port}`, port, front, calls, counts };
}

const redTeam = { authorization: 'Bearer red' };
const chat = (fields: object): RequestInit => ({
  method: 'POST',
  headers: redTeam,
  body: JSON.stringify(fields),
});
const chatPath = '/v1/chat/completions';
const deskPath = '/v1/services/desk/';

const refusals: readonly (readonly [string, string, RequestInit, number, string])[] = [
  ['no key', deskPath, {}, 401, 'unauthenticated'],
  ['a wrong key', deskPath, { headers: { authorization: 'Bearer no' } }, 401, 'unauthenticated'],
  ['another scheme', deskPath, { headers: { authorization: 'Basic red' } }, 401, 'unauthenticated'],
  [
    'the key of another team',
    deskPath,
    { headers: { authorization: 'Bearer blue' } },
    403,
    'forbidden',
  ],
  ['an unknown entry', '/v1/services/none/x', { headers: redTeam }, 404, 'unknownEntry'],
  [
    'an inherited name as entry',
    '/v1/services/toString/x',
    { headers: redTeam },
    404,
    'unknownEntry',
  ],
  ['a malformed entry name', '/v1/services/%E0%A4%A/x', { headers: redTeam }, 400, 'badRequest'],
  [
    'a model entry on the plain path',
    '/v1/services/chat/x',
    { headers: redTeam },
    400,
    'badRequest',
  ],
  [
    'malformed JSON',
    chatPath,
    { method: 'POST', headers: redTeam, body: '{"model":' },
    400,
    'badRequest',
  ],
  [
    'JSON that is not an object',
    chatPath,
    { method: 'POST', headers: redTeam, body: '[]' },
    400,
    'badRequest',
  ],
  ['no body', chatPath, { method: 'POST', headers: redTeam }, 400, 'badRequest'],
  ['a model that is not a string', chatPath, chat({ model: 1 }), 400, 'badRequest'],
  ['an unknown model', chatPath, chat({ model: 'none' }), 404, 'unknownEntry'],
  ['a plain entry as model', chatPath, chat({ model: 'desk' }), 400, 'badRequest'],
  [
    'an oversized body',
    deskPath,
    { method: 'POST', headers: redTeam, body: 'x'.repeat(1_001) },
    413,
    'bodyTooLarge',
  ],
  [
    'an idempotency key with spaces',
    deskPath,
    { headers: { ...redTeam, 'idempotency-key': 'a b' } },
    400,
    'badRequest',
  ],
  ['an unknown path', '/nothing', {}, 400, 'badRequest'],
];
for (const [name, path, init, status, reason] of refusals) {
  test(`${name} is refused as not run with a problem document, and counted`, async () => {
    const { url, calls, counts } = await startFrontend();
    const answer = await fetch(url + path, init);
    const problem = (await answer.json()) as ProblemDetails;
    assert.equal(answer.status, status);
    assert.equal(answer.headers.get('content-type'), 'application/problem+json');
    assert.equal(problem.reason, reason);
    assert.equal(problem.verdict, 'notRun');
    assert.equal(problem.requestId, answer.headers.get('x-request-id'));
    assert.deepEqual(problem.routers, ['127.0.0.1:2']);
    assert.deepEqual(counts, [`front.refused ${reason}`]);
    assert.deepEqual(calls, []);
  });
}

/** Sends raw bytes and resolves with everything received until the connection closes. */
function sendRaw(port: number, bytes: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let seen = '';
    socket.on('data', (chunk) => (seen += chunk.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(seen);
    });
    socket.write(bytes);
  });
}

const requestHead = 'POST /v1/services/desk/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer red\r\n';
const malformedRequests: readonly (readonly [string, string, RegExp])[] = [
  ['nonsense', 'nonsense\r\n\r\n', /^HTTP\/1.1 400 .*"reason":"badRequest"/s],
  [
    'an oversized head',
    `${requestHead}X: ${'x'.repeat(20_000)}\r\n\r\n`,
    /^HTTP\/1.1 400 .*"badRequest"/s,
  ],
  [
    'a broken chunk',
    `${requestHead}Transfer-Encoding: chunked\r\n\r\nzz\r\n`,
    /^HTTP\/1.1 400 .*"badRequest"/s,
  ],
  ['a slow head', 'GET / HTTP/1.1\r\nHost:', /^HTTP\/1.1 408 .*"reason":"slowCaller"/s],
  [
    'a slow body',
    `${requestHead}Content-Length: 9\r\n\r\nslow`,
    /^HTTP\/1.1 408 .*"reason":"slowCaller"/s,
  ],
  [
    'a wrong host',
    'GET / HTTP/1.1\r\nHost: a b\r\nConnection: close\r\n\r\n',
    /400 .*"badRequest"/s,
  ],
];
for (const [name, bytes, expected] of malformedRequests) {
  test(`a request with ${name} gets an error with a request id, and its connection is closed`, async () => {
    const { port, calls } = await startFrontend();
    const got = await sendRaw(port, bytes);
    assert.match(got, expected);
    assert.match(got, /x-request-id: \S+/i);
    assert.deepEqual(calls, []);
  });
}

test('a router that refuses requests states the reason, lists other routers and stays healthy', async () => {
  const { url } = await startFrontend(echo, notRun('leaving', 'the router is leaving', 1_500));
  for (const path of [chatPath, deskPath, '/readyz']) {
    const answer = await fetch(url + path, path === chatPath ? chat({ model: 'chat' }) : {});
    const problem = (await answer.json()) as ProblemDetails;
    assert.equal(answer.status, 503);
    assert.equal(answer.headers.get('retry-after'), '2');
    assert.deepEqual([problem.reason, problem.verdict], ['leaving', 'notRun']);
  }
  assert.equal((await fetch(`${url}/healthz`)).status, 200);
  const routers = (await (await fetch(`${url}/v1/routers`)).json()) as { readonly ttl: number };
  assert.equal(routers.ttl, 5_000);
});

test('a chat body is forwarded byte for byte, and rewritten only if the model has another name', async () => {
  const { url, calls } = await startFrontend();
  const same = '{ "model":"letters", "max_tokens": 7, "seed": 12345678901234567890 }';
  await fetch(url + chatPath, { method: 'POST', headers: redTeam, body: same });
  await fetch(url + chatPath, chat({ model: 'chat', stream: true }));
  const [first, second] = calls;
  assert.equal(Buffer.from(first?.request.body ?? '').toString(), same);
  assert.ok((first?.hint ?? 0) >= 7);
  assert.equal(second?.entry, 'chat');
  assert.equal(second.stream, true);
  assert.deepEqual(JSON.parse(Buffer.from(second.request.body ?? '').toString()), {
    model: 'letters',
    stream: true,
  });
});

test('hop-by-hop fields and fields for the router do not reach the server, nor the attempt id the caller', async () => {
  const { port, calls } = await startFrontend();
  const got = await sendRaw(
    port,
    `${requestHead}Connection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nX-Kept: 2\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi`,
  );
  assert.deepEqual(calls[0]?.request.headers, { 'x-kept': '2' });
  assert.equal(calls[0].key, 'k');
  assert.equal(calls[0].request.path, '/x');
  assert.ok(got.endsWith('\r\n\r\nhi'));
  assert.doesNotMatch(got, /attempt/);
});

function runThatFails(events: boolean): Run {
  // eslint-disable-next-line @typescript-eslint/require-await -- a server that fails at once
  return async function* () {
    yield { kind: 'head', status: 200, headers: {}, events };
    yield events ? { kind: 'events', data: ['one'] } : { kind: 'bytes', bytes: Buffer.from('one') };
    yield { kind: 'failed', failure: mayHaveRun('connectionLost', 'cut') };
  };
}

test('a stream that fails ends with an error event and without the end marker', async () => {
  const { url } = await startFrontend(runThatFails(true));
  const text = await (await fetch(url + chatPath, chat({ model: 'chat', stream: true }))).text();
  assert.match(text, /^data: one\n\nevent: error\ndata: \{.*"verdict":"mayHaveRun".*\}\n\n$/);
});

test('a plain response that fails breaks off and never looks complete', async () => {
  const { url } = await startFrontend(runThatFails(false));
  await assert.rejects(fetch(url + deskPath, { headers: redTeam }).then((answer) => answer.text()));
});

test('a caller that disconnects aborts its call, after which the router is idle', async () => {
  const aborted: string[] = [];
  const { url, front } = await startFrontend(async function* (_, caller) {
    yield { kind: 'head', status: 200, headers: {}, events: true };
    yield { kind: 'events', data: ['one'] };
    await new Promise((resolve) => {
      caller.addEventListener('abort', resolve);
    });
    aborted.push('aborted');
    yield { kind: 'failed', failure: mayHaveRun('callerGone', 'gone') };
  });
  const abort = new AbortController();
  const answer = await fetch(url + chatPath, { ...chat({ model: 'chat' }), signal: abort.signal });
  await answer.body?.getReader().read();
  abort.abort();
  for (let tries = 0; tries < 100 && front.inFlight > 0; tries += 1) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert.deepEqual(aborted, ['aborted']);
  assert.equal(front.inFlight, 0);
});

// Node emits no `close` on responses queued behind another one. Their calls would run on for a
// caller that is gone, and the router would count them as in flight forever.
test('a caller that disconnects aborts its pipelined calls whose responses are queued behind another one', async () => {
  const { port, front, calls } = await startFrontend(async function* (_, caller) {
    yield { kind: 'head', status: 200, headers: {}, events: true };
    yield { kind: 'events', data: ['x'.repeat(100_000)] };
    await new Promise((resolve) => {
      if (caller.aborted) resolve(undefined);
      caller.addEventListener('abort', resolve);
    });
    yield { kind: 'failed', failure: mayHaveRun('callerGone', 'gone') };
  });
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(`${requestHead}Content-Length: 0\r\n\r\n`.repeat(3));
  while (calls.length < 3) await new Promise((resolve) => setTimeout(resolve, 5));
  socket.destroy();
  for (let tries = 0; tries < 100 && front.inFlight > 0; tries += 1) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert.equal(front.inFlight, 0);
});

test('back-pressure of a caller that does not read stops the flow of response parts', async () => {
  let produced = 0;
  const { port } = await startFrontend(async function* (_, caller) {
    yield { kind: 'head', status: 200, headers: {}, events: false };
    for (; produced < 2_000 && !caller.aborted; produced += 1) {
      yield { kind: 'bytes', bytes: Buffer.alloc(65_536) };
      await Promise.resolve();
    }
    yield { kind: 'failed', failure: mayHaveRun('callerGone', 'gone') };
  });
  const socket = connect(port, '127.0.0.1');
  socket.pause();
  socket.on('error', () => undefined);
  socket.write(`${requestHead}Content-Length: 0\r\n\r\n`);
  await new Promise((resolve) => setTimeout(resolve, 300));
  assert.ok(produced < 500, `${produced} pieces of 64 KiB`);
  socket.destroy();
});

test('closing waits for the requests in flight', async () => {
  let release = (): void => undefined;
  const { url, front } = await startFrontend(async function* (call) {
    await new Promise<void>((resolve) => {
      release = resolve;
    });
    yield* echo(call);
  });
  const asked = fetch(url + deskPath, { method: 'PUT', headers: redTeam, body: 'hello' });
  while (front.inFlight === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  const closed = front.close();
  release();
  assert.equal(await (await asked).text(), 'hello');
  await closed;
});
