import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { server } from './fixtures.test.js';
import { ServerTable } from './serverTable.js';

test('a server whose registration expires while the store is unreachable is kept for two seconds', async () => {
  const clock = Clock.manual();
  const table = ServerTable.create(clock);
  table.update([server('a')], false);
  assert.deepEqual(table.update([], true), []);
  assert.notEqual(table.get('a'), undefined);
  await clock.advance(2_000);
  assert.deepEqual(table.expire(), ['a']);
  assert.equal(table.get('a'), undefined);
});

test('what was learned about a server is kept if its registration is renewed in time', async () => {
  const clock = Clock.manual();
  const table = ServerTable.create(clock);
  table.update([server('a')], false);
  table.update([], true);
  await clock.advance(1_000);
  assert.deepEqual(table.update([server('a')], false), []);
  await clock.advance(5_000);
  assert.deepEqual(table.expire(), []);
});

test('a server whose registration is removed while the store is reachable is gone', () => {
  const table = ServerTable.create(Clock.manual());
  table.update([server('a')], false);
  assert.deepEqual(table.update([], false), ['a']);
  assert.equal(table.get('a'), undefined);
});

test('a server that was leaving when the store became unreachable is not kept', () => {
  const table = ServerTable.create(Clock.manual());
  table.update([server('a', { isLeaving: true })], false);
  assert.deepEqual(table.update([], true), ['a']);
});

test('a server that restarts under the same id is cold, and what was learned about it is dropped', async () => {
  const clock = Clock.manual();
  const table = ServerTable.create(clock);
  table.update([server('a')], false);
  assert.deepEqual(table.update([server('a', { born: 2, coldLeft: 3_000 })], false), ['a']);
  const known = table.get('a');
  assert.ok(known !== undefined && table.isCold(known));
  await clock.advance(3_000);
  assert.ok(!table.isCold(known));
});
