// What callers get on kept connections when servers break off or spoil their answers. Each answer that looks whole has
// to be that of one run, and nothing may come on a connection that is no answer to its request.

import assert from 'node:assert/strict';
import { after, afterEach, before, beforeEach, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { CallerConnection, type Answer, type PlainRequest } from './callerConnection.js';
import { StackFleet, names } from './fleet.js';
import type { Behaviour } from './behaviour.js';

let fleet: StackFleet;
let connection: CallerConnection;
let sent = 0;

before(async () => {
  fleet = await StackFleet.start();
  await fleet.addRouter();
  await fleet.ready();
});

after(() => fleet.close());

/** A server that failed gets no request for up to two seconds. */
const restTime = 300;

beforeEach(async () => {
  await pause(restTime);
  for (const server of fleet.desks) {
    server.behaviours = [];
    server.ran.length = 0;
  }
  connection = await CallerConnection.open(fleet.routers[0]?.settings.listen.callers ?? '');
});

afterEach(() => {
  connection.close();
});

interface Asked {
  readonly id: string;
  readonly answer: Answer;
}

async function ask(changes: Partial<PlainRequest> = {}): Promise<Asked> {
  sent += 1;
  const id = `broken-${sent}`;
  const headers = {
    host: names.host,
    'request-id': id,
    'deadline-ms': '2000',
    authorization: `Bearer ${names.key}`,
  };
  const answer = await connection.ask({ method: 'GET', path: '/reads/1', headers, ...changes });
  return { id, answer };
}

/** Makes the server that gets the next plain request treat it in the given way, and sends that request. */
async function askOf(behaviour: Behaviour): Promise<Asked> {
  const { id } = await ask();
  const server = fleet.desks.find(({ ran }) => ran.includes(id));
  assert.ok(server !== undefined);
  server.behaviours = [behaviour];
  const asked = await ask();
  assert.equal(server.behaviours.length, 0, `${server.id} got no request`);
  return asked;
}

/** Fails unless the answer is that of the server whose signature it has, or looks broken. */
function assertOwn({ id, answer }: Asked): void {
  assert.ok(answer.kind === 'whole' || answer.kind === 'broken', JSON.stringify(answer));
  if (answer.kind === 'broken' || answer.status !== 200) return;
  const seal = answer.headers['response-seal'] ?? '';
  assert.equal(answer.body, `${seal.replace('seal-', '')} ran ${id}`);
}

// Guards against the bytes of a second run behind those of the first, under the head of the first.
test('a plain request whose first server ends its answer in the middle gets one run or a broken answer', async () => {
  assertOwn(await askOf('cuts'));
  assert.equal(connection.excess, '');
});

// Guards against bytes beyond the declared length, which come before the answer to the next request.
test('an answer that breaks off leaves nothing on the connection that the next request gets', async () => {
  await askOf('cuts');
  if (connection.isClosed) return;
  const next = await ask();
  assert.equal(next.answer.kind, 'whole', JSON.stringify(next.answer));
  assertOwn(next);
});
