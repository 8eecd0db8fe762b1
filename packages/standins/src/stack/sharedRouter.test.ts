// Load pattern: the callers of two teams keep to one router of a small VM. One team asks for several times what its processor can
// relay, the other one for a fifth of it.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SmallVm, quietKey } from './smallVm.js';

/** Share of a processor that the router has. */
const share = 0.2;
/** Callers that ask one after the other are enough to use all of that. */
const steadyCallers = 30;
/** How much more than the router can relay one team asks for, and how much of it the other one. */
const excess = 6;
const quietPart = 0.2;
/** A team that asks for less than its share is owed what it asks for; the rules allow half of it. */
const leastPart = 0.5;
/** The rules allow a few requests to reach a server late. */
const few = 3;

for (const [kind, path] of [
  ['may be continued at another server', '/letters/1'],
  ['may run only once', '/drafts/1'],
] as const) {
  // Guards against FAIR of issue 42: the processor time of a router goes to whoever asks most, so that a team that asks for little
  // gets a part of it only.
  test(`a team that asks a saturated router for little is served beside one that floods it with requests each of which ${kind}`, async (t) => {
    const small = await SmallVm.startFor(t, share);
    await small.capacity(steadyCallers, 2_000);
    small.pace(share);
    const capacity = await small.capacity(steadyCallers, 4_000);
    await small.addOther();
    const [large, quiet] = await Promise.all([
      small.flood(excess * capacity, 8_000, { path }),
      small.flood(quietPart * capacity, 8_000, { path, key: quietKey }),
    ]);
    const told = `quiet ${JSON.stringify(quiet)}, large ${JSON.stringify(large)}, capacity ${capacity.toFixed(1)}/s`;
    t.diagnostic(told);
    assert.ok(quiet.whole >= leastPart * quiet.sent, `too little served: ${told}`);
    assert.ok(large.late + quiet.late <= few, `sent on after their callers had left: ${told}`);
    assert.ok(
      large.whole >= (1 - quietPart) * leastPart * capacity * 8,
      `too little in all: ${told}`,
    );
  });
}
