// Guards against congestion collapse: callers that all use one router on a small VM open three times as many
// connections as it can serve. The event loop accepts one connection per turn, and a turn takes as long as the
// work for it.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { AcceptQueue, acceptBacklog, exceedsWaitLimit } from './acceptQueue.js';
import { Arrivals } from './arrivals.js';

/** Event loop time per request. */
interface Vm {
  readonly serving: Milliseconds;
  readonly refusing: Milliseconds;
}

const thirdOfCore: Vm = { serving: 8, refusing: 1.5 };
/** A third of a core whose turns are long for other reasons than requests. */
const longTurns: Vm = { serving: 60, refusing: 60 };
/** A VM with a twentieth of the speed of the core that it states. */
const twentieth: Vm = { serving: 100, refusing: 19 };
/** Time after which a caller abandons a request. */
const callerTimeout: Milliseconds = 1_000;
/** Max time after its caller has left at which a request may be sent on. */
const lateAfter: Milliseconds = 500;
/** Time after which a probe that is not in the queue is given up. */
const probeTimeout: Milliseconds = 200;

interface Outcome {
  readonly served: number;
  readonly refused: number;
  /** Connections that were rejected by a full queue. */
  readonly rejected: number;
  /** Requests that were accepted after their callers had left. */
  readonly left: number;
  /** Of these, the ones that were sent on later than allowed. */
  readonly late: number;
  readonly longestWait: Milliseconds;
}

interface Plan {
  /** Whether requests that have waited too long are refused. */
  readonly refuses: boolean;
  /** Whether the router checks that the caller is still connected before it serves the request. */
  readonly checksCallers?: boolean;
  /** Whether the queue gets a new length when it should. */
  readonly adjusts?: boolean;
  readonly vm?: Vm;
  /** Time for which the VM is frozen at the start. */
  readonly freezeTime?: Milliseconds;
  /** Burst interval: all connections of each interval arrive at its start. Without it they arrive evenly. */
  readonly burstInterval?: Milliseconds;
}

/** Simulates arrivals at `rate` a second for ten seconds, with a queue of `backlog` connections at first. */
async function simulate(
  rate: number,
  backlog: number,
  {
    refuses,
    checksCallers = false,
    adjusts = false,
    vm = thirdOfCore,
    freezeTime = 0,
    burstInterval = 0,
  }: Plan,
): Promise<Outcome> {
  const clock = Clock.manual(1_000);
  const start = clock.now();
  const queue = AcceptQueue.create(clock, backlog);
  const waiting: (Milliseconds | 'probe')[] = [];
  const arrivals = Arrivals.create<Milliseconds>();
  let arrived = 0;
  /** When the probe that a full queue did not take is given up. */
  let probeRejection = Infinity;
  let [served, refused, rejected, left, late, longestWait] = [0, 0, 0, 0, 0, 0];
  const serve = async (arrival: Milliseconds, work: Milliseconds): Promise<void> => {
    const wait = clock.now() - arrival;
    if (wait > callerTimeout) left += 1;
    else {
      served += 1;
      longestWait = Math.max(longestWait, wait);
    }
    if (wait > callerTimeout + lateAfter) late += 1;
    await clock.advance(work);
  };
  /** Time at which the connection with this index arrives. */
  const arrivalOf = (index: number): Milliseconds => {
    const even = (index * 1_000) / rate;
    return start + (burstInterval > 0 ? Math.floor(even / burstInterval) * burstInterval : even);
  };
  await clock.advance(freezeTime);
  while (clock.now() - start < 10_000) {
    for (; arrivalOf(arrived) < clock.now(); arrived += 1) {
      if (waiting.length < queue.length) waiting.push(arrivalOf(arrived));
      else rejected += 1;
    }
    if (clock.now() >= probeRejection) {
      probeRejection = Infinity;
      queue.probeRejected();
    }
    for (const arrival of arrivals.endTurn()) {
      if (clock.now() - arrival > callerTimeout) left += 1;
      else await serve(arrival, vm.serving - vm.refusing);
    }
    const next = waiting.shift();
    if (next === undefined) {
      await clock.advance(1);
      continue;
    }
    const isOld = exceedsWaitLimit(queue.wait);
    if (next === 'probe') queue.probeAccepted();
    else queue.callerAccepted();
    if (queue.startProbe()) {
      if (waiting.length < queue.length) {
        queue.probeQueued();
        waiting.push('probe');
      } else {
        probeRejection = clock.now() + probeTimeout;
      }
    }
    const length = adjusts ? queue.newLength() : undefined;
    if (length !== undefined) queue.setLength(length);
    if (next === 'probe') continue;
    if (refuses && isOld) {
      refused += 1;
      await clock.advance(vm.refusing);
    } else if (checksCallers) {
      arrivals.add(next);
      await clock.advance(vm.refusing);
    } else {
      await serve(next, vm.serving);
    }
  }
  return { served, refused, rejected, left, late, longestWait };
}

