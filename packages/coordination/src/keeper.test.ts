// Keepers and the demand that they share. Guards against grants above the limit of a server when permits,
// releases or load reports are lost, late or repeated, and against an unfair choice of the next team.

import type { LoadReport } from '@catkinwheel/protocol';
import type { ManualClock, Outcome } from '@catkinwheel/state';
import { Clock } from '@catkinwheel/state';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandBook } from './demandBook.js';
import { FakeMetrics, router } from './fakes.test.js';
import { InvariantViolation } from './invariant.js';
import { Keeper } from './keeper.js';

const load: LoadReport = {
  boot: 'b1',
  running: 0,
  waiting: 0,
  leaving: false,
  models: ['m'],
  age: 0,
};

interface Bench {
  readonly clock: ManualClock;
  readonly metrics: FakeMetrics;
  readonly keeper: Keeper;
}

/** A keeper that has finished its count, of a cold server with limit 3. */
function bench(model?: string): Bench {
  const clock = Clock.manual(10_000);
  const metrics = new FakeMetrics();
  let id = 0;
  const keeper = Keeper.create({
    self: router('k'),
    clock,
    metrics,
    server: 's1',
    service: 'app',
    limits: { coldLimit: 3, warmLimit: 9 },
    model,
    fence: 2,
    inherited: undefined,
    nextId: () => (id += 1),
    authority: () => 'held',
  });
  keeper.startCount([]);
  keeper.refreshAuthority();
  keeper.applyLoadReport(load, clock.now());
  return { clock, metrics, keeper };
}

function granted({ keeper }: Bench, to: string, count: number): readonly string[] {
  const turn = { to, team: 't', sequence: 1 };
  return Array.from({ length: count }, () => keeper.grant(turn, `${to}-1`).id);
}

function released({ keeper }: Bench, from: string, id: string, outcome: Outcome = 'used'): void {
  keeper.release(from, { id, server: 's1', outcome, firstByte: 10, cost: 1 });
}

/** Reports `running` requests after `after` milliseconds. */
async function report({ clock, keeper }: Bench, running: number, after: number): Promise<void> {
  await clock.advance(after);
  keeper.applyLoadReport({ ...load, running }, clock.now());
}

test('a grant above the limit throws and is counted', () => {
  const b = bench();
  granted(b, 'r1', 3);
  assert.equal(b.keeper.free(), 0);
  assert.throws(() => granted(b, 'r1', 1), InvariantViolation);
  assert.equal(b.metrics.of('invariant.violation'), 1);
});

test('a release counts once, and only from the router that holds the permit', () => {
  const b = bench();
  const [first = ''] = granted(b, 'r1', 3);
  released(b, 'r2', first);
  assert.equal(b.keeper.free(), 0);
  released(b, 'r1', first);
  released(b, 'r1', first);
  assert.equal(b.keeper.free(), 1);
  assert.equal(b.metrics.of('keeper.unknownRelease'), 2);
});

test('permits of a dead router count until they were used or expired and a load report shows it', async () => {
  const b = bench();
  granted(b, 'r1', 2);
  b.keeper.dropRouter('r1', undefined);
  // An unused grant can still be used within a second.
  await report(b, 0, 900);
  assert.equal(b.keeper.free(), 1);
  await report(b, 1, 200);
  assert.equal(b.keeper.free(), 2);
  await report(b, 0, 250);
  assert.equal(b.keeper.free(), 3);
});

test('reported requests without a known permit count as in flight', async () => {
  const b = bench();
  granted(b, 'r1', 1);
  await report(b, 3, 250);
  assert.equal(b.keeper.free(), 0);
  await report(b, 1, 250);
  assert.equal(b.keeper.free(), 2);
});

test('a new keeper counts unused permits that routers report and requests without a known permit', async () => {
  const b = bench();
  b.keeper.startCount(['r1', 'r2']);
  const permit = { id: 'x', server: 's1', fence: 1, service: 'app', team: 't', sequence: 1 };
  await report(b, 2, 1_500);
  b.keeper.applyHolding('r1', 'r1-1', {
    kind: 'holding',
    server: 's1',
    fence: 2,
    permits: [permit],
  });
  await report(b, 2, 400);
  assert.equal(b.keeper.free(), 0, 'r2 may still answer');
  // The two requests may be those of r2, and the permit of r1 may be used right now.
  await report(b, 2, 200);
  assert.equal(b.keeper.state().inFlight, 3);
  // After the expiry of the permit its request is one of the two.
  await report(b, 2, 500);
  assert.equal(b.keeper.state().inFlight, 2);
  assert.equal(b.keeper.free(), 1);
  // r1 had received the permit, so an answer without it means that its release went to the previous keeper.
  b.keeper.markQueried(['r1']);
  b.keeper.applyHolding('r1', 'r1-1', { kind: 'holding', server: 's1', fence: 2, permits: [] });
  assert.deepEqual(b.keeper.permits(), []);
});

test('a lost permit is dropped after another query to its router, one in transit is not', async () => {
  const b = bench();
  const [, kept = ''] = granted(b, 'r1', 2);
  await report(b, 1, 4_000);
  granted(b, 'r1', 1);
  assert.deepEqual(b.keeper.routersToQuery(), ['r1']);
  await b.clock.advance(100);
  b.keeper.markQueried(['r1']);
  const permit = { id: kept, server: 's1', fence: 2, service: 'app', team: 't', sequence: 1 };
  const holding = { kind: 'holding', server: 's1', fence: 2, permits: [permit] } as const;
  b.keeper.applyHolding('r1', 'r1-1', { ...holding, fence: 1 });
  assert.equal(b.keeper.free(), 0);
  b.keeper.applyHolding('r1', 'r1-1', holding);
  assert.equal(b.keeper.free(), 1);
  assert.equal(b.metrics.of('keeper.lostPermit'), 1);
});

