// Load pattern: callers that keep to one router of a small VM open three times as many connections as it can serve. The
// event loop accepts one connection in each turn, and a turn lasts as long as the work for it.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { AcceptQueue, isTooOld } from './overload.js';

/** Time that a request takes from the event loop if it is served, and if it is refused, at a third of a core. */
const serving: Milliseconds = 8;
const refusing: Milliseconds = 1.5;
/** Time after which a caller leaves a request that was not read. */
const patience: Milliseconds = 1_000;

interface Outcome {
  readonly served: number;
  readonly refused: number;
  readonly left: number;
  readonly longestWait: Milliseconds;
}

/** Plays arrivals at `rate` a second for `duration`; `refuses` is whether the router looks at the queue. */
async function play(rate: number, duration: Milliseconds, refuses: boolean): Promise<Outcome> {
  const clock = Clock.manual(1_000);
  const start = clock.now();
  const queue = AcceptQueue.create(clock);
  const waiting: (Milliseconds | 'probe')[] = [];
  let arrived = 0;
  let [served, refused, left, longestWait] = [0, 0, 0, 0];
  while (clock.now() - start < duration) {
    for (; arrived < ((clock.now() - start) * rate) / 1_000; arrived += 1)
      waiting.push(start + (arrived * 1_000) / rate);
    const next = waiting.shift();
    if (next === undefined) {
      await clock.advance(1);
      continue;
    }
    const isOld = isTooOld(queue.wait);
    if (next === 'probe') queue.reached();
    else queue.accepted();
    if (queue.nextProbe() !== undefined) waiting.push('probe');
    if (next === 'probe') continue;
    if (refuses && isOld) {
      refused += 1;
      await clock.advance(refusing);
      continue;
    }
    const wait = clock.now() - next;
    if (wait > patience) left += 1;
    else {
      served += 1;
      longestWait = Math.max(longestWait, wait);
    }
    await clock.advance(serving);
  }
  return { served, refused, left, longestWait };
}

const capacity = 1_000 / serving;

// Guards against issue 15: only requests whose callers had left were accepted, so that none was served.
test('under three times its capacity a router serves most of it and nothing that is too old', async () => {
  const collapsed = await play(3 * capacity, 10_000, false);
  assert.ok(
    collapsed.left > collapsed.served,
    'the pattern has to collapse without the look at the queue',
  );
  const { served, left, longestWait } = await play(3 * capacity, 10_000, true);
  assert.equal(left, 0);
  assert.ok(served >= 0.5 * capacity * 10, `${served} served`);
  assert.ok(longestWait < patience / 2, `${longestWait} ms`);
});

test('nothing is refused at nine tenths of the capacity, nor when as many come at once as it serves in 0.2 s', async () => {
  assert.equal((await play(0.9 * capacity, 10_000, true)).refused, 0);
  const clock = Clock.manual();
  const queue = AcceptQueue.create(clock);
  for (let index = 0; index < 25; index += 1) {
    queue.accepted();
    queue.nextProbe();
    assert.ok(!isTooOld(queue.wait));
    await clock.advance(serving);
  }
});

test('a probe that waits tells the wait before it is accepted, and one that fails tells nothing', async () => {
  const clock = Clock.manual();
  const queue = AcceptQueue.create(clock);
  for (let index = 0; index < 5; index += 1) queue.accepted();
  assert.ok(queue.nextProbe() !== undefined);
  assert.equal(queue.nextProbe(), undefined);
  await clock.advance(400);
  assert.ok(isTooOld(queue.wait));
  queue.failed();
  assert.equal(queue.wait, 0);
});

test('a router that was overloaded probes at once, so that it serves again as soon as the queue is short', async () => {
  const clock = Clock.manual();
  const queue = AcceptQueue.create(clock);
  for (let index = 0; index < 5; index += 1) queue.accepted();
  queue.nextProbe();
  await clock.advance(400);
  queue.reached();
  assert.ok(isTooOld(queue.wait));
  assert.ok(queue.nextProbe() !== undefined);
  await clock.advance(20);
  queue.reached();
  assert.ok(!isTooOld(queue.wait));
});
