// A saturated router whose callers keep to it hands their connections over to another router, which is killed while their
// requests are at a server. Nothing disturbs the first router.

import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import type { Milliseconds } from '@catkinwheel/state';
import type { CallResult } from './caller.js';
import { SmallVm } from './smallVm.js';

/** Share of a processor that the router has. */
const share = 0.2;
/** Callers that ask one after the other and use more than all of that. */
const callers = 120;
/** Requests that the other router serves when it is killed. */
const handedOver = 8;
/** Time in which the router notices that it is saturated and hands so many over. */
const killWithin: Milliseconds = 8_000;

/** Kills the far router under requests for `path`; the answers that callers of the first one got. */
async function answersTo(t: TestContext, path: string): Promise<readonly CallResult[]> {
  const small = await SmallVm.startFor(t, share);
  await small.addOther();
  small.pace(share);
  const answers = await small.askWhileOtherEnds(path, callers, handedOver, killWithin);
  const counts = new Map<string, number>();
  for (const { status, isWhole } of answers) {
    const kind = isWhole ? String(status) : `${status}, broken off`;
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  t.diagnostic(JSON.stringify(Object.fromEntries(counts)));
  assert.ok(
    answers.some(({ status }) => status === 200),
    'some requests have to be served',
  );
  return answers;
}

// Guards against LOST (review case 5): the callers of a router that was not disturbed lost their connections with another one.
test('the kill of a router leaves no request without an answer that another one handed over to it', async (t) => {
  const answers = await answersTo(t, '/reads/1');
  assert.equal(answers.filter(({ isWhole }) => !isWhole).length, 0, 'answers that broke off');
  assert.ok(
    answers.some(({ status }) => status === 502),
    'requests have to be at a server by way of the router that is killed',
  );
});

test('the kill of a router leaves no stream without an answer that another one handed over to it', async (t) => {
  const answers = await answersTo(t, '/letters/1');
  assert.equal(answers.filter(({ status }) => status === 0).length, 0, 'connections that were cut');
});

// Guards against exposing requests that may run only once to the failures of two routers.
for (const path of ['/charges/1', '/drafts/1']) {
  test(`the kill of another router does not touch a request to ${path}, which may not be repeated`, async (t) => {
    const answers = await answersTo(t, path);
    const touched = answers.filter(({ status, isWhole }) => !isWhole || status === 502);
    assert.equal(touched.length, 0, 'requests that were lost');
  });
}
