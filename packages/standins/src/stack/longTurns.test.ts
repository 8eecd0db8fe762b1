// Load pattern: turns of a router's event loop are long, since its VM has no processor time to spare. A turn accepts one connection,
// and each step of a request takes one.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Milliseconds } from '@catkinwheel/state';
import { SmallVm } from './smallVm.js';

/** Size of the VM in cores. */
const capacity = 0.324;
/** A team is owed half of what it asks for. */
const leastPart = 0.5;
/** Timeout of the routes of the stand-in deployment. */
const routeTimeout: Milliseconds = 3_000;
/** An answer may come so long after the timeout of its route. */
const allowed: Milliseconds = 500;

// Guards against GONE of issue 45: a request that takes six turns from its caller to a server and back gets there when the caller has left.
test('a router with turns of 200 ms serves requests that come one at a time', async (t) => {
  const small = await SmallVm.startFor(t, capacity, { turn: 200 });
  await small.waitForLongTurns();
  const result = await small.flood(1.5, 12_000);
  const told = JSON.stringify(result);
  t.diagnostic(told);
  assert.equal(result.late, 0, `sent on after their callers had left: ${told}`);
  assert.ok(result.whole >= leastPart * result.sent, `too little served: ${told}`);
});

// Guards against GONE of issue 45: connections wait in the accept queue for longer than their callers do, so that all that is accepted is
// too old to be served.
test('a router with turns of 60 ms that is asked for three times what it can accept serves half of that', async (t) => {
  const [turn, duration] = [60, 6_000];
  const small = await SmallVm.startFor(t, capacity, { turn });
  await small.waitForLongTurns();
  const acceptable = 1_000 / turn;
  const result = await small.flood(3 * acceptable, duration);
  const told = JSON.stringify(result);
  t.diagnostic(told);
  assert.equal(result.late, 0, `sent on after their callers had left: ${told}`);
  const owed = (leastPart * acceptable * duration) / 1_000;
  assert.ok(result.whole >= owed, `too little served, ${owed.toFixed(0)} are owed: ${told}`);
});

// Guards against CONFIG of issue 45: a route's timeout that counts from the turn in which a request is begun.
test('a router with turns of 200 ms answers within half a second of the timeout of a route', async (t) => {
  const small = await SmallVm.startFor(t, capacity, { turn: 200, silent: true });
  await small.waitForLongTurns();
  const answers = await Promise.all(['/drafts/1', '/charges/1'].map((path) => small.timeOf(path)));
  t.diagnostic(JSON.stringify(answers));
  for (const { status, took } of answers) {
    assert.equal(status, 504);
    assert.ok(took <= routeTimeout + allowed, `after ${took.toFixed(0)} ms`);
  }
});