/** A queue of 20 connections whose probe is being opened. */
function queueWithProbe(clock: Clock): AcceptQueue {
  const queue = AcceptQueue.create(clock, 20);
  for (let index = 0; index < 5; index += 1) queue.callerAccepted();
  assert.ok(queue.startProbe());
  return queue;
}

/** Requests that the router can serve in ten seconds. */
const capacity = 10_000 / thirdOfCore.serving;
const rate = capacity / 10;
/** Cores of a VM that forwards so many requests. */
const cores = rate / 200;
const endless = Infinity;

// Guards against congestion collapse: with a long queue only requests whose callers had left were accepted, so
// that no request was served in time (issue 15).
test('at three times its capacity a router serves only requests whose callers still wait', async () => {
  const collapsed = await simulate(3 * rate, endless, { refuses: false });
  assert.ok(collapsed.left > collapsed.served, 'with a long queue the router has to collapse');
  const { served, left, longestWait, rejected } = await simulate(3 * rate, acceptBacklog(cores), {
    refuses: true,
  });
  assert.equal(left, 0);
  assert.ok(served >= 0.95 * capacity, `${served} served`);
  assert.ok(rejected > capacity);
  assert.ok(longestWait <= 400, `longest wait of a served request: ${longestWait} ms`);
});

test('with too long a queue a router refuses old requests, and still serves half of its capacity', async () => {
  const { served, left, longestWait } = await simulate(3 * rate, endless, { refuses: true });
  assert.equal(left, 0);
  assert.ok(served >= 0.5 * capacity, `${served} served`);
  assert.ok(longestWait < callerTimeout, `${longestWait} ms`);
});

const slowFlood = (3 * 1_000) / twentieth.serving;

// Guards against requests that are sent on 0.5 s or more after their callers have left. The queue fills while
// such a VM is frozen, and until a probe has waited for long, the wait of accepted connections is unknown.
test('a VM a twentieth as fast as stated sends few requests on late after a freeze', async () => {
  const plan = { refuses: true, vm: twentieth, freezeTime: 2_500 };
  const withoutCheck = await simulate(slowFlood, acceptBacklog(1), plan);
  assert.ok(
    withoutCheck.late > 3,
    `${withoutCheck.late} late without checking that callers are connected`,
  );
  const { served, late } = await simulate(slowFlood, acceptBacklog(1), {
    ...plan,
    checksCallers: true,
  });
  assert.ok(late <= 3, `${late} late`);
  assert.ok(
    served >= withoutCheck.served,
    `${served} served, without the check ${withoutCheck.served}`,
  );
});

test('a VM a twentieth as fast as stated serves half of its capacity at three times that load', async () => {
  const plan = { refuses: true, checksCallers: true, vm: twentieth };
  const { served, late } = await simulate(slowFlood, acceptBacklog(1), plan);
  assert.equal(late, 0);
  assert.ok(served >= (0.5 * 10_000) / twentieth.serving, `${served} served`);
});

// Guards against a queue that is short in connections and long in time: all that is accepted has waited for longer than its
// caller, and is refused or dropped (issue 45).
test('a VM whose turns are long serves half of what it can accept at three times that load', async () => {
  const plan = { refuses: true, checksCallers: true, vm: longTurns };
  const acceptable = 10_000 / longTurns.serving;
  const rate = (3 * acceptable) / 10;
  const fixed = await simulate(rate, acceptBacklog(cores), plan);
  assert.ok(fixed.served < acceptable / 4, `${fixed.served} served with a fixed length`);
  const { served, left } = await simulate(rate, acceptBacklog(cores), { ...plan, adjusts: true });
  assert.ok(served >= acceptable / 2, `${served} of ${acceptable} served`);
  assert.ok(left <= acceptBacklog(cores), `${left} left`);
});

