// Tests which prompt parts are blocked when servers end, and which are not.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { CrashReports, type CrashEnd } from './crashReports.js';
import { PoisonParts } from './poisonParts.js';

/** An end with the numbers of implicated requests by part; the first part is that of all prompts. */
function end(at: number, requests: Readonly<Record<string, number>>): CrashEnd {
  const parts = Object.entries(requests).map(
    ([id, count], index) =>
      [id, { id, depth: id === 'first' ? 0 : Math.max(1, index), requests: count }] as const,
  );
  return { at, parts: new Map(parts) };
}

function blockedBy(parts: PoisonParts, ends: readonly CrashEnd[]): readonly string[] {
  return parts.judge(ends).map(({ part }) => part);
}

// Guards against BUDGET, and against LOST where the cause shares its first part with sound requests.
test('the part that is at all ends in one request each is blocked, not the one that many requests share', () => {
  const parts = PoisonParts.create(Clock.manual(10_000));
  const ends = [1_000, 1_200, 1_400, 1_600, 1_800].map((at) =>
    end(at, { first: 5, dead: 1, [`sound-${at}`]: 4 }),
  );
  assert.deepEqual(blockedBy(parts, ends.slice(0, 4)), []);
  assert.deepEqual(blockedBy(parts, ends), ['dead']);
  assert.equal(parts.blockedFor(['first', 'sound-1000']), 0);
  assert.ok(parts.blockedFor(['first', 'dead']) > 0);
});

test('ends that a blocked part explains do not count against the parts beside it', () => {
  const parts = PoisonParts.create(Clock.manual(10_000));
  const ends = Array.from({ length: 10 }, (_, index) =>
    end(1_000 + 200 * index, { first: 5, dead: 1, popular: 4 }),
  );
  assert.deepEqual(blockedBy(parts, ends), ['dead']);
});

test('two parts under which servers end by turns are both blocked', () => {
  const parts = PoisonParts.create(Clock.manual(10_000));
  parts.prove(['first']);
  const ends = Array.from({ length: 10 }, (_, index) =>
    end(11_000 + 200 * index, { first: 3, [index % 2 === 0 ? 'dead-a' : 'dead-b']: 1 }),
  );
  assert.deepEqual(new Set(blockedBy(parts, ends)), new Set(['dead-a', 'dead-b']));
});

// Guards against blame for the loss of a data centre, in which many servers end at once.
test('servers that end at the same moment count as one end', () => {
  const parts = PoisonParts.create(Clock.manual(10_000));
  const ends = Array.from({ length: 20 }, (_, index) => end(1_000 + index, { first: 3, own: 1 }));
  assert.deepEqual(blockedBy(parts, ends), []);
});

test('a part with which requests are answered between the ends is not blocked', async () => {
  const clock = Clock.manual(10_000);
  const parts = PoisonParts.create(clock);
  parts.prove(['first']);
  const ends: CrashEnd[] = [];
  for (let round = 0; round < 20; round += 1) {
    await clock.advance(500);
    ends.push(end(clock.now(), { first: 2 }));
    if (round % 4 === 3) parts.prove(['first']);
    assert.deepEqual(blockedBy(parts, ends), []);
  }
});

// Guards against a part that stays blocked by mistake, while requests with it that were under way are answered.
test('an answer releases a part, and the block of another router does not come back', async () => {
  const clock = Clock.manual(10_000);
  const parts = PoisonParts.create(clock);
  assert.ok(parts.adopt(['first', 5_000]));
  await clock.advance(10);
  assert.deepEqual(parts.prove(['first']), ['first']);
  assert.ok(!parts.adopt(['first', 5_000]));
  assert.equal(parts.blockedFor(['first']), 0);
});

// A part may be deadly to one version of a model and sound to the next, so a block ends; one more end renews it.
test('a block ends after a time and is renewed by the next end', async () => {
  const clock = Clock.manual(10_000);
  const parts = PoisonParts.create(clock);
  const ends = [1_000, 1_200, 1_400].map((at) => end(at, { dead: 1 }));
  assert.deepEqual(blockedBy(parts, ends), ['dead']);
  await clock.advance(600_000);
  assert.equal(parts.blockedFor(['dead']), 0);
  assert.deepEqual(blockedBy(parts, ends), []);
  await clock.advance(1_000);
  assert.deepEqual(blockedBy(parts, [end(clock.now(), { dead: 1 })]), ['dead']);
});

test('a lost connection is no end until the server cannot be reached, or another router says so', () => {
  const reports = CrashReports.create(Clock.manual(1_000), 'r1');
  const server = { id: 'a', address: '10.0.0.1:80', born: 1 };
  reports.recordLoss(server, ['first', 'dead']);
  reports.recordLoss(server, ['first']);
  assert.deepEqual(reports.ends(), []);
  const other = { reporter: 'r2', server, at: 1_050, isConfirmed: true, parts: [] };
  assert.ok(reports.receive(other) && !reports.receive(other));
  const [only, ...more] = reports.ends();
  assert.equal(more.length, 0);
  assert.equal(only?.at, 1_000);
  assert.deepEqual(only.parts.get('first'), { id: 'first', depth: 0, requests: 2 });
});

// Guards against blame for connections that something between router and server resets.
test('a server that responds after it lost connections has not ended', async () => {
  const clock = Clock.manual(1_000);
  const reports = CrashReports.create(clock, 'r1');
  const server = { id: 'a', address: '10.0.0.1:80', born: 1 };
  reports.recordLoss(server, ['first']);
  reports.recordAlive(server, 900);
  assert.equal(reports.unconfirmed().length, 1);
  await clock.advance(50);
  reports.recordAlive(server, clock.now());
  reports.confirm(server);
  assert.deepEqual(
    reports.ends().map(({ parts }) => parts.size),
    [0],
  );
});

// Guards against blame for connections that a server broke off long before it ended for another reason.
test('a connection that was lost long before the end of its server does not count', async () => {
  const clock = Clock.manual(1_000);
  const reports = CrashReports.create(clock, 'r1');
  const server = { id: 'a', address: '10.0.0.1:80', born: 1 };
  reports.recordLoss(server, ['first']);
  await clock.advance(10_000);
  reports.receive({ reporter: 'r2', server, at: clock.now(), isConfirmed: true, parts: [] });
  assert.deepEqual(
    reports.ends().map(({ parts }) => parts.size),
    [0],
  );
});

// Guards against a block that never ends: a message takes some time, so each takeover would end a little later.
test('a block is not taken over and over by routers that tell one another of it', async () => {
  const clock = Clock.manual(10_000);
  const routers = [PoisonParts.create(clock), PoisonParts.create(clock)] as const;
  routers[0].adopt(['dead', 5_000]);
  let messages: readonly (readonly [string, number])[][] = [[], []];
  for (let round = 0; round < 3_000; round += 1) {
    // Each message arrives 10 ms after it was sent.
    const sent = routers.map((router) => [...router.blocked()]);
    await clock.advance(10);
    for (const [index, received] of messages.entries())
      for (const timed of received) routers[index === 0 ? 1 : 0].adopt(timed);
    messages = sent;
  }
  assert.deepEqual(
    routers.map((router) => router.blockedFor(['dead'])),
    [0, 0],
  );
});
