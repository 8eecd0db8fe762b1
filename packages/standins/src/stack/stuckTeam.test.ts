// Load pattern: the callers of a team keep to one router of a small VM, whatever the directory names, and ask for several
// times what its processor can relay, while the VM of another router idles.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SmallVm } from './smallVm.js';

/** Share of a processor that the router has. */
const share = 0.2;
/** Callers that ask one after the other are enough to use all of that. */
const steadyCallers = 30;
/** How much more than the router can relay the team asks for; in the users' record some 400 requests a second for 60. */
const excess = 6;
/** With room in the fleet, a team that asks all the time is owed half of what it asks for. */
const leastPart = 0.5;
/** The rules allow a few requests to reach a server late. */
const few = 3;

// Guards against FAIR of issue 21: a team got what the one router that its callers keep to could relay, while the fleet idled.
test('a team whose callers keep to a saturated router gets half of what it asks for while another router idles', async (t) => {
  const small = await SmallVm.startFor(t, share);
  await small.capacity(steadyCallers, 2_000);
  small.pace(share);
  const capacity = await small.capacity(steadyCallers, 4_000);
  await small.addOther();
  const result = await small.flood(excess * capacity, 8_000);
  const told = `${JSON.stringify(result)}, capacity ${capacity.toFixed(1)}/s`;
  t.diagnostic(told);
  assert.ok(result.whole >= leastPart * result.sent, `too little served: ${told}`);
  assert.ok(result.late <= few, `sent on after their callers had left: ${told}`);
});
