// Load pattern: callers that keep to one router of a small VM open three times as many connections as it can serve. The
// event loop accepts one connection in each turn, and a turn lasts as long as the work for it.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { AcceptQueue, acceptBacklog, hasCallerLeft, exceedsWaitLimit } from './acceptQueue.js';

/** Time that a request takes from the event loop. */
interface Vm {
  readonly serving: Milliseconds;
  readonly refusing: Milliseconds;
}

const thirdOfCore: Vm = { serving: 8, refusing: 1.5 };
/** A VM a twentieth as fast as the core that it states. */
const twentieth: Vm = { serving: 100, refusing: 19 };
/** Time after which a caller leaves a request that was not read. */
const patience: Milliseconds = 1_000;
/** A request may be sent on for so long after its caller has left. */
const lateAfter: Milliseconds = 500;

interface Outcome {
  readonly served: number;
  readonly refused: number;
  /** Connections that found the queue full. */
  readonly turnedAway: number;
  /** Requests that were accepted when their callers had left. */
  readonly left: number;
  /** Of these, the ones that were sent on too late. */
  readonly late: number;
  readonly longestWait: Milliseconds;
}

interface Plan {
  /** Whether what waited for too long is refused. */
  readonly refuses: boolean;
  /** Whether the router looks if a caller has left before it serves the request. */
  readonly looks?: boolean;
  readonly vm?: Vm;
  /** Time for which the VM stands still at first. */
  readonly standstill?: Milliseconds;
  /** Time after which all connections of that time come at once; without it they come evenly. */
  readonly gap?: Milliseconds;
}

/** Plays arrivals at `rate` a second for ten seconds, with room for `backlog` connections. */
async function play(
  rate: number,
  backlog: number,
  { refuses, looks = false, vm = thirdOfCore, standstill = 0, gap = 0 }: Plan,
): Promise<Outcome> {
  const clock = Clock.manual(1_000);
  const start = clock.now();
  const queue = AcceptQueue.create(clock, backlog);
  const waiting: (Milliseconds | 'probe')[] = [];
  const turns: (() => void)[] = [];
  const read: Milliseconds[] = [];
  let arrived = 0;
  let [served, refused, turnedAway, left, late, longestWait] = [0, 0, 0, 0, 0, 0];
  const look = async (arrival: Milliseconds): Promise<void> => {
    const turn = (): Promise<void> =>
      new Promise((resolve) => {
        turns.push(resolve);
      });
    if (await hasCallerLeft(turn, () => clock.now() - arrival > patience)) left += 1;
    else read.push(arrival);
  };
  const serve = async (arrival: Milliseconds, work: Milliseconds): Promise<void> => {
    const wait = clock.now() - arrival;
    if (wait > patience) left += 1;
    else {
      served += 1;
      longestWait = Math.max(longestWait, wait);
    }
    if (wait > patience + lateAfter) late += 1;
    await clock.advance(work);
  };
  /** When the connection of this number comes. */
  const arrivalOf = (index: number): Milliseconds => {
    const even = (index * 1_000) / rate;
    return start + (gap > 0 ? Math.floor(even / gap) * gap : even);
  };
  await clock.advance(standstill);
  while (clock.now() - start < 10_000) {
    for (; arrivalOf(arrived) < clock.now(); arrived += 1) {
      if (waiting.length < backlog) waiting.push(arrivalOf(arrived));
      else turnedAway += 1;
    }
    for (const turn of turns.splice(0)) turn();
    await Promise.resolve();
    for (const arrival of read.splice(0)) await serve(arrival, vm.serving - vm.refusing);
    const next = waiting.shift();
    if (next === undefined) {
      await clock.advance(1);
      continue;
    }
    const isOld = exceedsWaitLimit(queue.wait);
    if (next === 'probe') queue.probeAccepted();
    else queue.callerAccepted();
    if (queue.startProbe()) {
      if (waiting.length < backlog) {
        queue.probeQueued();
        waiting.push('probe');
      } else {
        queue.probeFailed();
      }
    }
    if (next === 'probe') continue;
    if (refuses && isOld) {
      refused += 1;
      await clock.advance(vm.refusing);
    } else if (looks) {
      void look(next);
      await clock.advance(vm.refusing);
    } else {
      await serve(next, vm.serving);
    }
  }
  return { served, refused, turnedAway, left, late, longestWait };
}

/** Requests that the router can serve in ten seconds. */
const capacity = 10_000 / thirdOfCore.serving;
const rate = capacity / 10;
/** Cores of a VM that relays so many. */
const cores = rate / 200;
const endless = Infinity;

// Guards against issue 15: only requests whose callers had left were accepted, so that none was served.
test('under three times its capacity a router uses its time for requests whose callers still wait', async () => {
  const collapsed = await play(3 * rate, endless, { refuses: false });
  assert.ok(collapsed.left > collapsed.served, 'the pattern has to collapse with a long queue');
  const { served, left, longestWait, turnedAway } = await play(3 * rate, acceptBacklog(cores), {
    refuses: true,
  });
  assert.equal(left, 0);
  assert.ok(served >= 0.95 * capacity, `${served} served`);
  assert.ok(turnedAway > capacity);
  assert.ok(longestWait <= 400, `the oldest that was served had waited ${longestWait} ms`);
});

