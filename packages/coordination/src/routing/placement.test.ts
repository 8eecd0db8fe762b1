// Load pattern: all servers are busy, and one holds the long part of the request.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EngineModel } from './engineTiming.js';
import { noLoad } from './loads.js';
import { place, type Candidate, type Timing } from './placement.js';

const timing: Timing = {
  kind: 'engine',
  model: EngineModel.initial,
  engine: { slots: 64, memory: 500_000 },
  backlogLimit: 200,
};

function candidate(id: string, changes: Partial<Candidate> = {}): Candidate {
  return {
    id,
    slots: 64,
    load: noLoad,
    ahead: noLoad,
    elsewhere: noLoad,
    missing: 16_000,
    failureRate: 0,
    isNear: true,
    isYielded: false,
    ...changes,
  };
}

const busy = { unread: 10_000, requests: 10, memory: 30_000 };

test('a request waits for the server that holds its part instead of reading it again', () => {
  const holder = candidate('holder', { load: busy, missing: 3_000 });
  const placement = place([holder, candidate('idle')], timing, undefined, 3_000);
  assert.equal(placement.kind, 'wait');
  assert.ok(placement.id === 'holder');
});

test('a part is read at a second server once the first one is far behind', () => {
  const load = { unread: 90_000, requests: 30, memory: 100_000 };
  const holder = candidate('holder', { load, missing: 3_000 });
  const placement = place([holder, candidate('idle')], timing, undefined, 3_000);
  assert.ok(placement.kind === 'server' && placement.id === 'idle');
});

test('a part that no server holds is read at its home while that is not far behind', () => {
  const servers = [candidate('a'), candidate('home'), candidate('c')];
  const placement = place(servers, timing, 'home', 3_000);
  assert.ok(placement.kind === 'server' && placement.id === 'home');
  const load = { unread: 40_000, requests: 5, memory: 40_000 };
  const behind = [candidate('a'), candidate('home', { load })];
  const other = place(behind, timing, 'home', 3_000);
  assert.ok(other.kind === 'server' && other.id === 'a');
});

test('what waits at other routers counts for the prediction but does not close a server', () => {
  const waiting = candidate('a', { elsewhere: { unread: 40_000, requests: 10, memory: 0 } });
  const placement = place([waiting], timing, undefined, 3_000);
  assert.ok(placement.kind === 'server' && placement.predicted > placement.alone);
});

test('an engine without memory for a request makes it wait, unless nothing runs there', () => {
  const full = candidate('a', { load: { unread: 0, requests: 5, memory: 449_000 } });
  assert.equal(place([full], timing, undefined, 3_000).kind, 'wait');
  const empty = candidate('a', { load: { unread: 0, requests: 0, memory: 449_000 } });
  assert.equal(place([empty], timing, undefined, 3_000).kind, 'server');
});

test('a plain server gets no more than it runs and a few that wait', () => {
  const slots = 6;
  const at = (requests: number): string =>
    place(
      [candidate('a', { slots, missing: 0, load: { ...noLoad, requests } })],
      { kind: 'plain' },
      undefined,
      0,
    ).kind;
  assert.equal(at(6), 'server');
  assert.equal(at(8), 'wait');
});

test('a server that fails most of its requests is avoided while another is free', () => {
  const grey = candidate('grey', { missing: 3_000, failureRate: 0.8 });
  const placement = place([grey, candidate('sound')], timing, undefined, 3_000);
  assert.ok(placement.kind === 'server' && placement.id === 'sound');
});

test('a batch leaves places to a team that has less and waits at another router', () => {
  const load = { unread: 0, requests: 60, memory: 100_000 };
  assert.equal(place([candidate('a', { load })], timing, undefined, 3_000).kind, 'server');
  const yielded = candidate('a', { load, isYielded: true });
  assert.equal(place([yielded], timing, undefined, 3_000).kind, 'wait');
});
