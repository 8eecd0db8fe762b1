// A store that is away for a moment and comes back from a copy some seconds old: what was written since is gone, and versions are
// given out again. Operators and servers write again what they wrote.

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { call, type CallResult } from './caller.js';
import { StackFleet, desiredStateOf, modelFields, names, until } from './fleet.js';
import { StackServer } from './server.js';

/** `configApplyMs` of the published deployments. */
const applyTime = 2_000;
/** Time in which all routers have read what the store told last. */
const settleTime = 500;
/** Writes to the store before and after its return, which differ so that the later ones pass the versions of the former. */
const lost = 5;

let fleet: StackFleet;
let sent = 0;

function send(path: string, index: number): Promise<CallResult> {
  sent += 1;
  return call({
    address: fleet.routers[index]?.settings.listen.callers ?? '',
    host: names.host,
    id: `era-${sent}`,
    key: names.key,
    path,
    method: 'POST',
    body: '{}',
    headers: path.startsWith('/letters/') ? modelFields : {},
  });
}

/** Requests that are sent together, and times that they are, within which each server must have got one. */
const burst = 12;
const maxBursts = 6;
/** Time that an answer takes, so that the requests of a burst are at servers together. */
const answerPause = 100;

/** Whether each router sends the server requests. */
async function isUsed(server: StackServer): Promise<boolean> {
  for (const index of fleet.routers.keys()) {
    const before = server.seen.length;
    for (let count = 0; count < maxBursts && server.seen.length === before; count += 1)
      await Promise.all(Array.from({ length: burst }, () => send('/reads/1', index)));
    if (server.seen.length === before) return false;
  }
  return true;
}

/** Resolves with whether the condition holds within `applyTime`. */
async function holdsInTime(condition: () => Promise<boolean>): Promise<boolean> {
  const end = performance.now() + applyTime;
  while (performance.now() < end) if (await condition()) return true;
  return false;
}

/** Takes a copy, has rows written that are lost, and brings the store back from the copy. */
async function loseWrites(write: () => void = () => undefined): Promise<void> {
  const copy = fleet.store.copy();
  write();
  for (let index = 0; index < lost; index += 1) fleet.store.put('other', `row-${index}`, index);
  fleet.store.put('servers', 'nobody', {});
  await pause(settleTime);
  fleet.store.mode = 'busy';
  fleet.store.restore(copy);
}

const added: StackServer[] = [];

async function addServer(id: string): Promise<StackServer> {
  const server = await StackServer.start(id);
  server.answerPause = answerPause;
  added.push(server);
  return server;
}

before(async () => {
  fleet = await StackFleet.start();
  for (const desk of fleet.desks) desk.answerPause = answerPause;
  await fleet.addRouter();
  await fleet.addRouter();
  await fleet.ready(0);
  await fleet.ready(1);
});

after(async () => {
  await fleet.close();
  await Promise.all(added.map((server) => server.close()));
});

// Guards against a router that takes the table of a store that has come back for an older one, and drops it.
test('a server that registers after the store has come back from an older copy gets requests', async () => {
  const server = await addServer('desk-3');
  await loseWrites();
  fleet.store.mode = 'well';
  fleet.register(server, names.desk);
  assert.ok(await holdsInTime(() => isUsed(server)), 'a router does not use it');
});

// Guards against rows that are never read: polled from the version that was known before, the store tells only what is newer.
test('a server whose registration has a version that was given out before gets requests', async () => {
  const server = await addServer('desk-4');
  await loseWrites();
  fleet.register(server, names.desk);
  for (let index = 0; index < 3 * lost; index += 1) fleet.store.put('other', 'row', index);
  fleet.register(fleet.desks[0] ?? server, names.desk, { sequence: 2 });
  fleet.store.mode = 'well';
  assert.ok(await holdsInTime(() => isUsed(server)), 'a router does not use it');
});

// Guards against a fleet that new routers do not find.
test('routers register again in a store that has come back from an older copy', async () => {
  const copy = fleet.store.copy();
  const rows = new Map([...copy.rows].filter(([, { table }]) => table !== 'routers'));
  fleet.store.restore({ rows, ver: copy.ver });
  assert.deepEqual(fleet.store.keys('routers'), []);
  await until(() => fleet.store.keys('routers').length === fleet.routers.length);
});

// Guards against CONFIG: a router that reverts to a desired state which an operator has replaced.
test('the desired state stays in force when the store comes back from an older copy, until a newer one is written', async () => {
  const { routes } = desiredStateOf(2) as { routes: readonly Record<string, unknown>[] };
  const [letters, drafts, reads] = routes;
  const open = { ...reads, name: 'open', prefix: '/open/' };
  const second = desiredStateOf(2, { routes: [letters, drafts, reads, open] });
  const statusOf = async (index: number): Promise<number> => (await send('/open/1', index)).status;
  const isServed = async (): Promise<boolean> =>
    (await statusOf(0)) === 200 && (await statusOf(1)) === 200;
  await loseWrites(() => {
    fleet.store.put('op', 'config', second);
  });
  assert.ok(await isServed());
  fleet.store.mode = 'well';
  await pause(settleTime);
  assert.ok(await isServed(), 'reverted');
  fleet.store.put('op', 'config', second);
  await pause(settleTime);
  fleet.store.put('op', 'config', desiredStateOf(3));
  assert.ok(
    await holdsInTime(async () => (await statusOf(0)) === 404 && (await statusOf(1)) === 404),
    'the third version is not in force',
  );
});

// Guards against dropping servers whose registrations the store has lost: they are written again within two seconds.
test('a server whose registration an older copy lacks gets requests until the time to write it again has passed', async () => {
  const server = await addServer('desk-5');
  await loseWrites(() => {
    fleet.register(server, names.desk);
  });
  fleet.store.mode = 'well';
  await pause(settleTime);
  assert.ok(await isUsed(server), 'a router has dropped it');
  fleet.register(server, names.desk);
  await pause(applyTime + settleTime);
  assert.ok(await isUsed(server), 'a router has dropped it after its return');
});
