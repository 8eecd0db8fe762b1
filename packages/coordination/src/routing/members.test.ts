// Guards the election of store readers: calls of the store are charged for, so few routers should read, yet
// readers may be cut off from it. Guards the list of routers that share what the fleet may send.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type ManualClock } from '@catkinwheel/state';
import { Members } from './members.js';

const limit = 1_600;
const place = { dataCentre: 'suva', isLeaving: false, capacity: 1, used: 0, isIdle: false };
const names = Array.from({ length: 8 }, (_, index) => `router-${index}`);

interface Fleet {
  readonly clock: ManualClock;
  readonly members: ReadonlyMap<string, Members>;
  /** Time of each router's last contact with the store. */
  readonly contact: Map<string, number>;
}

function fleet(): Fleet {
  const clock = Clock.manual(10_000);
  const members = new Map(names.map((name) => [name, Members.create(clock, name, 1)]));
  return { clock, members, contact: new Map() };
}

/**
 * Advances the clock in steps of 100 ms: routers receive heartbeats, and readers that are not cut off read.
 */
async function run({ clock, members, contact }: Fleet, steps: number, cut: readonly string[]) {
  const readers: string[][] = [];
  for (let step = 0; step < steps; step += 1) {
    await clock.advance(100);
    for (const [name, own] of members) {
      for (const other of names) {
        if (other === name) continue;
        const storeAge = clock.now() - (contact.get(other) ?? -Infinity);
        own.recordHeartbeat({ ...place, name: other, ip: other, storeAge });
      }
    }
    const reading = names.filter((name) => members.get(name)?.isStoreReader(limit) === true);
    for (const name of reading) if (!cut.includes(name)) contact.set(name, clock.now());
    readers.push(reading);
  }
  return readers;
}

test('three routers read the store once all have exchanged heartbeats', async () => {
  const all = fleet();
  const readers = await run(all, 30, []);
  assert.equal(readers.at(-1)?.length, 3);
});

test('other routers take over from readers that are cut off, until those are back', async () => {
  const all = fleet();
  const cut = (await run(all, 30, [])).at(-1) ?? [];
  const reading = await run(all, 60, cut);
  // A change has to reach all routers within 2 s; each step needs a reader once the loss has been detected.
  for (const [step, readers] of reading.entries()) {
    if (step * 100 <= limit) continue;
    assert.ok(
      readers.some((name) => !cut.includes(name)),
      `step ${step}: ${readers.join()}`,
    );
  }
  assert.deepEqual((await run(all, 30, [])).at(-1), cut);
});

test('a silent router is not offered to callers but counts for shares of budgets', async () => {
  const clock = Clock.manual(10_000);
  const members = Members.create(clock, 'own', 1);
  const other = { ...place, name: 'b', ip: '10.0.0.2', storeAge: 0 };
  assert.ok(members.recordHeartbeat(other));
  assert.ok(!members.recordHeartbeat(other));
  await clock.advance(1_600);
  assert.deepEqual(members.alive(), []);
  assert.deepEqual(members.names(), ['own', 'b']);
  await clock.advance(60_000);
  assert.deepEqual(members.names(), ['own']);
});

// Guards against FAILBACK of issue 42: routers that had just started, each of which knew only itself, sent a cold server the whole rate
// of the fleet each.
test('a router that has not yet learned which routers there are has no part in what they share', () => {
  const members = Members.create(Clock.manual(10_000), 'own', 1);
  assert.deepEqual(members.entryRouters(), []);
  members.register('other', { ip: '10.0.0.2', capacity: 1 });
  assert.deepEqual(members.entryRouters(), []);
  members.recordComplete();
  assert.deepEqual(members.entryRouters(), ['own', 'other']);
});
