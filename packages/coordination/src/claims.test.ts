import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Transaction } from '@catkinwheel/protocol';
import { Clock, type Failure, type ManualClock } from '@catkinwheel/state';
import { BufferedResponse } from './bufferedResponse.js';
import { Claims } from './claims.js';
import type { ClaimRow } from './claimRow.js';
import { advanceUntilSettled, FakeMetrics, FaultyTable, type Fault } from './requestFakes.test.js';

type CrashPoint = 'afterClaim' | 'afterSending' | 'afterExecution' | 'never';
type Told = 'ran' | 'recorded' | 'crashed' | Failure;

/** A fleet that shares one table; it checks that keyed work runs once and that notRun is the truth. */
class Fleet {
  readonly clock: ManualClock = Clock.manual();
  readonly table = new FaultyTable();
  readonly dead = new Set<string>();
  readonly executed: string[] = [];
  /** Wall clock of all routers. */
  date = 0;
  readonly #routers = new Map<string, Claims>();
  #requests = 0;

  router(name: string): Claims {
    const known = this.#routers.get(name);
    if (known !== undefined) return known;
    const claims = Claims.create({
      table: this.table,
      sessions: { liveness: (router) => Promise.resolve(this.dead.has(router) ? 'dead' : 'live') },
      self: { name, incarnation: `${name}-1` },
      clock: this.clock,
      metrics: new FakeMetrics(),
      date: () => this.date,
    });
    this.#routers.set(name, claims);
    return claims;
  }

  /** Runs a payment at a router, which may crash on the way. */
  async pay(router: string, crash: CrashPoint = 'never', hash = 'h'): Promise<Told> {
    this.#requests += 1;
    const request = `request-${this.#requests}`;
    const told = await this.#run(router, request, crash, hash);
    if (told === 'crashed') this.dead.add(router);
    if (typeof told === 'object' && told.verdict === 'notRun') {
      assert.ok(!this.executed.includes(request), 'notRun was said of a request that ran');
    }
    assert.ok(this.executed.length <= 1, 'the payment ran twice');
    return told;
  }

  async #run(router: string, request: string, crash: CrashPoint, hash: string): Promise<Told> {
    const claimed = await this.router(router).claim({ entry: 'pay', key: 'k', request, hash });
    if (claimed.isErr()) return claimed.error;
    if (claimed.value.kind === 'recorded') return 'recorded';
    if (crash === 'afterClaim') return 'crashed';
    const { claim } = claimed.value;
    const sending = await claim.sending();
    if (sending.isErr()) {
      await claim.settle(sending.error.verdict);
      return sending.error;
    }
    if (crash === 'afterSending') return 'crashed';
    this.executed.push(request);
    if (crash === 'afterExecution') return 'crashed';
    await claim.done(paid);
    return 'ran';
  }

  drive<T>(promise: Promise<T>): Promise<T> {
    return advanceUntilSettled(this.clock, promise);
  }
}

const paid = BufferedResponse.create({
  kind: 'head',
  status: 201,
  headers: { 'content-length': '4' },
  events: false,
});
paid.add(Buffer.from('paid'));

function summary(told: Told): string {
  return typeof told === 'string' ? told : `${told.verdict} ${told.reason}`;
}

function stateIn(transaction: Transaction | undefined): string {
  if (transaction === undefined) return 'read';
  const row = transaction.puts[0]?.value as ClaimRow | undefined;
  return row?.state ?? 'delete';
}

const crashes: readonly (readonly [CrashPoint, string])[] = [
  ['afterClaim', 'ran'],
  ['afterSending', 'mayHaveRun claimUnresolved'],
  ['afterExecution', 'mayHaveRun claimUnresolved'],
  ['never', 'recorded'],
];
for (const [crash, expected] of crashes) {
  test(`a caller that asks again elsewhere after a crash ${crash} is told: ${expected}`, async () => {
    const fleet = new Fleet();
    await fleet.drive(fleet.pay('r1', crash));
    assert.equal(summary(await fleet.drive(fleet.pay('r2'))), expected);
    assert.equal(
      summary(await fleet.drive(fleet.pay('r3'))),
      expected === 'ran' ? 'recorded' : expected,
    );
  });
}

// State written, fault of that write, what the caller is told, what the next one elsewhere is told.
const writes: readonly (readonly [string, Fault, string, string])[] = [
  ['claimed', 'unavailable', 'notRun platformUnavailable', 'ran'],
  ['claimed', 'lostBefore', 'ran', 'recorded'],
  ['claimed', 'lostAfter', 'ran', 'recorded'],
  ['sending', 'unavailable', 'notRun platformUnavailable', 'ran'],
  ['sending', 'lostBefore', 'ran', 'recorded'],
  ['sending', 'lostAfter', 'ran', 'recorded'],
  ['done', 'unavailable', 'ran', 'mayHaveRun claimConflict'],
  ['done', 'lostBefore', 'ran', 'mayHaveRun claimConflict'],
  ['done', 'lostAfter', 'ran', 'recorded'],
];
for (const [state, fault, told, next] of writes) {
  test(`one write of ${state} that is ${fault} leads to: ${told}, then ${next}`, async () => {
    const fleet = new Fleet();
    let isDue = true;
    fleet.table.fault = (transaction) => {
      if (!isDue || stateIn(transaction) !== state) return 'none';
      isDue = false;
      return fault;
    };
    assert.equal(summary(await fleet.drive(fleet.pay('r1'))), told);
    assert.equal(summary(await fleet.drive(fleet.pay('r2'))), next);
    await fleet.clock.advance(5_000);
    assert.equal(summary(await fleet.drive(fleet.pay('r3'))), 'recorded');
  });
}

