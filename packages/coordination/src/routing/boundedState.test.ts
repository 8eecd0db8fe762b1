// State that grows by what peers and operators send has a bound. Guards against the end of a router for lack of memory.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { CrashReports } from './crashReports.js';
import { Departures } from './departures.js';
import { server } from './fixtures.test.js';
import { Members } from './members.js';
import { PlannedStops } from './plannedStops.js';
import { PoisonParts } from './poisonParts.js';
import { TimeBudgets } from './timeBudgets.js';

const manyNames = Array.from({ length: 20_000 }, (_, index) => `name-${index}`);

test('routers beyond the bound are ignored, and known ones go on being heard', () => {
  const members = Members.create(Clock.manual(1_000), 'self', 1);
  const state = { dataCentre: 'suva', isLeaving: false, capacity: 1, used: 0, isIdle: false };
  const heartbeat = { name: 'name-0', ip: '10.0.0.1', storeAge: 0, ...state };
  for (const name of manyNames) members.register(name, { ip: '10.0.0.1', capacity: 1 });
  assert.ok(members.names().length < 10_000);
  assert.ok(!members.recordHeartbeat({ ...heartbeat, name: 'stranger' }));
  assert.ok(members.recordHeartbeat(heartbeat));
});

test('the first departures are forgotten first', () => {
  const departures = Departures.create(Clock.manual(1_000));
  for (const id of manyNames) departures.record(server(id), 'response');
  assert.ok(departures.announced().length < 10_000);
  assert.ok(departures.has(server('name-19999')));
});

test('blocks of other routers beyond the bound are not taken over', () => {
  const parts = PoisonParts.create(Clock.manual(1_000));
  for (const part of manyNames) parts.adopt([part, 60_000]);
  assert.ok(parts.blocked().length < 2_000);
  assert.ok(parts.blockedFor(['name-0']) > 0);
});

test('a report of another router counts with a bounded number of parts', () => {
  const reports = CrashReports.create(Clock.manual(1_000), 'self');
  const parts = manyNames.map((id, depth) => ({ id, depth, requests: 1 }));
  reports.receive({ reporter: 'r2', server: server('a'), at: 1_000, isConfirmed: true, parts });
  assert.equal(reports.ends()[0]?.parts.size, 24);
});

test('the stop of a router is forgotten some time after its end', async () => {
  const clock = Clock.manual(1_000);
  const stops = PlannedStops.create(clock, { grace: 8_000 });
  stops.recordHeartbeat('10.0.0.1', true, 0);
  await clock.advance(60_000);
  stops.recordHeartbeat('10.0.0.2', true, 0);
  assert.ok(stops.closesConnections('10.0.0.1'));
  await clock.advance(60_000);
  stops.recordHeartbeat('10.0.0.3', true, 0);
  assert.ok(!stops.closesConnections('10.0.0.1'));
});

test('the time budgets of routes that are gone are forgotten', () => {
  const budgets = TimeBudgets.create(Clock.manual(1_000));
  budgets.observe('gone', 10_000);
  budgets.observe('kept', 10_000);
  budgets.retain(new Set(['kept']));
  assert.ok(budgets.observe('kept', 1_000));
  assert.ok(!budgets.observe('gone', 1_000));
});
