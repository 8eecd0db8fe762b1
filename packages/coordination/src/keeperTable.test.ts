import type { ManualClock } from '@catkinwheel/state';
import { Clock } from '@catkinwheel/state';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FakeMembers,
  FakeMetrics,
  FakeTable,
  eventLog,
  relayOf,
  router,
  seededRandom,
} from './fakes.test.js';
import { KeeperTable } from './keeperTable.js';
import { Session } from './session.js';
import { sweepSessions } from './sessionSweep.js';

interface Side {
  readonly rows: KeeperTable;
  readonly session: Session;
  readonly stop: AbortController;
}

async function side(table: FakeTable, clock: ManualClock, name: string, run = 1): Promise<Side> {
  const self = router(name, `${name}-${run}`);
  const metrics = new FakeMetrics();
  const path = table.path(name);
  const common = { self, clock, table: path, metrics, eventLog, random: seededRandom(1) };
  const members = new FakeMembers(self);
  const session = Session.create({ ...common, members, relay: relayOf(table) });
  const stop = new AbortController();
  void session.run(stop.signal);
  await clock.advance(2_000);
  const rows = KeeperTable.create({ ...common, session });
  assert.ok(await rows.read());
  return { rows, session, stop };
}

test('of two routers that take a row at once, one gets it, and the fence rises each time', async () => {
  const clock = Clock.manual();
  const table = new FakeTable(clock);
  const [a, b] = [await side(table, clock, 'r1'), await side(table, clock, 'r2')];
  assert.ok(a.rows.isFree('s1') && b.rows.isFree('s1'));
  assert.equal(await a.rows.take('s1'), 1);
  assert.equal(await b.rows.take('s1'), undefined);
  await b.rows.read();
  assert.ok(!b.rows.isFree('s1') && !b.rows.isOwn('s1') && a.rows.isOwn('s1'));
  assert.ok(await a.rows.release(['s1']));
  await b.rows.read();
  assert.equal(await b.rows.take('s1'), 2);
});

test('a row whose take had its answer lost is found by the next read', async () => {
  const clock = Clock.manual();
  const table = new FakeTable(clock);
  const { rows } = await side(table, clock, 'r1');
  table.lost = 1;
  void rows.take('s1');
  await clock.advance(1_000);
  assert.ok(!rows.isOwn('s1'));
  await rows.read();
  assert.ok(rows.isOwn('s1'));
  assert.equal(rows.row('s1')?.fence, 1);
});

test('a row is free once its session lapsed, if the own lease was held long enough', async () => {
  const clock = Clock.manual();
  const table = new FakeTable(clock);
  const a = await side(table, clock, 'r1');
  await a.rows.take('s1');
  a.stop.abort();
  const b = await side(table, clock, 'r2');
  await clock.advance(700);
  assert.ok(!b.rows.isFree('s1'), 'seen for less than the TTL');
  await clock.advance(1_300);
  assert.ok(b.rows.isFree('s1'));
  // After an outage others may act until they hear that this router has its lease back.
  table.paths.set('r2', { kind: 'down' });
  await clock.advance(5_000);
  table.paths.delete('r2');
  while (!b.session.isHeld()) await clock.advance(100);
  assert.ok(!b.rows.isConfirmed(), 'rows not read again');
  await b.rows.read();
  assert.ok(!b.rows.isFree('s1'), 'held too short');
  await clock.advance(2_500);
  assert.ok(b.rows.isFree('s1'));
});

test('a holder that renews just before its row is taken keeps it', async () => {
  const clock = Clock.manual();
  const table = new FakeTable(clock);
  const a = await side(table, clock, 'r1');
  await a.rows.take('s1');
  const b = await side(table, clock, 'r2');
  table.paths.set('r1', { kind: 'down' });
  await clock.advance(8_000);
  assert.ok(b.rows.isFree('s1'));
  const session = table.rows.get('session/r1') ?? assert.fail('no row');
  const check = { key: session.key, version: session.version };
  table.apply({ checks: [check], puts: [{ key: session.key, value: session.value }], deletes: [] });
  assert.equal(await b.rows.take('s1'), undefined);
});

test('the row of an earlier run of a router is free at once', async () => {
  const clock = Clock.manual();
  const table = new FakeTable(clock);
  const a = await side(table, clock, 'r1');
  await a.rows.take('s1');
  a.stop.abort();
  const b = await side(table, clock, 'r1', 2);
  assert.ok(b.rows.isFree('s1'));
  assert.equal(await b.rows.take('s1'), 2);
});

test('a session row is swept only if its VM is gone and it has not changed for a minute', async () => {
  const clock = Clock.manual();
  const table = new FakeTable(clock);
  const a = await side(table, clock, 'r1');
  const { session } = await side(table, clock, 'r2');
  a.stop.abort();
  const parts = {
    clock,
    session,
    table: table.path('r2'),
    members: new FakeMembers(router('r2')),
  };
  await clock.advance(50_000);
  await sweepSessions(parts, new Set(['vm-r2']));
  assert.ok(table.rows.has('session/r1'), 'too early');
  await clock.advance(20_000);
  await sweepSessions(parts, new Set(['vm-r1', 'vm-r2']));
  assert.ok(table.rows.has('session/r1'), 'the VM exists');
  await sweepSessions(parts, new Set(['vm-r2']));
  assert.ok(!table.rows.has('session/r1'));
});
