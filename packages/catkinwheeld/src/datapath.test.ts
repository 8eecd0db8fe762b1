// The data path from a caller over HTTP to a server and back, with a permit source that grants at once.
import assert from 'node:assert/strict';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { test } from 'node:test';
import {
  closeAfterTests,
  headers,
  listen,
  memoryTable,
  startRouter,
} from './datapathFakes.test.js';

async function startServer(
  handle: (incoming: IncomingMessage, outgoing: ServerResponse) => void,
): Promise<string> {
  const server = createServer(handle);
  closeAfterTests(() => {
    server.closeAllConnections();
  });
  return listen(server);
}

function sendShortStream(incoming: IncomingMessage, outgoing: ServerResponse): void {
  incoming.resume().on('end', () => {
    const id = String(incoming.headers['x-request-id']);
    outgoing.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id });
    for (const content of ['a', 'b', 'c']) {
      outgoing.write(`data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`);
    }
    outgoing.end('data: [DONE]\n\n');
  });
}

function echoRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
  const parts: Buffer[] = [];
  incoming.on('data', (chunk: Buffer) => parts.push(chunk));
  incoming.on('end', () => {
    outgoing.setHeader('x-request-id', String(incoming.headers['x-request-id']));
    outgoing.end(
      `${incoming.method ?? ''} ${incoming.url ?? ''} ${Buffer.concat(parts).toString()}`,
    );
  });
}

test('a chat stream reaches its caller complete, with its end mark', async () => {
  const url = await startRouter({
    e1: await startServer(sendShortStream),
    p1: await startServer(echoRequest),
  });
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({ model: 'chat', stream: true, messages: [] }),
  });
  const text = await response.text();
  assert.equal(response.status, 200);
  assert.match(text, /"a".*\n\n.*"b".*\n\n.*"c".*\n\ndata: \[DONE\]\n\n$/);
});

test('a plain request is forwarded with its method, path, query and body', async () => {
  const url = await startRouter({
    e1: await startServer(sendShortStream),
    p1: await startServer(echoRequest),
  });
  const response = await fetch(`${url}/v1/services/desk/cats?id=1`, {
    method: 'PUT',
    headers,
    body: 'hello',
  });
  assert.equal(await response.text(), 'PUT /cats?id=1 hello');
});

test('a request with an idempotency key is refused as not run while the platform is down', async () => {
  const url = await startRouter({
    e1: await startServer(sendShortStream),
    p1: await startServer(echoRequest),
  });
  const response = await fetch(`${url}/v1/services/desk/pay`, {
    method: 'POST',
    headers: { ...headers, 'idempotency-key': 'k' },
    body: 'x',
  });
  assert.equal(response.status, 503);
  assert.match(String(response.headers.get('content-type')), /problem\+json/);
  const problem = (await response.json()) as Record<string, unknown>;
  assert.equal(problem.verdict, 'notRun');
  assert.equal(problem.reason, 'platformUnavailable');
  assert.equal(problem.requestId, response.headers.get('x-request-id'));
});

type Handler = (incoming: IncomingMessage, outgoing: ServerResponse) => void;

const streamTokens = Array.from({ length: 40 }, (_, index) => `${index},`);

/** Sends the tokens from `from` up to `to` (exclusive), and the end mark after the last one. */
function sendTokens(id: string, from: number, to: number, outgoing: ServerResponse): void {
  outgoing.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id });
  for (const content of streamTokens.slice(from, to)) {
    outgoing.write(`data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`);
  }
  if (to === streamTokens.length) outgoing.end('data: [DONE]\n\n');
}

function idOf(incoming: IncomingMessage): string {
  return String(incoming.headers['x-request-id']);
}

/** Calls the n-th handler for the n-th request; the last one serves all further requests. */
function handleInOrder(...handles: readonly Handler[]): Handler {
  let count = 0;
  return (incoming, outgoing) => {
    const handle = handles[Math.min(count, handles.length - 1)];
    count += 1;
    incoming.resume().on('end', () => handle?.(incoming, outgoing));
  };
}

