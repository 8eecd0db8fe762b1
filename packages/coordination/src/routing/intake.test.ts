// Load pattern: the callers of several teams use one router, and one of the teams asks for several times what its VM can serve.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { Intake, type FleetUsage, type WaitingRequest } from './intake.js';

/** No team has received anything elsewhere. */
const noUsage: FleetUsage = { received: () => 0, mostReceived: () => 0 };

interface Request extends WaitingRequest {
  readonly arrived: Milliseconds;
}

interface Totals {
  sent: number;
  begun: number;
  refused: number;
  longestWait: Milliseconds;
}

/** Time that the router needs for each request. */
const serving: Milliseconds = 25;
const capacity = 1_000 / serving;
const seconds = 10;

/** Requests of teams that ask evenly, `rates` a second, through one router. */
async function play(
  rates: Readonly<Record<string, number>>,
  fleet = noUsage,
): Promise<ReadonlyMap<string, Totals>> {
  const clock = Clock.manual(0);
  const intake = Intake.create<Request>(clock, fleet);
  const totals = new Map(
    Object.keys(rates).map((team): [string, Totals] => [
      team,
      { sent: 0, begun: 0, refused: 0, longestWait: 0 },
    ]),
  );
  let freeAt: Milliseconds = 0;
  for (let now = 1; now <= seconds * 1_000; now += 1) {
    await clock.advance(1);
    for (const [team, rate] of Object.entries(rates)) {
      const of = totals.get(team);
      while (of !== undefined && of.sent < (now * rate) / 1_000) {
        of.sent += 1;
        for (const refused of intake.add({ team, earlier: 0, arrived: now })) {
          const by = totals.get(refused.team);
          if (by !== undefined) by.refused += 1;
        }
      }
    }
    if (now < freeAt) continue;
    const next = intake.next();
    const of = next === undefined ? undefined : totals.get(next.team);
    if (next === undefined || of === undefined) continue;
    freeAt = now + serving;
    of.begun += 1;
    of.longestWait = Math.max(of.longestWait, now - next.arrived);
  }
  return totals;
}

function totalsOf(totals: ReadonlyMap<string, Totals>, team: string): Totals {
  const found = totals.get(team);
  assert.ok(found !== undefined);
  return found;
}

// Guards against FAIR of issue 42: a team got the same fraction of what it asked a router for as one that floods it.
test('a team that asks for a fifth of what a router can serve gets all of it beside a flood of six times that', async () => {
  const totals = await play({ quiet: capacity / 5, large: 6 * capacity });
  const quiet = totalsOf(totals, 'quiet');
  const large = totalsOf(totals, 'large');
  assert.ok(quiet.begun >= 0.95 * quiet.sent, JSON.stringify(quiet));
  assert.ok(quiet.longestWait <= 200, JSON.stringify(quiet));
  // The flood gets the rest, and none of it waits unanswered.
  assert.ok(large.begun >= 0.75 * capacity * seconds, JSON.stringify(large));
  assert.ok(large.begun + large.refused >= 0.95 * large.sent, JSON.stringify(large));
});

test('teams that all ask for more than their part of a router get equal parts', async () => {
  const totals = await play({ a: 3 * capacity, b: capacity, c: capacity / 2 });
  for (const team of ['a', 'b', 'c']) {
    const { begun } = totalsOf(totals, team);
    assert.ok(Math.abs(begun - (capacity * seconds) / 3) <= 0.1 * capacity * seconds, `${begun}`);
  }
});

// Guards against a team that is served all over the fleet and takes from one whose callers use this router only.
test('a team that is owed service in the whole fleet goes before one that got most of it', async () => {
  const received = (team: string): number => (team === 'everywhere' ? 1_000_000 : 100_000);
  const fleet = { received, mostReceived: () => 1_000_000 };
  const totals = await play({ everywhere: capacity, here: 0.9 * capacity }, fleet);
  const here = totalsOf(totals, 'here');
  assert.ok(here.begun >= 0.95 * here.sent, JSON.stringify(here));
});

// Guards against refusals at a router that can serve all that is asked.
test('nothing is refused of a burst that can be served soon, nor at nine tenths of the capacity', async () => {
  const totals = await play({ a: 0.9 * capacity });
  assert.equal(totalsOf(totals, 'a').refused, 0);
  const intake = Intake.create<Request>(Clock.manual(0), noUsage);
  for (let index = 0; index < 20; index += 1)
    assert.deepEqual(intake.add({ team: 'a', earlier: 0, arrived: 0 }), []);
});

// Guards against kept connections that leave callers on new ones nothing.
test('of one team, requests on connections that were served least go first', () => {
  const intake = Intake.create<Request>(Clock.manual(0), noUsage);
  for (const earlier of [5, 0, 2, 0]) intake.add({ team: 'a', earlier, arrived: earlier });
  const order = Array.from({ length: 5 }, () => intake.next()?.earlier);
  assert.deepEqual(order, [0, 0, 2, 5, undefined]);
});

test('refused callers come back later the longer requests have been waiting, within bounds', async () => {
  const clock = Clock.manual(0);
  const intake = Intake.create<Request>(clock, noUsage);
  assert.equal(intake.retryAfter(), 300);
  intake.add({ team: 'a', earlier: 0, arrived: 0 });
  await clock.advance(1_000);
  assert.equal(intake.retryAfter(), 2_000);
  await clock.advance(9_000);
  assert.equal(intake.retryAfter(), 4_000);
});