// Guards against a queue that stays short once turns are: bursts that could be served would be rejected.
test('a queue that was shortened gets its length back when turns are short', async () => {
  const clock = Clock.manual();
  const queue = AcceptQueue.create(clock, 20);
  /** Accepts `count` connections in turns of this length, while others wait. */
  const accept = async (count: number, turn: Milliseconds): Promise<void> => {
    for (let index = 0; index < count; index += 1) {
      if (queue.startProbe()) queue.probeQueued();
      await clock.advance(turn);
      queue.callerAccepted();
      const length = queue.newLength();
      if (length !== undefined) queue.setLength(length);
    }
  };
  await accept(100, 60);
  assert.ok(queue.length <= 10, `${queue.length} connections at turns of 60 ms`);
  await accept(200, 10);
  assert.equal(queue.length, 20);
});

// Guards against taking a probe for lost that waits behind connections which came before the queue was shortened.
test('a probe may wait behind as many connections as the queue held before', async () => {
  const clock = Clock.manual();
  const queue = queueWithProbe(clock);
  queue.setLength(4);
  queue.probeQueued();
  for (let index = 0; index < 19; index += 1) {
    await clock.advance(100);
    queue.callerAccepted();
  }
  queue.probeAccepted();
  assert.equal(queue.wait, 1_900);
});

// Guards against rejecting connections for a single pause of the process.
test('the queue keeps its length when a VM has been frozen once', async () => {
  const clock = Clock.manual();
  const queue = queueWithProbe(clock);
  queue.probeQueued();
  await clock.advance(2_500);
  queue.probeAccepted();
  assert.equal(queue.newLength(), undefined);
});

// Guards against accepting connections from a full queue as if they had not waited.
test('the wait in a queue that rejects a probe is told from the length of turns', async () => {
  const clock = Clock.manual();
  const queue = queueWithProbe(clock);
  for (let index = 0; index < 200; index += 1) {
    await clock.advance(20);
    queue.callerAccepted();
  }
  queue.probeRejected();
  assert.ok(Math.abs(queue.wait - 400) < 20, `${queue.wait} ms`);
});

test('no connection is rejected or refused at nine tenths of the capacity', async () => {
  for (const adjusts of [false, true]) {
    const plan = { refuses: true, adjusts };
    const { refused, rejected } = await simulate(0.9 * rate, acceptBacklog(cores), plan);
    assert.deepEqual({ refused, rejected }, { refused: 0, rejected: 0 });
  }
});

// Guards against unfairness and slow responses at a router that is not saturated: a caller that finds the queue full
// retries after a second, when it has already given up (issue 21).
test('no connection is rejected in bursts of half a second of work at a quarter of the capacity', async () => {
  const plan = { refuses: true, checksCallers: true, burstInterval: 2_000 };
  const { served, refused, rejected, left } = await simulate(rate / 4, acceptBacklog(cores), plan);
  assert.deepEqual(
    { refused, rejected, left },
    { refused: 0, rejected: 0, left: 0 },
    `${served} served`,
  );
});

test('the queue holds what a VM serves in 0.3 s, and at least the connections of a lost router', () => {
  assert.deepEqual([0.1, 0.324, 0.675, 1.35].map(acceptBacklog), [16, 20, 41, 81]);
});

test('a queued probe shows the wait before it is accepted, and a failed one shows nothing', async () => {
  const clock = Clock.manual();
  const queue = queueWithProbe(clock);
  assert.ok(!queue.startProbe());
  queue.probeQueued();
  await clock.advance(700);
  assert.ok(exceedsWaitLimit(queue.wait));
  queue.probeFailed();
  assert.equal(queue.wait, 0);
});

// Guards against counting the time until a full queue takes the probe as the wait of connections in the queue.
test('the time before a probe enters the queue does not count', async () => {
  const clock = Clock.manual();
  const queue = queueWithProbe(clock);
  await clock.advance(2_000);
  assert.equal(queue.wait, 0);
  queue.probeQueued();
  await clock.advance(100);
  queue.probeAccepted();
  assert.equal(queue.wait, 100);
});

test('an overloaded router probes without delay, so that it recovers as soon as the queue is short', async () => {
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

// Guards against refusing all requests forever: a full queue dropped the probe, which then seemed to wait without
// end.
test('a probe counts as failed once as many connections as fit the queue were accepted after it', async () => {
  const clock = Clock.manual();
  const queue = queueWithProbe(clock);
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
