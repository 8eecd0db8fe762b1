// Guards the fair order of the queue: a large team asks for far more than the servers can serve while small teams ask
// for little.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type ManualClock } from '@catkinwheel/state';
import {
  Admission,
  type AdmissionResult,
  type SnapshotSource,
  type Job,
  type ServerSnapshot,
} from './admission.js';
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
    targetTime: now + 800,
    firstEventDeadline: now + 4_000,
    deadline: now + 12_000,
    stopsAt: Infinity,
    duration: undefined,
    cost: 1_000,
    isContinuation: false,
    isReturn: false,
    ...changes,
  };
}

/** A single server that takes `free` jobs; each queued job makes those behind it wait another 300 ms. */
class OneServer implements SnapshotSource, ServerSnapshot {
  free = 0;
  readonly served: Job[] = [];
  readonly amounts = new Map<string, number>();

  snapshot(): ServerSnapshot {
    return this;
  }

  place(
    next: Job,
    ahead: ReadonlyMap<string, { readonly requests: number }>,
  ): ReturnType<ServerSnapshot['place']> {
    const before = ahead.get('a')?.requests ?? 0;
    const addedLoad = { ...noLoad, requests: 1 };
    if (this.free > 0) {
      this.free -= 1;
      this.served.push(next);
      this.amounts.set(next.team, this.received(next.team) + next.cost);
      return { kind: 'server', id: 'a', predicted: 100, idlePrediction: 100, addedLoad };
    }
    return {
      kind: 'wait',
      id: 'a',
      predicted: 100 + 300 * (before + 1),
      idlePrediction: 100,
      addedLoad,
    };
  }

  received(team: string): number {
    return this.amounts.get(team) ?? 0;
  }

  mostReceived(): number {
    return Math.max(0, ...this.amounts.values());
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
  admission.placeQueued();
  assert.deepEqual(
    capacity.served.map(({ team }) => team),
    ['small'],
  );
});

test('an urgent team does not starve one that has received much less', () => {
  const { clock, capacity, admission } = setUp();
  capacity.amounts.set('large', 50_000);
  void admission.admit(job(clock, { priority: 0 }), never);
  void admission.admit(job(clock, { team: 'small', priority: 3 }), never);
  capacity.free = 1;
  admission.placeQueued();
  assert.deepEqual(
    capacity.served.map(({ team }) => team),
    ['small'],
  );
});

// Two large teams have queued requests all the time and one of them is urgent. It once received twice as much as the
// other one, and three times as much over all routers.
test('an urgent team gets hardly more than another one with as many queued requests', async () => {
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
    admission.placeQueued();
  }
  const [urgent, other] = [capacity.received('urgent'), capacity.received('other')];
  assert.ok(other >= 0.85 * urgent, `${other} of ${urgent}`);
});

test('requests that can still meet their latency target go before those that cannot', async () => {
  const { clock, capacity, admission } = setUp();
  void admission.admit(job(clock), never);
  await clock.advance(700);
  const fresh = job(clock);
  void admission.admit(fresh, never);
  capacity.free = 1;
  admission.placeQueued();
  assert.deepEqual(capacity.served, [fresh]);
});

test('a request that could not start before its caller gives up is refused at once', async () => {
  const { clock, admission } = setUp();
  const results: AdmissionResult[] = [];
  for (let index = 0; index < 40; index += 1)
    void admission.admit(job(clock), never).then((result) => results.push(result));
  await clock.advance(0);
  const refused = results.filter(({ kind }) => kind === 'refused');
  assert.ok(refused.length > 20);
  assert.equal(admission.length + refused.length, 40);
  for (const result of refused)
    assert.ok(result.kind === 'refused' && result.retryAfter >= 300 && result.retryAfter <= 4_000);
});

// Guards against LOST in a planned stop: what cannot be answered before the end is refused before a server gets it.
test('a request that cannot be answered before its router ends is refused at once, one that can is placed', async () => {
  const { clock, capacity, admission } = setUp();
  capacity.free = 10;
  const duration = { expected: 1_000, atMost: 1_800 };
  const stopsAt = clock.now() + 2_000;
  const known = await admission.admit(job(clock, { duration, stopsAt }), never);
  assert.equal(known.kind, 'server');
  const bounded = await admission.admit(job(clock, { deadline: stopsAt, stopsAt }), never);
  assert.equal(bounded.kind, 'server');
  const unknown = await admission.admit(job(clock, { stopsAt }), never);
  assert.ok(unknown.kind === 'refused' && unknown.reason === 'stopping');
  await clock.advance(300);
  const late = await admission.admit(job(clock, { duration, stopsAt }), never);
  assert.ok(late.kind === 'refused' && late.reason === 'stopping');
  assert.equal(capacity.served.length, 2);
});

// Guards against requests that wait in the queue of a stopping router until it ends.
test('a queued request is refused when it can no longer be answered before its router ends', async () => {
  const { clock, capacity, admission } = setUp();
  const duration = { expected: 1_000, atMost: 1_800 };
  const waiting = admission.admit(job(clock, { duration, stopsAt: clock.now() + 2_500 }), never);
  await clock.advance(600);
  admission.placeQueued();
  assert.equal(admission.length, 1);
  await clock.advance(200);
  capacity.free = 1;
  admission.placeQueued();
  const result = await waiting;
  assert.ok(result.kind === 'refused' && result.reason === 'stopping');
  assert.equal(capacity.served.length, 0);
});