test('a router that is slower than its queue is long refuses what is too old, and serves half of what it can', async () => {
  const { served, left, longestWait } = await play(3 * rate, endless, { refuses: true });
  assert.equal(left, 0);
  assert.ok(served >= 0.5 * capacity, `${served} served`);
  assert.ok(longestWait < patience, `${longestWait} ms`);
});

const slowFlood = (3 * 1_000) / twentieth.serving;

// Guards against requests that are sent on 0.5 s and more after their callers have left: the queue fills while such a VM stands
// still, and what is accepted before a probe has waited for long has a wait that is not known.
test('a VM a twentieth as fast as stated sends nothing on late after a standstill', async () => {
  const plan = { refuses: true, vm: twentieth, standstill: 2_500 };
  const unseen = await play(slowFlood, acceptBacklog(1), plan);
  assert.ok(unseen.late > 3, `${unseen.late} late if the router does not look`);
  const { served, late } = await play(slowFlood, acceptBacklog(1), { ...plan, looks: true });
  assert.ok(late <= 3, `${late} late`);
  assert.ok(served >= unseen.served, `${served} served, without looking ${unseen.served}`);
});

test('a VM a twentieth as fast as stated serves half of what it can under three times that', async () => {
  const plan = { refuses: true, looks: true, vm: twentieth };
  const { served, late } = await play(slowFlood, acceptBacklog(1), plan);
  assert.equal(late, 0);
  assert.ok(served >= (0.5 * 10_000) / twentieth.serving, `${served} served`);
});

test('nobody is turned away or refused at nine tenths of the capacity', async () => {
  const { refused, turnedAway } = await play(0.9 * rate, acceptBacklog(cores), { refuses: true });
  assert.deepEqual({ refused, turnedAway }, { refused: 0, turnedAway: 0 });
});

// Guards against FAIR and SHORT at a router that is not saturated (issue 21): what finds the queue full is sent again after a
// second, when its caller has left.
test('nobody is turned away from bursts of half a second of work at a quarter of the capacity', async () => {
  const plan = { refuses: true, looks: true, gap: 2_000 };
  const { served, refused, turnedAway, left } = await play(rate / 4, acceptBacklog(cores), plan);
  assert.deepEqual(
    { refused, turnedAway, left },
    { refused: 0, turnedAway: 0, left: 0 },
    `${served} served`,
  );
});

test('the queue is as long as what a VM serves in 0.3 s, and never too short for those of a lost router', () => {
  assert.deepEqual([0.1, 0.324, 0.675, 1.35].map(acceptBacklog), [16, 20, 41, 81]);
});

test('a probe that waits tells the wait before it is accepted, and one that fails tells nothing', async () => {
  const clock = Clock.manual();
  const queue = AcceptQueue.create(clock, 20);
  for (let index = 0; index < 5; index += 1) queue.callerAccepted();
  assert.ok(queue.startProbe());
  assert.ok(!queue.startProbe());
  queue.probeQueued();
  await clock.advance(700);
  assert.ok(exceedsWaitLimit(queue.wait));
  queue.probeFailed();
  assert.equal(queue.wait, 0);
});

// Guards against taking the time until a full queue has room for a probe as the wait of connections in it.
test('the time before a probe waits in the queue does not count', async () => {
  const clock = Clock.manual();
  const queue = AcceptQueue.create(clock, 20);
  for (let index = 0; index < 5; index += 1) queue.callerAccepted();
  assert.ok(queue.startProbe());
  await clock.advance(2_000);
  assert.equal(queue.wait, 0);
  queue.probeQueued();
  await clock.advance(100);
  queue.probeAccepted();
  assert.equal(queue.wait, 100);
});

test('a router that was overloaded probes at once, so that it serves again as soon as the queue is short', async () => {
  const clock = Clock.manual();
  const queue = AcceptQueue.create(clock, 20);
  for (let index = 0; index < 5; index += 1) queue.callerAccepted();
  for (const [wait, tooOld] of [
    [700, true],
    [20, false],
  ] as const) {
    assert.ok(queue.startProbe());
    queue.probeQueued();
    await clock.advance(wait);
    queue.probeAccepted();
    assert.equal(exceedsWaitLimit(queue.wait), tooOld);
  }
});

// Guards against refusing everything for ever: a full queue forgot the probe, which seemed to wait on and on.
test('a probe that all others of a full queue have passed is given up', async () => {
  const clock = Clock.manual();
  const queue = AcceptQueue.create(clock, 20);
  for (let index = 0; index < 5; index += 1) queue.callerAccepted();
  assert.ok(queue.startProbe());
  queue.probeQueued();
  let refused = 0;
  for (let index = 0; index < 100; index += 1) {
    await clock.advance(60);
    queue.callerAccepted();
    refused += Number(exceedsWaitLimit(queue.wait));
    if (queue.startProbe()) queue.probeFailed();
  }
  assert.ok(refused <= 20, `${refused} of 100 refused`);
});
