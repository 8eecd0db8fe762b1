import type { PlatformFailure } from '@catkinwheel/protocol';
import type { ResultAsync } from 'neverthrow';
import assert from 'node:assert/strict';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { Platform } from './platform.js';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

async function createClient(t: TestContext, handler: Handler): Promise<Platform> {
  const server = createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      handler(request, response);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = Platform.create({ address, connectTimeout: 200, requestTimeout: 300 });
  t.after(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  return client;
}

const answer =
  (status: number, body?: unknown): Handler =>
  (_request, response) => {
    response.writeHead(status).end(body === undefined ? undefined : JSON.stringify(body));
  };

const transaction = { checks: [], puts: [{ key: 'k', value: 1 }], deletes: [] };

// A write that may have taken effect must never be reported as not done, and vice versa.
const failureCases: readonly {
  readonly title: string;
  readonly handler: Handler;
  readonly write: PlatformFailure['kind'];
  readonly read: PlatformFailure['kind'];
}[] = [
  { title: '429', handler: answer(429), write: 'unavailable', read: 'unavailable' },
  { title: '503', handler: answer(503), write: 'unavailable', read: 'unavailable' },
  { title: '500', handler: answer(500), write: 'unknown', read: 'unavailable' },
  { title: '400', handler: answer(400), write: 'unavailable', read: 'unavailable' },
  {
    title: 'a connection that breaks after sending',
    handler: (request) => request.socket.destroy(),
    write: 'unknown',
    read: 'unavailable',
  },
  {
    title: 'a connection that breaks within the body of the response',
    handler: (request, response) => {
      response.writeHead(200, { 'content-length': 100 }).write('{"version"');
      setTimeout(() => request.socket.destroy(), 10);
    },
    write: 'unknown',
    read: 'unavailable',
  },
  {
    title: 'no response before the time-out',
    handler: () => undefined,
    write: 'unknown',
    read: 'unavailable',
  },
  {
    title: 'a malformed response',
    handler: answer(200, { version: 'x' }),
    write: 'unknown',
    read: 'unavailable',
  },
];

async function kindOf<T>(result: ResultAsync<T, PlatformFailure>): Promise<string> {
  return (await result).match(
    () => 'ok',
    ({ kind }) => kind,
  );
}

for (const { title, handler, write, read } of failureCases) {
  test(`${title}: a write fails with ${write}, a read with ${read}`, async (t) => {
    const client = await createClient(t, handler);
    assert.equal(await kindOf(client.transact(transaction)), write);
    assert.equal(await kindOf(client.rows('k')), read);
    assert.equal(await kindOf(client.vms()), read);
  });
}

test('a write over a refused connection is reported as not done', async () => {
  const client = Platform.create({
    address: 'http://127.0.0.1:1',
    connectTimeout: 200,
    requestTimeout: 300,
  });
  assert.equal(await kindOf(client.transact(transaction)), 'unavailable');
  assert.equal(await kindOf(client.put('k', 1)), 'unavailable');
  await client.close();
});

test('a conflict contains its keys', async (t) => {
  const client = await createClient(t, answer(409, { conflicts: ['k'] }));
  assert.deepEqual((await client.transact(transaction))._unsafeUnwrapErr(), {
    kind: 'conflict',
    keys: ['k'],
  });
});

test('requests have the methods and paths of the platform API', async (t) => {
  const requests: string[] = [];
  const client = await createClient(t, (request, response) => {
    requests.push(`${request.method ?? ''} ${request.url ?? ''}`);
    if (request.method === 'PUT') answer(204)(request, response);
    else if (request.url === '/v1/objects/none') answer(404)(request, response);
    else if (request.url?.includes('transact') === true)
      answer(200, { version: 3 })(request, response);
    else if (request.url?.includes('rows') === true) answer(200, { rows: [] })(request, response);
    else answer(200, [])(request, response);
  });
  assert.deepEqual((await client.transact(transaction))._unsafeUnwrap(), { version: 3 });
  assert.deepEqual((await client.rows('a/b c'))._unsafeUnwrap(), []);
  assert.equal((await client.put('a/b c', { x: 1 })).isOk(), true);
  assert.equal((await client.get('none'))._unsafeUnwrap(), null);
  assert.deepEqual((await client.vms())._unsafeUnwrap(), []);
  assert.deepEqual(requests, [
    'POST /v1/table/transact',
    'GET /v1/table/rows?prefix=a%2Fb%20c',
    'PUT /v1/objects/a/b%20c',
    'GET /v1/objects/none',
    'GET /v1/vms',
  ]);
});