for (const state of ['claimed', 'sending']) {
  test(`a lost write of ${state} that cannot be read back frees the key after the outage`, async () => {
    const fleet = new Fleet();
    let isDown = false;
    fleet.table.fault = (transaction) => {
      if (stateIn(transaction) === state && !isDown) {
        isDown = true;
        return 'lostAfter';
      }
      return isDown ? 'unavailable' : 'none';
    };
    const told = await fleet.drive(fleet.pay('r1'));
    assert.equal(summary(told), 'notRun platformUnavailable');
    fleet.table.fault = () => 'none';
    await fleet.clock.advance(5_000);
    assert.equal(summary(await fleet.drive(fleet.pay('r2'))), 'ran');
  });
}

test('of two routers that get the same key at once only one runs the work', async () => {
  const fleet = new Fleet();
  const told = await fleet.drive(Promise.all([fleet.pay('r1'), fleet.pay('r2'), fleet.pay('r1')]));
  assert.deepEqual(told.map(summary).sort(), [
    'mayHaveRun claimConflict',
    'mayHaveRun claimConflict',
    'ran',
  ]);
});

test('a holder that was paused finds out before it sends that its claim was taken over', async () => {
  const fleet = new Fleet();
  const request = { entry: 'pay', key: 'k', request: 'paused', hash: 'h' };
  const claimed = (await fleet.drive(fleet.router('r1').claim(request)))._unsafeUnwrap();
  assert.ok(claimed.kind === 'held');
  fleet.dead.add('r1');
  assert.equal(await fleet.drive(fleet.pay('r2')), 'ran');
  const sending = await fleet.drive(claimed.claim.sending());
  assert.equal(sending._unsafeUnwrapErr().reason, 'claimConflict');
  assert.equal(summary(await fleet.drive(fleet.pay('r3'))), 'recorded');
});

test('a key that is used again with another body is refused as not run', async () => {
  const fleet = new Fleet();
  await fleet.drive(fleet.pay('r1'));
  assert.equal(summary(await fleet.drive(fleet.pay('r2', 'never', 'other'))), 'notRun keyReused');
});

test('an answer too large to be recorded is recorded as done without its body', async () => {
  const fleet = new Fleet();
  const request = { entry: 'pay', key: 'k', request: 'large', hash: 'h' };
  const claimed = (await fleet.drive(fleet.router('r1').claim(request)))._unsafeUnwrap();
  assert.ok(claimed.kind === 'held');
  await fleet.drive(claimed.claim.sending());
  const large = BufferedResponse.create({ kind: 'head', status: 200, headers: {}, events: false });
  large.add(Buffer.alloc(65 * 1024));
  await fleet.drive(claimed.claim.done(large));
  const again = (await fleet.drive(fleet.router('r2').claim(request)))._unsafeUnwrap();
  assert.ok(again.kind === 'recorded');
  assert.equal(again.answer.body, null);
});

test('a claim is forgotten after a day, and not before', async () => {
  const fleet = new Fleet();
  assert.equal(await fleet.drive(fleet.pay('r1')), 'ran');
  const hour = 60 * 60 * 1_000;
  fleet.date += 24 * hour;
  assert.equal((await fleet.drive(fleet.router('r2').sweep('pay')))._unsafeUnwrap(), 0);
  assert.equal(await fleet.drive(fleet.pay('r3')), 'recorded');
  fleet.date += 1;
  assert.equal((await fleet.drive(fleet.router('r2').sweep('pay')))._unsafeUnwrap(), 1);
  fleet.executed.length = 0;
  assert.equal(await fleet.drive(fleet.pay('r3')), 'ran');
});

test('claims share transactions, and a taken key does not fail the others of its group', async () => {
  const fleet = new Fleet();
  const claim = (router: string, key: number): Promise<boolean> =>
    fleet
      .router(router)
      .claim({ entry: 'pay', key: `k${key}`, request: `${router}-${key}`, hash: 'h' })
      .then((result) => result.isOk());
  assert.ok(await fleet.drive(claim('r1', 7)));
  const before = fleet.table.transactions;
  const keys = Array.from({ length: 64 }, (_, key) => key);
  const held = await fleet.drive(Promise.all(keys.map((key) => claim('r2', key))));
  assert.deepEqual(
    keys.filter((key) => held[key] === false),
    [7],
  );
  assert.ok(fleet.table.transactions - before <= 4, `${fleet.table.transactions} transactions`);
});
