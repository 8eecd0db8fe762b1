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
import { sessionKey } from './leaseRows.js';
import { Session } from './session.js';

interface Fleet {
  readonly clock: ManualClock;
  readonly table: FakeTable;
}

function fleet(): Fleet {
  const clock = Clock.manual(1_000);
  return { clock, table: new FakeTable(clock) };
}

interface Started {
  readonly session: Session;
  readonly members: FakeMembers;
  readonly metrics: FakeMetrics;
  readonly stop: AbortController;
}

async function start(
  { clock, table }: Fleet,
  name: string,
  incarnation = `${name}-1`,
): Promise<Started> {
  const self = router(name, incarnation);
  const members = new FakeMembers(self);
  const metrics = new FakeMetrics();
  const stop = new AbortController();
  const session = Session.create({
    self,
    clock,
    table: table.path(name),
    relay: relayOf(table),
    members,
    metrics,
    eventLog,
    random: seededRandom(name.length + name.charCodeAt(1)),
  });
  void session.run(stop.signal);
  await clock.advance(1);
  return { session, members, metrics, stop };
}

test('a lease counts from before the renewal was sent and ends 500 ms early', async () => {
  const f = fleet();
  f.table.paths.set('r1', { kind: 'slow', delay: 400 });
  const { session, stop } = await start(f, 'r1');
  await f.clock.advance(900);
  assert.ok(session.isHeld());
  stop.abort();
  // The read took 400 ms, so the renewal was sent at 400 and is good until 2900.
  await f.clock.advance(1_998);
  assert.ok(session.isHeld());
  await f.clock.advance(1);
  assert.ok(!session.isHeld());
});

test('a lost answer is read back, and the lease counts from the lost renewal', async () => {
  const f = fleet();
  const { session, metrics } = await start(f, 'r1');
  await f.clock.advance(900);
  f.table.paths.set('r1', { kind: 'silent', writes: true });
  await f.clock.advance(900);
  f.table.paths.delete('r1');
  await f.clock.advance(300);
  assert.equal(metrics.of('session.renewalFailed'), 1);
  // Without the read back the lease of the first renewal would end at 2500.
  f.table.paths.set('r1', { kind: 'down' });
  await f.clock.advance(1_000);
  assert.ok(session.isHeld());
  f.table.paths.delete('r1');
  await f.clock.advance(10_000);
  assert.ok(session.isHeld());
  assert.equal(session.epoch(), 1);
});

test('a router that loses the platform renews through a peer without losing its lease', async () => {
  for (const path of [{ kind: 'down' }, { kind: 'silent', writes: false }] as const) {
    const f = fleet();
    const { session, members } = await start(f, 'r1');
    members.peers = [router('r2')];
    members.reaching = ['r2'];
    await f.clock.advance(2_000);
    f.table.paths.set('r1', path);
    for (let step = 0; step < 100; step += 1) {
      await f.clock.advance(100);
      assert.ok(session.isHeld(), `${path.kind} after ${step} steps`);
    }
    assert.equal(session.epoch(), 1);
  }
});

test('an outage gives acting for warm servers, and for cold ones only if all members agree', async () => {
  const f = fleet();
  await start(f, 'r2');
  await start(f, 'r3');
  const { session, members } = await start(f, 'r1');
  members.peers = [router('r2'), router('r3')];
  session.recordAcknowledgement('r2');
  await f.clock.advance(5_000);
  assert.equal(session.authority('cold'), 'held');
  for (const name of ['r1', 'r2', 'r3']) f.table.paths.set(name, { kind: 'down' });
  await f.clock.advance(6_000);
  assert.equal(session.authority('warm'), 'acting');
  assert.equal(session.authority('cold'), 'acting');
  members.reaching = ['r3'];
  assert.equal(session.authority('cold'), 'none');
  members.reaching = [];
  members.peers = [router('r2')];
  assert.deepEqual([session.authority('warm'), session.authority('cold')], ['acting', 'none']);
  members.peers = [router('r2'), router('r3', 'restarted')];
  assert.equal(session.authority('warming'), 'none');
  members.peers = [];
  assert.equal(session.authority('warm'), 'none');
});

test('a router that just started waits for an answer before it serves cold servers', async () => {
  const f = fleet();
  await start(f, 'r2');
  const { session, members } = await start(f, 'r1');
  members.peers = [router('r2')];
  await f.clock.advance(10_000);
  assert.deepEqual([session.authority('warm'), session.authority('cold')], ['held', 'none']);
  session.recordAcknowledgement('r9');
  await f.clock.advance(3_000);
  assert.equal(session.authority('cold'), 'none');
  session.recordAcknowledgement('r2');
  assert.equal(session.authority('cold'), 'none');
  await f.clock.advance(2_000);
  assert.equal(session.authority('cold'), 'held');
  const third = await start(f, 'r3');
  third.session.updateVmList(new Set(['vm-r3']));
  await f.clock.advance(2_000);
  assert.equal(third.session.authority('cold'), 'held');
});