/** Keeps a queue of the service from being empty for half a second. */
async function letQueueStand({ clock, admission }: ReturnType<typeof setUp>): Promise<void> {
  for (let step = 0; step < 25; step += 1) {
    void admission.admit(job(clock, { team: 'flood' }), never);
    await clock.advance(20);
    admission.placeQueued();
  }
}

// Guards against callers of a flooding team that wait for a second or two to be told no.
test('where a queue stands, a request that would miss its latency target is refused at once', async () => {
  const parts = setUp();
  const { clock, capacity, admission } = parts;
  capacity.amounts.set('flood', 10_000);
  await letQueueStand(parts);
  const arrivedAt = clock.now();
  const result = await admission.admit(job(clock, { team: 'flood' }), never);
  assert.ok(result.kind === 'refused' && result.reason === 'overload');
  assert.equal(clock.now(), arrivedAt);
  // The queue that is left begins within the latency target.
  assert.ok(admission.length <= 3, `${admission.length} wait`);
});

// Guards against refusals in a burst that is soon worked off.
test('where no queue stands, a request may begin after its latency target', () => {
  const { clock, admission } = setUp();
  for (let index = 0; index < 8; index += 1) void admission.admit(job(clock), never);
  assert.equal(admission.length, 8);
});

// Guards against FAIR: a team that got little is refused by the queue that another one has caused.
test('a team that is owed service is not refused for its latency target', async () => {
  const parts = setUp();
  const { clock, capacity, admission } = parts;
  capacity.amounts.set('flood', 10_000);
  await letQueueStand(parts);
  const waiting = admission.length;
  for (let index = 0; index < 4; index += 1)
    void admission.admit(job(clock, { team: 'small' }), never);
  assert.equal(admission.length, waiting + 4);
});

// Guards against a wave of returns: callers who come back are late already, and would make the new ones late too.
test('requests of callers who have come back go behind new ones', () => {
  const { clock, capacity, admission } = setUp();
  void admission.admit(job(clock, { isReturn: true }), never);
  const fresh = job(clock, { priority: 2 });
  void admission.admit(fresh, never);
  capacity.free = 1;
  admission.placeQueued();
  assert.deepEqual(capacity.served, [fresh]);
});

// Guards against streams that break off midway, since no server takes their rest while others wait.
test('a response that its caller has a part of goes first, and is not refused for its latency target', async () => {
  const parts = setUp();
  const { clock, capacity, admission } = parts;
  capacity.amounts.set('flood', 10_000);
  await letQueueStand(parts);
  await clock.advance(700);
  const rest = job(clock, {
    team: 'flood',
    isContinuation: true,
    arrived: clock.now() - 2_000,
    targetTime: clock.now() - 1_200,
    firstEventDeadline: Infinity,
  });
  void admission.admit(rest, never);
  capacity.free = 1;
  admission.placeQueued();
  assert.deepEqual(capacity.served, [rest]);
});

// Guards against long outputs with little time left, which a server works on until their deadline for nothing.
test('a request whose response cannot be complete by its deadline is refused at once', async () => {
  const { clock, admission } = setUp();
  const duration = { expected: 6_000, atMost: 9_000 };
  const late = job(clock, { duration, deadline: clock.now() + 6_200 });
  const result = await admission.admit(late, never);
  assert.ok(result.kind === 'refused' && result.reason === 'overload');
  void admission.admit(job(clock, { duration, deadline: clock.now() + 8_000 }), never);
  assert.equal(admission.length, 1);
});

test('the request of a caller that leaves is removed from the queue', async () => {
  const { clock, admission } = setUp();
  const leaving = new AbortController();
  const result = admission.admit(job(clock), leaving.signal);
  assert.equal(admission.length, 1);
  leaving.abort();
  assert.equal((await result).kind, 'refused');
  assert.equal(admission.length, 0);
});

test('while no server is usable a request waits for a fraction of its latency target, then is refused', async () => {
  const clock = Clock.manual();
  const admission = Admission.create(clock, WorkTimer.create(clock), {
    snapshot: () => ({ place: () => ({ kind: 'none' }), received: () => 0, mostReceived: () => 0 }),
  });
  const result = admission.admit(job(clock), never);
  await clock.advance(300);
  admission.placeQueued();
  assert.equal(admission.length, 1);
  await clock.advance(200);
  admission.placeQueued();
  assert.deepEqual(await result, { kind: 'refused', reason: 'noServer', retryAfter: 1_000 });
});

// Guards against LOST: a response that has begun is broken off at once, since no server is usable at that moment.
test('a response that its caller has a part of waits for a usable server as long as its caller does', async () => {
  const clock = Clock.manual();
  const admission = Admission.create(clock, WorkTimer.create(clock), {
    snapshot: () => ({ place: () => ({ kind: 'none' }), received: () => 0, mostReceived: () => 0 }),
  });
  await clock.advance(6_000);
  const arrived = clock.now() - 5_000;
  const firstEventDeadline = clock.now() + 2_000;
  const changes = { isContinuation: true, arrived, targetTime: arrived + 800, firstEventDeadline };
  const result = admission.admit(job(clock, changes), never);
  await clock.advance(1_700);
  admission.placeQueued();
  assert.equal(admission.length, 1);
  await clock.advance(300);
  admission.placeQueued();
  assert.equal((await result).kind, 'refused');
});
