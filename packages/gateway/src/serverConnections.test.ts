// Requests that end while the router connects to their server.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { ServerInstance } from '@catkinwheel/coordination/routing';
import type { ResponsePart } from '@catkinwheel/protocol';
import { ServerConnections } from './serverConnections.js';

const charge = { method: 'POST', path: '/charges/1', headers: {}, body: Buffer.from('amount=1') };

interface Setting {
  /** Requests that reached the server. */
  readonly reached: () => number;
  /** Sends a charge and ends its caller's interest `when` it is on its way; resolves with the last part of its response. */
  readonly sendAndWithdraw: (when: () => Promise<unknown>) => Promise<ResponsePart | undefined>;
}

async function start(t: TestContext): Promise<Setting> {
  let reached = 0;
  const server = createServer((request, response) => {
    reached += 1;
    request.resume().on('end', () => {
      setTimeout(() => response.end('done'), 50);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const connections = ServerConnections.create();
  t.after(() => {
    connections.retireExcept([]);
    server.close();
  });
  const instance = { id: 'desk-1', born: 1, address: `127.0.0.1:${port}` } as ServerInstance;
  const sendAndWithdraw = async (
    when: () => Promise<unknown>,
  ): Promise<ResponsePart | undefined> => {
    const withdrawal = new AbortController();
    const cancellation = { aborted: new AbortController().signal, withdrawn: withdrawal.signal };
    const parts = connections.send(instance, charge, cancellation, () => true);
    await when();
    withdrawal.abort('callerGone');
    let last: ResponsePart | undefined;
    for await (const part of parts) last = part;
    return last;
  };
  return { reached: () => reached, sendAndWithdraw };
}

// Guards against GONE: a request that may run only once cannot be called back from a server, and was sent although its caller had left
// while the router connected.
test('a request that is withdrawn while the router connects is not sent', async (t) => {
  const { reached, sendAndWithdraw } = await start(t);
  const last = await sendAndWithdraw(() => Promise.resolve());
  assert.ok(last?.kind === 'failed');
  assert.equal(last.failure.verdict, 'notRun');
  await pause(100);
  assert.equal(reached(), 0);
});

test('a request that is withdrawn when it has been sent goes on', async (t) => {
  const { reached, sendAndWithdraw } = await start(t);
  const last = await sendAndWithdraw(async () => {
    while (reached() === 0) await pause(1);
  });
  assert.equal(last?.kind, 'end');
});
