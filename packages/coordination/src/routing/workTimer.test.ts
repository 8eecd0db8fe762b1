// Load pattern: a VM without processor time to spare, where one activity runs inside another one.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { WorkTimer } from './workTimer.js';

/** A clock that other code moves on while work is done. */
class MovedClock {
  now = 0;
  readonly clock: Clock = Object.assign(Object.create(Clock.manual()) as Clock, {
    now: (): number => this.now,
  });
}

// Guards against blaming datagrams for the queue that is looked through while one is taken.
test('work inside other work is counted once, for its own activity', () => {
  const moved = new MovedClock();
  const work = WorkTimer.create(moved.clock);
  work.run('datagrams', () => {
    moved.now += 2;
    work.run('queue', () => (moved.now += 5));
    moved.now += 1;
  });
  assert.deepEqual(work.times(), { datagrams: 3, queue: 5, arrivals: 0 });
});

test('work that fails is counted and its error passed on', () => {
  const moved = new MovedClock();
  const work = WorkTimer.create(moved.clock);
  assert.throws(
    () =>
      work.run('arrivals', () => {
        moved.now += 4;
        throw new Error('no table');
      }),
    /no table/,
  );
  assert.equal(work.times().arrivals, 4);
});
