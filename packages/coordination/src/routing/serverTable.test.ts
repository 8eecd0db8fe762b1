import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { server } from './fixtures.test.js';
import type { ServerInstance } from './serverInstance.js';
import { ServerTable } from './serverTable.js';

function idsOf(instances: readonly ServerInstance[]): readonly string[] {
  return instances.map(({ id }) => id);
}

test('a server whose registration expires while the store is unreachable is kept for two seconds', async () => {
  const clock = Clock.manual();
  const table = ServerTable.create(clock);
  table.update([server('a')], false);
  assert.deepEqual(idsOf(table.update([], true)), []);
  assert.notEqual(table.get('a'), undefined);
  await clock.advance(2_000);
  assert.deepEqual(idsOf(table.expire()), ['a']);
  assert.equal(table.get('a'), undefined);
});

test('what was learned about a server is kept if its registration is renewed in time', async () => {
  const clock = Clock.manual();
  const table = ServerTable.create(clock);
  table.update([server('a')], false);
  table.update([], true);
  await clock.advance(1_000);
  assert.deepEqual(idsOf(table.update([server('a')], false)), []);
  await clock.advance(5_000);
  assert.deepEqual(idsOf(table.expire()), []);
});

test('a server whose registration is removed while the store is reachable is gone', () => {
  const table = ServerTable.create(Clock.manual());
  table.update([server('a')], false);
  assert.deepEqual(idsOf(table.update([], false)), ['a']);
  assert.equal(table.get('a'), undefined);
});

test('a server that was leaving when the store became unreachable is not kept', () => {
  const table = ServerTable.create(Clock.manual());
  table.update([server('a', { isLeaving: true })], false);
  assert.deepEqual(idsOf(table.update([], true)), ['a']);
});

test('a server that restarts under the same id is cold, and what was learned about it is dropped', async () => {
  const clock = Clock.manual();
  const table = ServerTable.create(clock);
  table.update([server('a')], false);
  assert.deepEqual(idsOf(table.update([server('a', { born: 2, coldLeft: 3_000 })], false)), ['a']);
  const known = table.get('a');
  assert.ok(known !== undefined && table.isCold(known));
  await clock.advance(3_000);
  assert.ok(!table.isCold(known));
});

// Heartbeats may be written late: a row that is read after the news can be older than it.
test('an instance that is leaving stays so, whatever later registrations of it say', () => {
  const table = ServerTable.create(Clock.manual());
  table.update([server('a'), server('b', { isLeaving: true })], false);
  assert.ok(table.recordLeaving(server('a')));
  assert.ok(!table.recordLeaving(server('a')));
  table.update([], true);
  table.update([server('a'), server('b')], false);
  assert.deepEqual(
    table.all().map(({ isLeaving }) => isLeaving),
    [true, true],
  );
  assert.deepEqual(table.announcedLeaving(), [{ id: 'a', address: server('a').address, born: 1 }]);
});

test('a new instance under the id of one that is leaving is not', () => {
  const table = ServerTable.create(Clock.manual());
  table.update([server('a')], false);
  table.recordLeaving(server('a'));
  table.update([server('a', { born: 2 })], false);
  assert.equal(table.get('a')?.isLeaving, false);
  // A response of the former instance may come after the registration of the new one.
  assert.ok(!table.recordLeaving(server('a')) && table.get('a')?.isLeaving === false);
});

// The former instance of an id may have left long ago; memory is bounded.
test('a departure is forgotten some time after its server was registered last', async () => {
  const clock = Clock.manual();
  const table = ServerTable.create(clock);
  table.update([server('a')], false);
  table.recordLeaving(server('a'));
  await clock.advance(700_000);
  table.expire();
  assert.equal(table.get('a')?.isLeaving, true);
  table.update([], false);
  table.expire();
  table.update([server('a')], false);
  assert.equal(table.get('a')?.isLeaving, false);
});

// Guards against blame for ends that are planned, and against ends that look planned since the entry goes at once.
test('a server may end as planned once it has been off the list for a second, or has said that it leaves', async () => {
  const clock = Clock.manual();
  const table = ServerTable.create(clock);
  table.update([server('a'), server('bb', { isLeaving: true })], false);
  assert.ok(!table.mayEnd(server('a')));
  assert.ok(table.mayEnd(server('bb')));
  table.update([], false);
  assert.ok(!table.mayEnd(server('a')));
  await clock.advance(1_100);
  assert.ok(table.mayEnd(server('a')));
  assert.ok(!table.mayEnd(server('a', { born: 2 })));
  assert.ok(!table.mayEnd(server('unknown', { born: undefined })));
});

// Guards against a server that is never reached again: its registration may lack the start time, or repeat it.
for (const born of [undefined, 1]) {
  test(`a server at another address is another instance, with ${String(born)} as its start time`, () => {
    const table = ServerTable.create(Clock.manual());
    const former = server('a', { born, address: '10.0.0.1:81' });
    const present = server('a', { born, address: '10.0.0.1:82' });
    table.update([former], false);
    assert.deepEqual(idsOf(table.update([present], false)), ['a']);
    assert.ok(table.isReplaced(former) && table.isRegistered(present));
    assert.ok(!table.recordLeaving(former));
    table.markCold(former, 1_000);
    const known = table.get('a');
    assert.ok(known !== undefined && !known.isLeaving && !table.isCold(known));
  });
}

// Guards against a write of a former instance that the store performs after those of the present one.
test('a registration of a former instance replaces neither the present one nor one that has just gone', () => {
  const table = ServerTable.create(Clock.manual());
  const former = server('a', { address: '10.0.0.1:81', isLeaving: true });
  const present = server('a', { born: 2, address: '10.0.0.1:82' });
  table.update([former], false);
  table.update([present], false);
  assert.deepEqual(idsOf(table.update([former], false)), []);
  assert.ok(table.isRegistered(present) && table.get('a')?.isLeaving === false);
  table.update([], false);
  table.update([former], false);
  assert.equal(table.get('a'), undefined);
});

// Guards against a server that is never reached again since the clock of its new machine is behind that of the former one.
test('a registration that goes on naming an earlier start replaces the later one in the end', async () => {
  const clock = Clock.manual();
  const table = ServerTable.create(clock);
  const former = server('a', { born: 2, address: '10.0.0.1:81' });
  const present = server('a', { born: 1, address: '10.0.0.1:82' });
  table.update([former], false);
  table.recordLeaving(former);
  table.update([present], false);
  assert.ok(table.isRegistered(former));
  await clock.advance(4_000);
  assert.deepEqual(idsOf(table.expire()), ['a']);
  assert.ok(table.isRegistered(present) && table.get('a')?.isLeaving === false);
  assert.deepEqual(idsOf(table.expire()), []);
});

// Guards against late writes that add up: each one counts from its own time.
test('a later registration of the present instance ends the wait for an earlier start', async () => {
  const clock = Clock.manual();
  const table = ServerTable.create(clock);
  const former = server('a', { address: '10.0.0.1:81' });
  const present = server('a', { born: 2, address: '10.0.0.1:82' });
  for (const registered of [former, present, former]) table.update([registered], false);
  await clock.advance(3_000);
  for (const registered of [present, former]) table.update([registered], false);
  await clock.advance(3_000);
  assert.deepEqual(idsOf(table.expire()), []);
  assert.ok(table.isRegistered(present));
});