const closeAfter7Tokens: Handler = (incoming, outgoing) => {
  sendTokens(idOf(incoming), 0, 7, outgoing);
  setTimeout(() => outgoing.destroy(), 50);
};
const stallAfter7Tokens: Handler = (incoming, outgoing) => {
  sendTokens(idOf(incoming), 0, 7, outgoing);
};
const resumeStream: Handler = (incoming, outgoing) => {
  const [, id = '', offset = ''] = /streams\/(.*)\?offset=(\d+)/.exec(incoming.url ?? '') ?? [];
  sendTokens(id, Number(offset), streamTokens.length, outgoing);
};
const unknownStream: Handler = (incoming, outgoing) => {
  outgoing.writeHead(404, { 'x-request-id': idOf(incoming) }).end();
};
const continueAfter7Tokens: Handler = (incoming, outgoing) => {
  sendTokens(idOf(incoming), 7, streamTokens.length, outgoing);
};

const streams: readonly (readonly [string, Handler, Handler])[] = [
  ['breaks off and is resumed', handleInOrder(closeAfter7Tokens, resumeStream), unknownStream],
  [
    'stalls and is resumed on a new connection',
    handleInOrder(stallAfter7Tokens, resumeStream),
    unknownStream,
  ],
  [
    'is lost by its server and continued by another',
    handleInOrder(closeAfter7Tokens, unknownStream),
    handleInOrder(continueAfter7Tokens),
  ],
];
for (const [name, first, second] of streams) {
  test(`a stream that ${name} reaches its caller complete and without duplicates`, async () => {
    const url = await startRouter({ e1: await startServer(first), e2: await startServer(second) });
    const body = JSON.stringify({ model: 'chat', stream: true, messages: [] });
    const response = await fetch(`${url}/v1/chat/completions`, { method: 'POST', headers, body });
    const text = await response.text();
    const contents = [...text.matchAll(/"content":"(.*?)"/g)].map(([, content]) => content);
    assert.deepEqual(contents, streamTokens);
    assert.ok(text.endsWith('data: [DONE]\n\n'));
  });
}

test('the stream of a caller that disconnects is cancelled on the server', async () => {
  const cancelled = new Promise<string>((resolve) => {
    const handle: Handler = (incoming, outgoing) => {
      if (incoming.method === 'DELETE') resolve(incoming.url ?? '');
      else stallAfter7Tokens(incoming, outgoing);
    };
    void startServer(handleInOrder(handle)).then(async (address) => {
      const url = await startRouter({ e1: address });
      const abort = new AbortController();
      const body = JSON.stringify({ model: 'chat', stream: true });
      const init = { method: 'POST', headers, body, signal: abort.signal };
      const response = await fetch(`${url}/v1/chat/completions`, init);
      await response.body?.getReader().read();
      abort.abort();
    });
  });
  assert.match(await cancelled, /^\/v1\/streams\/.+\.1$/);
});

test('a reused idempotency key gets the recorded response, and is refused with another body', async () => {
  let executions = 0;
  const pay: Handler = (incoming, outgoing) => {
    executions += 1;
    echoRequest(incoming, outgoing);
  };
  const url = await startRouter(
    { e1: await startServer(sendShortStream), p1: await startServer(pay) },
    memoryTable(),
  );
  const ask = (body: string): Promise<Response> =>
    fetch(`${url}/v1/services/desk/pay`, {
      method: 'POST',
      headers: { ...headers, 'idempotency-key': 'k' },
      body,
    });
  assert.equal(await (await ask('5')).text(), 'POST /pay 5');
  const replay = await ask('5');
  assert.equal(replay.headers.get('idempotency-replayed'), 'true');
  assert.equal(await replay.text(), 'POST /pay 5');
  const rejected = await ask('6');
  assert.equal(rejected.status, 422);
  assert.equal(((await rejected.json()) as { readonly reason: string }).reason, 'keyReused');
  assert.equal(executions, 1);
});