test('the newest permits of a server that turns cold are revoked, and no others when this is repeated', async () => {
  const b = bench();
  for (let round = 0; round < 60; round += 1) released(b, 'r1', granted(b, 'r1', 1)[0] ?? '');
  const ids = granted(b, 'r1', 9);
  b.keeper.applyLoadReport({ ...load, boot: 'b2', running: 9 }, b.clock.now());
  const revoked = b.keeper.excessPermits().map(({ permit }) => permit.id);
  assert.deepEqual(revoked, ids.slice(3));
  released(b, 'r1', ids[8] ?? '', 'cancelled');
  assert.deepEqual(
    b.keeper.excessPermits().map(({ permit }) => permit.id),
    ids.slice(3, 8),
  );
  await report(b, 0, 250);
});

test('a refused connection reduces the limit at once', () => {
  const b = bench();
  for (let round = 0; round < 60; round += 1) released(b, 'r1', granted(b, 'r1', 1)[0] ?? '');
  assert.equal(b.keeper.state().phase, 'warm');
  released(b, 'r1', granted(b, 'r1', 1)[0] ?? '', 'refused');
  assert.deepEqual([b.keeper.state().phase, b.keeper.state().limit], ['cold', 3]);
});

test('slow first bytes of running streams reduce the limit before any of them ends', () => {
  const b = bench();
  for (let round = 0; round < 60; round += 1) released(b, 'r1', granted(b, 'r1', 1)[0] ?? '');
  const old = granted(b, 'r1', 1)[0] ?? '';
  const ids = granted(b, 'r1', 3);
  for (const id of ids.slice(0, 2))
    b.keeper.recordSlowFirstByte('r1', { id, server: 's1', firstByte: 500 });
  b.keeper.recordSlowFirstByte('r2', { id: ids[2] ?? '', server: 's1', firstByte: 500 });
  assert.equal(b.keeper.state().phase, 'warm', 'only reports of the permit holder count');
  released(b, 'r1', old);
  b.keeper.recordSlowFirstByte('r1', { id: ids[2] ?? '', server: 's1', firstByte: 500 });
  assert.deepEqual([b.keeper.state().phase, b.keeper.state().limit], ['cold', 3]);
});

// All permits of a dead server are free, so that it would attract every request.
test('a server that refused a request gets no grant before its next load report', async () => {
  const b = bench();
  released(b, 'r1', granted(b, 'r1', 1)[0] ?? '', 'refused');
  assert.equal(b.keeper.free(), 0);
  await b.clock.advance(1_000);
  assert.equal(b.keeper.free(), 0);
  await report(b, 0, 1);
  assert.equal(b.keeper.free(), 3);
});

test('a server without the model of its service gets no grant', () => {
  assert.equal(bench('m').keeper.free(), 3);
  const b = bench('other');
  assert.equal(b.keeper.free(), 0);
  assert.ok(b.keeper.lacksModel());
});

const demand = {
  interactive: 9,
  batch: 0,
  estimate: 10,
  oldest: 0,
  level: 0,
  counted: 0,
  weight: 1,
};

function turns(book: DemandBook, count: number): readonly string[] {
  return Array.from({ length: count }, () => book.take()?.team ?? '-');
}

test('the team with the lowest effective level is next, including grants that its level does not contain', () => {
  const book = DemandBook.create(Clock.manual(), () => true);
  book.update(
    'r1',
    [
      { ...demand, team: 'a', level: 5 },
      { ...demand, team: 'b', level: 0, weight: 2 },
    ],
    true,
  );
  // Each grant adds 10 / 2 to the level of b: after levels 0 and 5, a at 5 goes first by name, and so on.
  assert.deepEqual(turns(book, 5), ['b', 'a', 'b', 'b', 'a']);
  // The level of b contains its three grants now, so only the level counts.
  book.update('r1', [{ ...demand, team: 'b', level: 14, counted: 3, weight: 2 }], true);
  book.update('r2', [{ ...demand, team: 'a', level: 30, counted: 0 }], true);
  assert.equal(book.take()?.team, 'b');
});

test('within a team the router with the oldest request is next, absent routers are skipped', () => {
  const away = new Set<string>();
  const book = DemandBook.create(Clock.manual(), (name) => !away.has(name));
  for (const [from, oldest] of [
    ['r1', 5],
    ['r2', 50],
    ['r3', 20],
  ] as const) {
    book.update(from, [{ ...demand, team: 'a', oldest, interactive: 1 }], true);
  }
  away.add('r2');
  assert.deepEqual(book.take(), { to: 'r3', team: 'a', sequence: 1 });
  away.clear();
  assert.equal(book.take()?.to, 'r2');
  book.update('r1', [], true);
  assert.equal(book.take(), undefined);
  // Sequences continue when demand returns.
  book.update('r3', [{ ...demand, team: 'a' }], true);
  assert.equal(book.take()?.sequence, 2);
});

test('an unused grant is not charged', () => {
  const book = DemandBook.create(Clock.manual(), () => true);
  book.update(
    'r1',
    [
      { ...demand, team: 'a' },
      { ...demand, team: 'b', level: 5 },
    ],
    true,
  );
  book.returnUnused(book.take() ?? assert.fail('nothing was granted'));
  assert.equal(book.take()?.team, 'a');
  assert.equal(book.take()?.team, 'b');
});
