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

/** A keeper of a cold server with limit 3 that has counted everything in flight. */
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
  keeper.ask([]);
  keeper.refresh();
  keeper.reported(load, clock.now());
  return { clock, metrics, keeper };
}

function granted({ keeper }: Bench, to: string, count: number): readonly string[] {
  const turn = { to, team: 't', sequence: 1 };
  return Array.from({ length: count }, () => keeper.grant(turn, `${to}-1`).id);
}

function released({ keeper }: Bench, from: string, id: string, outcome: Outcome = 'used'): void {
  keeper.release(from, { id, server: 's1', outcome, firstByte: 10, cost: 1 });
}

/** Reports `running` requests as of now, `after` ms later. */
async function report({ clock, keeper }: Bench, running: number, after: number): Promise<void> {
  await clock.advance(after);
  keeper.reported({ ...load, running }, clock.now());
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

test('permits of a dead router count until they were used or expired and the server shows it', async () => {
  const b = bench();
  granted(b, 'r1', 2);
  b.keeper.orphan('r1', undefined);
  // A grant that is not used yet may still be used within a second.
  await report(b, 0, 900);
  assert.equal(b.keeper.free(), 1);
  await report(b, 1, 200);
  assert.equal(b.keeper.free(), 2);
  await report(b, 0, 250);
  assert.equal(b.keeper.free(), 3);
});

test('requests that no known permit explains are in flight', async () => {
  const b = bench();
  granted(b, 'r1', 1);
  await report(b, 3, 250);
  assert.equal(b.keeper.free(), 0);
  await report(b, 1, 250);
  assert.equal(b.keeper.free(), 2);
});

test('a new keeper counts unused permits it heard of and requests it heard nothing of', async () => {
  const b = bench();
  b.keeper.ask(['r1', 'r2']);
  const permit = { id: 'x', server: 's1', fence: 1, service: 'app', team: 't', sequence: 1 };
  await report(b, 2, 1_500);
  b.keeper.holding('r1', 'r1-1', { kind: 'holding', server: 's1', fence: 2, permits: [permit] });
  await report(b, 2, 400);
  assert.equal(b.keeper.free(), 0, 'r2 may still answer');
  // The two requests may be those of r2, and the permit of r1 may be used just now.
  await report(b, 2, 200);
  assert.equal(b.keeper.state().inFlight, 3);
  // After its expiry the permit is one of the two.
  await report(b, 2, 500);
  assert.equal(b.keeper.state().inFlight, 2);
  assert.equal(b.keeper.free(), 1);
  // r1 had received it, so an answer without it means that its release went to the keeper before.
  b.keeper.remind(['r1']);
  b.keeper.holding('r1', 'r1-1', { kind: 'holding', server: 's1', fence: 2, permits: [] });
  assert.deepEqual(b.keeper.permits(), []);
});

test('a permit that got lost is found by asking its router again, one under way is not', async () => {
  const b = bench();
  const [, kept = ''] = granted(b, 'r1', 2);
  await report(b, 1, 4_000);
  granted(b, 'r1', 1);
  assert.deepEqual(b.keeper.doubtful(), ['r1']);
  await b.clock.advance(100);
  b.keeper.remind(['r1']);
  const permit = { id: kept, server: 's1', fence: 2, service: 'app', team: 't', sequence: 1 };
  const holding = { kind: 'holding', server: 's1', fence: 2, permits: [permit] } as const;
  b.keeper.holding('r1', 'r1-1', { ...holding, fence: 1 });
  assert.equal(b.keeper.free(), 0);
  b.keeper.holding('r1', 'r1-1', holding);
  assert.equal(b.keeper.free(), 1);
  assert.equal(b.metrics.of('keeper.lostPermit'), 1);
});

test('a server that turns cold loses its newest permits, and no more when the order is repeated', async () => {
  const b = bench();
  for (let round = 0; round < 60; round += 1) released(b, 'r1', granted(b, 'r1', 1)[0] ?? '');
  const ids = granted(b, 'r1', 9);
  b.keeper.reported({ ...load, boot: 'b2', running: 9 }, b.clock.now());
  const revoked = b.keeper.excess().map(({ permit }) => permit.id);
  assert.deepEqual(revoked, ids.slice(3));
  released(b, 'r1', ids[8] ?? '', 'cancelled');
  assert.deepEqual(
    b.keeper.excess().map(({ permit }) => permit.id),
    ids.slice(3, 8),
  );
  await report(b, 0, 250);
});

test('a refused connection cuts the limit at once', () => {
  const b = bench();
  for (let round = 0; round < 60; round += 1) released(b, 'r1', granted(b, 'r1', 1)[0] ?? '');
  assert.equal(b.keeper.state().phase, 'warm');
  released(b, 'r1', granted(b, 'r1', 1)[0] ?? '', 'refused');
  assert.deepEqual([b.keeper.state().phase, b.keeper.state().limit], ['cold', 3]);
});

test('slow first bytes of running streams cut the limit before any of them ends', () => {
  const b = bench();
  for (let round = 0; round < 60; round += 1) released(b, 'r1', granted(b, 'r1', 1)[0] ?? '');
  const old = granted(b, 'r1', 1)[0] ?? '';
  const ids = granted(b, 'r1', 3);
  for (const id of ids.slice(0, 2)) b.keeper.started('r1', { id, server: 's1', firstByte: 500 });
  b.keeper.started('r2', { id: ids[2] ?? '', server: 's1', firstByte: 500 });
  assert.equal(b.keeper.state().phase, 'warm', 'only the holder of a permit is believed');
  released(b, 'r1', old);
  b.keeper.started('r1', { id: ids[2] ?? '', server: 's1', firstByte: 500 });
  assert.deepEqual([b.keeper.state().phase, b.keeper.state().limit], ['cold', 3]);
});

test('a server that refused gets no grant until it reports again, or its free permits attract all work', async () => {
  const b = bench();
  released(b, 'r1', granted(b, 'r1', 1)[0] ?? '', 'refused');
  assert.equal(b.keeper.free(), 0);
  await b.clock.advance(1_000);
  assert.equal(b.keeper.free(), 0);
  await report(b, 0, 1);
  assert.equal(b.keeper.free(), 3);
});

test('a server without the model of its service gets nothing', () => {
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

test('the team with the least effective level is next, grants not yet counted included', () => {
  const book = DemandBook.create(Clock.manual(), () => true);
  book.update(
    'r1',
    [
      { ...demand, team: 'a', level: 5 },
      { ...demand, team: 'b', level: 0, weight: 2 },
    ],
    true,
  );
  // b costs 10 / 2 a grant: levels 0, 5, then a at 5 goes first by name, and so on.
  assert.deepEqual(turns(book, 5), ['b', 'a', 'b', 'b', 'a']);
  // Three grants of b are in the level now, so only the level counts.
  book.update('r1', [{ ...demand, team: 'b', level: 14, counted: 3, weight: 2 }], true);
  book.update('r2', [{ ...demand, team: 'a', level: 30, counted: 0 }], true);
  assert.equal(book.take()?.team, 'b');
});

test('within a team the router with the oldest wait is next, absent routers are passed over', () => {
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
  // Sequences go on when demand comes back.
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
  book.unused(book.take() ?? assert.fail('nothing was granted'));
  assert.equal(book.take()?.team, 'a');
  assert.equal(book.take()?.team, 'b');
});
