import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setImmediate as immediate } from 'node:timers/promises';
import { CallerConnection } from './callerConnection.js';

const request = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

/** A connection with requests that wait for responses. */
async function start(
  t: TestContext,
): Promise<{ caller: Socket; connection: () => CallerConnection; due: ServerResponse[] }> {
  const due: ServerResponse[] = [];
  let connection: CallerConnection | undefined;
  const server = createServer(({ socket }, response) => {
    connection ??= CallerConnection.create(socket, 1, undefined);
    connection.add('a', response);
    due.push(response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  t.after(() => {
    caller.destroy();
    server.close();
  });
  const known = (): CallerConnection => {
    assert.ok(connection !== undefined);
    return connection;
  };
  return { caller, connection: known, due };
}

async function untilDue(due: readonly ServerResponse[], count: number): Promise<void> {
  while (due.length < count) await immediate();
}

// Guards against LOST: a response that closes the connection under a request behind it, during a planned stop or a handover.
test('only a response that is the only one due announces the close', async (t) => {
  const { caller, connection, due } = await start(t);
  caller.write(request + request);
  await untilDue(due, 2);
  assert.equal(connection().announceClose(), false);
  due[0]?.end();
  assert.ok(due[0] !== undefined);
  await once(due[0], 'finish');
  assert.equal(connection().isCloseAnnounced, false);
  assert.equal(connection().announceClose(), true);
  assert.equal(connection().isCloseAnnounced, true);
});
