// Load pattern: a large team asks for far more than the servers can read while small teams ask for little.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type ManualClock } from '@catkinwheel/state';
import { Admission, type Admitted, type Capacity, type Job, type View } from './admission.js';
import { noLoad } from './loads.js';
import { WorkTimer } from './workTimer.js';

const never = new AbortController().signal;

function job(clock: Clock, changes: Partial<Job> = {}): Job {
  const now = clock.now();
  return {
    service: 'model',
    team: 'large',
    priority: 1,
    arrived: now,
    aim: now + 800,
    patience: now + 4_000,
    deadline: now + 12_000,
    cost: 1_000,
    ...changes,
  };
}

/** One server that takes `free` jobs, each of which makes those behind it wait 300 ms. */
class OneServer implements Capacity, View {
  free = 0;
  readonly served: Job[] = [];
  readonly amounts = new Map<string, number>();

  view(): View {
    return this;
  }

  place(
    next: Job,
    ahead: ReadonlyMap<string, { readonly requests: number }>,
  ): ReturnType<View['place']> {
    const before = ahead.get('a')?.requests ?? 0;
    const added = { ...noLoad, requests: 1 };
    if (this.free > 0) {
      this.free -= 1;
      this.served.push(next);
      this.amounts.set(next.team, this.received(next.team) + next.cost);
      return { kind: 'server', id: 'a', predicted: 100, alone: 100, added };
    }
    return { kind: 'wait', id: 'a', predicted: 100 + 300 * (before + 1), alone: 100, added };
  }

  received(team: string): number {
    return this.amounts.get(team) ?? 0;
  }
}

function setUp(): { clock: ManualClock; capacity: OneServer; admission: Admission } {
  const clock = Clock.manual(10_000);
  const capacity = new OneServer();
  return { clock, capacity, admission: Admission.create(clock, WorkTimer.create(clock), capacity) };
}

test('the team that has received least goes first', () => {
  const { clock, capacity, admission } = setUp();
  capacity.amounts.set('large', 50_000);
  for (let index = 0; index < 5; index += 1) void admission.admit(job(clock), never);
  void admission.admit(job(clock, { team: 'small' }), never);
  capacity.free = 1;
  admission.pump();
  assert.deepEqual(
    capacity.served.map(({ team }) => team),
    ['small'],
  );
});

test('an urgent team does not keep out one that has received much less', () => {
  const { clock, capacity, admission } = setUp();
  capacity.amounts.set('large', 50_000);
  void admission.admit(job(clock, { priority: 0 }), never);
  void admission.admit(job(clock, { team: 'small', priority: 3 }), never);
  capacity.free = 1;
  admission.pump();
  assert.deepEqual(
    capacity.served.map(({ team }) => team),
    ['small'],
  );
});

// Two large teams wait all the time and one is urgent: it received twice as much, over all routers three times.
test('an urgent team gets hardly more than another one that waits as much', async () => {
  const { clock, capacity, admission } = setUp();
  const teams = { urgent: 0, other: 1 } as const;
  const send = (team: keyof typeof teams): void => {
    void admission.admit(job(clock, { team, priority: teams[team] }), never);
  };
  for (let served = 0; served < 200; served += 1) {
    send('urgent');
    send('other');
    await clock.advance(10);
    capacity.free = 1;
    admission.pump();
  }
  const [urgent, other] = [capacity.received('urgent'), capacity.received('other')];
  assert.ok(other >= 0.85 * urgent, `${other} of ${urgent}`);
});

test('what can still be on time goes before what cannot', async () => {
  const { clock, capacity, admission } = setUp();
  void admission.admit(job(clock), never);
  await clock.advance(700);
  const fresh = job(clock);
  void admission.admit(fresh, never);
  capacity.free = 1;
  admission.pump();
  assert.deepEqual(capacity.served, [fresh]);
});

test('a request that could not start before its caller leaves is refused at once', async () => {
  const { clock, admission } = setUp();
  const results: Admitted[] = [];
  for (let index = 0; index < 40; index += 1)
    void admission.admit(job(clock), never).then((result) => results.push(result));
  await clock.advance(0);
  const refused = results.filter(({ kind }) => kind === 'refused');
  assert.ok(refused.length > 20);
  assert.equal(admission.length + refused.length, 40);
  for (const result of refused)
    assert.ok(result.kind === 'refused' && result.retryAfter >= 300 && result.retryAfter <= 4_000);
});

test('a caller that leaves takes its request out of the queue', async () => {
  const { clock, admission } = setUp();
  const leaving = new AbortController();
  const result = admission.admit(job(clock), leaving.signal);
  assert.equal(admission.length, 1);
  leaving.abort();
  assert.equal((await result).kind, 'refused');
  assert.equal(admission.length, 0);
});

test('while no server is usable a request waits a part of its aim, then is refused', async () => {
  const clock = Clock.manual();
  const admission = Admission.create(clock, WorkTimer.create(clock), {
    view: () => ({ place: () => ({ kind: 'none' }), received: () => 0 }),
  });
  const result = admission.admit(job(clock), never);
  await clock.advance(300);
  admission.pump();
  assert.equal(admission.length, 1);
  await clock.advance(200);
  admission.pump();
  assert.deepEqual(await result, { kind: 'refused', reason: 'noServer', retryAfter: 1_000 });
});
