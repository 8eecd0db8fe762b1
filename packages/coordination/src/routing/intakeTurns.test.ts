// Load pattern: more connections come in than an event loop has turns, since each turn serves a request.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { IntakeTurns } from './intakeTurns.js';

/** Time that a turn takes to accept and read a connection, and to serve a request. */
interface Costs {
  readonly reading: Milliseconds;
  readonly serving: Milliseconds;
}

/** Of a third of a core. */
const ordinary: Costs = { reading: 1, serving: 15 };

/**
 * The longest wait of a connection to be read, and the requests begun, in ten seconds of `rate` connections a second. Each turn takes
 * `otherWork` besides.
 */
async function play(
  rate: number,
  otherWork: Milliseconds = 0,
  { reading, serving }: Costs = ordinary,
): Promise<{ readonly longestWait: Milliseconds; readonly begun: number }> {
  const clock = Clock.manual(0);
  const turns = IntakeTurns.create(clock);
  let [read, pending, begun, longestWait] = [0, 0, 0, 0];
  while (clock.now() < 10_000) {
    const now = clock.now();
    const arrived = (read * 1_000) / rate;
    const isReading = arrived <= now;
    if (isReading) {
      longestWait = Math.max(longestWait, now - arrived);
      turns.recordAccepted();
      turns.recordReadingTime(reading);
      read += 1;
      pending += 1;
    }
    const begins = turns.end() > 0 && pending > 0;
    if (begins) {
      begun += 1;
      pending -= 1;
    }
    const work = Number(isReading) * reading + Number(begins) * serving + otherWork;
    await clock.advance(Math.max(1, work));
  }
  return { longestWait, begun };
}

// Guards against FAIR of issue 42: a router that served a request in each turn read four connections a second, which had waited for
// more than 3 s.
test('connections that come several times as fast as requests are served are read at once', async () => {
  const { longestWait, begun } = await play(250);
  assert.ok(longestWait <= 200, `${longestWait} ms`);
  assert.ok(begun >= 300, `${begun} requests begun`);
});

test('requests are begun however many connections come', async () => {
  const { begun } = await play(2_000);
  assert.ok(begun >= 300, `${begun} requests begun`);
});

// Guards against a router that reads and refuses only, since its turns are long for other reasons (third play of the block of issue 42).
test('a router whose turns take 25 ms of other work begins fifteen requests a second', async () => {
  const { begun } = await play(200, 25);
  assert.ok(begun >= 150, `${begun} requests begun`);
});

/** Part of what a router can serve that it serves however much more is asked; the rest is for reading what it refuses. */
const servedPart = 3 / 4;

// Guards against GONE and CONFIG of issue 45: a router that reads a fixed number of requests for each one that it begins spends its
// time on reading where that is expensive, so that little is served in all and what is served is late.
for (const costs of [ordinary, { reading: 3, serving: 9 }, { reading: 5, serving: 5 }])
  for (const excess of [2, 5, 20])
    test(`a router that is asked for ${excess} times what it can serve serves three quarters of that where reading takes ${costs.reading} ms and serving ${costs.serving} ms`, async () => {
      const capacity = 10_000 / (costs.reading + costs.serving);
      const { begun } = await play((excess * capacity) / 10, 0, costs);
      assert.ok(begun >= servedPart * capacity, `${begun} begun of ${capacity.toFixed(0)}`);
    });

test('a turn without a new connection begins a request', () => {
  const turns = IntakeTurns.create(Clock.manual(0));
  assert.equal(turns.end(), 1);
  turns.recordAccepted();
  assert.equal(turns.end(), 0);
  assert.equal(turns.end(), 1);
});

// Guards against a router that does nothing but refuse callers which ask again at once on connections that they keep.
test('a turn that reads many requests on kept connections begins a part of them', () => {
  const turns = IntakeTurns.create(Clock.manual(0));
  for (let index = 0; index < 100; index += 1) turns.recordRead();
  assert.equal(turns.end(), 8);
  assert.equal(turns.end(), 1);
});
