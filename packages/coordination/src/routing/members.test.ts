// Load pattern: many routers, one store with a price on calls, and readers that are cut off from it.

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
  /** Last contact of each router with the store. */
  readonly contact: Map<string, number>;
}

function fleet(): Fleet {
  const clock = Clock.manual(10_000);
  const members = new Map(names.map((name) => [name, Members.create(clock, name, 1)]));
  return { clock, members, contact: new Map() };
}

/** Passes time in steps of 100 ms: routers hear one another, and readers that are not cut read. */
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

test('three routers read the store once all have heard one another', async () => {
  const all = fleet();
  const readers = await run(all, 30, []);
  assert.equal(readers.at(-1)?.length, 3);
});

test('other routers take over from readers that are cut off, and go on until those are back', async () => {
  const all = fleet();
  const cut = (await run(all, 30, [])).at(-1) ?? [];
  const reading = await run(all, 60, cut);
  // A change has to reach everybody within 2 s; no step may be without a reader once the loss is noticed.
  for (const [step, readers] of reading.entries()) {
    if (step * 100 <= limit) continue;
    assert.ok(
      readers.some((name) => !cut.includes(name)),
      `step ${step}: ${readers.join()}`,
    );
  }
  assert.deepEqual((await run(all, 30, [])).at(-1), cut);
});

test('a router that is silent is not named to callers but counts for shares of budgets', async () => {
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
