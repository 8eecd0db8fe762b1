// Load pattern: the callers of a team keep to one router of a small VM and ask for more than its processor can relay. A team that asks
// another router, whose VM has processor time to spare, fills all servers. A third router idles.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SmallVm, answerTime, spreadKey } from './smallVm.js';

/** Share of a processor that the router has. */
const share = 0.08;
/** Requests that the servers run at once, several times those that the small VM can relay. */
const slots = 72;
/** Requests a second that the servers can run. */
const served = (1_000 * slots) / answerTime;
/** Part of that which the team at the small VM asks for; the VM can relay about a third of it. */
const askedPart = 0.4;
const duration = 8_000;
/** The servers are full before the team asks, and until it has been answered. */
const ahead = 2_000;
/** Half of what a team asks for, or of what the best-served team gets, is the least that is fair. */
const leastPart = 0.5;
/** The rules count so many of the largest requests of a team as served, and allow so many to reach a server late. */
const few = 3;

// Guards against FAIR of issue 47: a router without processor time keeps all its connections while servers are full, also those of a
// team that is owed service, and refuses that team for want of processor time.
test('a team whose callers keep to a saturated router gets its share of full servers', async (t) => {
  const small = await SmallVm.startFor(t, share, { slots });
  await small.addOther();
  // One that idles, and to which no caller connects.
  await small.addOther();
  small.pace(share);
  const spread = small.flood(3 * served, ahead + duration, { key: spreadKey, router: 'other' });
  await new Promise((resolve) => setTimeout(resolve, ahead));
  const kept = await small.flood(askedPart * served, duration);
  const others = await spread;
  const told = `kept ${JSON.stringify(kept)}, spread ${JSON.stringify(others)}`;
  t.diagnostic(told);
  const best = (others.whole * duration) / (ahead + duration);
  assert.ok(
    kept.whole + few >= leastPart * Math.min(kept.sent, best),
    `too little served: ${told}`,
  );
  const room = (served * (ahead + duration)) / 1_000;
  assert.ok(kept.whole + others.whole >= leastPart * room, `too little in all: ${told}`);
  assert.ok(kept.late + others.late <= few, `sent on after their callers had left: ${told}`);
});
