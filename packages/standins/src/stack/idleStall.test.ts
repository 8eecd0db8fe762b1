// A request that waits in its connection while the process stands still, and whose connection reaches the idle limit meanwhile.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { CallerConnection } from './callerConnection.js';
import { StackFleet, desiredStateOf, names } from './fleet.js';

const idleTimeoutMs = 600;
/** Node closes an idle connection one second later than it is told to. */
const stall = idleTimeoutMs + 1_900;

// Guards against a connection that is closed for idleness under a request that has come: timers run before reads after a stall.
test('a request that came before a stall gets a response', async (t) => {
  const fleet = await StackFleet.start();
  t.after(() => fleet.close());
  const limits = { idleTimeoutMs, headerTimeoutMs: 3_000 };
  fleet.store.put('op', 'config', desiredStateOf(2, { limits }));
  await fleet.addRouter();
  await fleet.ready();
  const connection = await CallerConnection.open(fleet.routers[0]?.settings.listen.callers ?? '');
  const ask = (id: string): ReturnType<CallerConnection['ask']> => {
    const headers = {
      host: names.host,
      authorization: `Bearer ${names.key}`,
      'request-id': id,
      'deadline-ms': '3000',
    };
    return connection.ask({ method: 'GET', path: '/reads/1', headers });
  };
  assert.equal((await ask('first')).kind, 'whole');
  await pause(idleTimeoutMs / 2);
  const answer = ask('second');
  const end = performance.now() + stall;
  while (performance.now() < end);
  // The router may refuse it, since it is behind after the stall.
  assert.equal((await answer).kind, 'whole');
  connection.close();
});