test('a paused holder finds its lease lapsed, and does not take its own pause for an outage', async () => {
  const f = fleet();
  const { session } = await start(f, 'r1');
  await f.clock.advance(1_500);
  f.table.paths.set('r1', { kind: 'silent', writes: false });
  await f.clock.advance(600);
  f.clock.jump(30_000);
  assert.ok(!session.isHeld());
  f.table.paths.delete('r1');
  assert.equal(session.authority('warm'), 'none');
  await f.clock.advance(0);
  assert.notEqual(session.authority('warm'), 'acting');
  await f.clock.advance(2_500);
  assert.ok(session.isHeld());
  assert.equal(session.epoch(), 2);
});

test('another incarnation of the same name ends the session for good', async () => {
  const f = fleet();
  const old = await start(f, 'r1', 'old');
  const fresh = await start(f, 'r1', 'new');
  await f.clock.advance(5_000);
  assert.ok(fresh.session.isHeld());
  assert.ok(!old.session.isHeld());
  assert.equal(old.session.authority('warm'), 'none');
});

test('a released session is told to others although answers or writes are lost', async () => {
  for (const writes of [true, false]) {
    const f = fleet();
    const { session } = await start(f, 'r1');
    await f.clock.advance(1_500);
    f.table.paths.set('r1', { kind: 'silent', writes });
    const released = session.release();
    assert.ok(!session.isHeld());
    await f.clock.advance(500);
    f.table.paths.delete('r1');
    await f.clock.advance(1_000);
    await released;
    const value = f.table.rows.get(sessionKey('r1'))?.value;
    assert.deepEqual(value, { router: router('r1'), renewal: 2, released: true });
  }
});

test('a conflict is an answer of the platform and no evidence of an outage', async () => {
  const f = fleet();
  const { session, members } = await start(f, 'r1');
  members.peers = [router('r2')];
  await f.clock.advance(500);
  const row = f.table.rows.get(sessionKey('r1')) ?? assert.fail('no row');
  f.table.apply({ checks: [], puts: [{ key: row.key, value: row.value }], deletes: [] });
  f.clock.jump(5_000);
  await f.clock.advance(0);
  assert.equal(session.authority('warm'), 'none');
  await f.clock.advance(1_000);
  assert.equal(session.authority('warm'), 'held');
});

test('evidence of an outage from before a pause does not count after it', async () => {
  const f = fleet();
  await start(f, 'r2');
  const { session, members } = await start(f, 'r1');
  members.peers = [router('r2')];
  session.recordAcknowledgement('r2');
  await f.clock.advance(5_000);
  f.table.paths.set('r1', { kind: 'down' });
  await f.clock.advance(8_000);
  assert.equal(session.authority('cold'), 'acting');
  f.clock.jump(5_000);
  assert.equal(session.authority('cold'), 'none');
  assert.equal(session.authority('warm'), 'none');
});

test('after an outage of 20 minutes, renewals are spread over one TTL', async () => {
  const f = fleet();
  const names = Array.from({ length: 8 }, (_, index) => `r${index + 1}`);
  const started = [];
  for (const name of names) started.push(await start(f, name));
  await f.clock.advance(3_000);
  for (const name of names) f.table.paths.set(name, { kind: 'down' });
  await f.clock.advance(20 * 60_000);
  const before = f.table.writes.length;
  for (const name of names) f.table.paths.delete(name);
  await f.clock.advance(5_000);
  assert.ok(started.every(({ session }) => session.isHeld()));
  const times = f.table.writes.slice(before);
  assert.ok(times.length <= 8 * 5);
  // All at once would be 8 in the first 500 ms.
  const first = Math.min(...times);
  assert.ok(times.filter((time) => time < first + 500).length <= 4);
});

test('the fake table applies a transaction as a whole or not at all', async () => {
  const table = new FakeTable(Clock.manual());
  const path = table.path('r1');
  const put = { puts: [{ key: 'a', value: 1 }], deletes: [] };
  assert.ok((await path.transact({ checks: [{ key: 'a', version: 0 }], ...put })).isOk());
  const lost = await path.transact({ checks: [{ key: 'a', version: 0 }], ...put });
  assert.deepEqual(lost._unsafeUnwrapErr(), { kind: 'conflict', keys: ['a'] });
  assert.equal((await path.rows('a'))._unsafeUnwrap()[0]?.version, 1);
});

test('a renewal after an outage whose answer is lost does not leave the router renewing without pause', async () => {
  const f = fleet();
  const { session } = await start(f, 'r1');
  f.table.paths.set('r1', { kind: 'down' });
  await f.clock.advance(8_000);
  assert.ok(!session.isHeld());
  const writes = f.table.writes.length;
  f.table.paths.delete('r1');
  // The first renewal after the outage takes effect, and neither it nor the read back is answered.
  f.table.lost = 2;
  while (f.table.writes.length === writes) await f.clock.advance(50);
  // Two timeouts of 1 s, then the read that shows the renewal, whose lease has 500 ms left.
  await f.clock.advance(2_200);
  assert.ok(session.isHeld());
  const recovered = f.table.writes.length;
  await f.clock.advance(5_000);
  assert.ok(f.table.writes.length - recovered <= 6, `${f.table.writes.length - recovered} writes`);
});
