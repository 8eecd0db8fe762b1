// Tests the choice of a server when all are busy and one has the long part of the prompt in its prefix cache.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EngineTiming } from './engineTiming.js';
import { noLoad } from './loads.js';
import { chooseServer, type Candidate, type Timing } from './placement.js';

const timing: Timing = {
  kind: 'engine',
  engineTiming: EngineTiming.initial,
  engine: { slots: 64, memory: 500_000 },
  backlogLimit: 200,
};

function candidate(id: string, changes: Partial<Candidate> = {}): Candidate {
  return {
    id,
    slots: 64,
    load: noLoad,
    queuedAhead: noLoad,
    queuedElsewhere: noLoad,
    uncachedTokens: 16_000,
    failureRate: 0,
    isInOwnDataCentre: true,
    yieldsRoom: false,
    ...changes,
  };
}

const busy = { unread: 10_000, requests: 10, memory: 30_000 };

test('a request waits for the server that has cached its part instead of prefilling it again', () => {
  const holder = candidate('holder', { load: busy, uncachedTokens: 3_000 });
  const placement = chooseServer([holder, candidate('idle')], timing, undefined, 3_000);
  assert.equal(placement.kind, 'wait');
  assert.ok(placement.id === 'holder');
});

test('a part is prefilled at a second server once the first one has a long backlog', () => {
  const load = { unread: 90_000, requests: 30, memory: 100_000 };
  const holder = candidate('holder', { load, uncachedTokens: 3_000 });
  const placement = chooseServer([holder, candidate('idle')], timing, undefined, 3_000);
  assert.ok(placement.kind === 'server' && placement.id === 'idle');
});

test('a part that no server has cached is prefilled at its home unless that has a long backlog', () => {
  const servers = [candidate('a'), candidate('home'), candidate('c')];
  const placement = chooseServer(servers, timing, 'home', 3_000);
  assert.ok(placement.kind === 'server' && placement.id === 'home');
  const load = { unread: 40_000, requests: 5, memory: 40_000 };
  const behind = [candidate('a'), candidate('home', { load })];
  const other = chooseServer(behind, timing, 'home', 3_000);
  assert.ok(other.kind === 'server' && other.id === 'a');
});

test('requests queued at other routers count for the prediction but do not use up a server’s room', () => {
  const waiting = candidate('a', { queuedElsewhere: { unread: 40_000, requests: 10, memory: 0 } });
  const placement = chooseServer([waiting], timing, undefined, 3_000);
  assert.ok(placement.kind === 'server' && placement.predicted > placement.idlePrediction);
});

test('a request waits if the engine lacks memory for it, unless the engine is idle', () => {
  const full = candidate('a', { load: { unread: 0, requests: 5, memory: 449_000 } });
  assert.equal(chooseServer([full], timing, undefined, 3_000).kind, 'wait');
  const empty = candidate('a', { load: { unread: 0, requests: 0, memory: 449_000 } });
  assert.equal(chooseServer([empty], timing, undefined, 3_000).kind, 'server');
});

test('a plain server gets no more requests than it runs and a few to queue', () => {
  const slots = 6;
  const at = (requests: number): string =>
    chooseServer(
      [candidate('a', { slots, uncachedTokens: 0, load: { ...noLoad, requests } })],
      { kind: 'plain' },
      undefined,
      0,
    ).kind;
  assert.equal(at(6), 'server');
  assert.equal(at(8), 'wait');
});

test('a server that fails most of its requests is avoided while another is free', () => {
  const failing = candidate('failing', { uncachedTokens: 3_000, failureRate: 0.8 });
  const placement = chooseServer([failing, candidate('healthy')], timing, undefined, 3_000);
  assert.ok(placement.kind === 'server' && placement.id === 'healthy');
});

test('part of a batch is left to a team that has received less and waits at another router', () => {
  const load = { unread: 0, requests: 60, memory: 100_000 };
  assert.equal(chooseServer([candidate('a', { load })], timing, undefined, 3_000).kind, 'server');
  const yielded = candidate('a', { load, yieldsRoom: true });
  assert.equal(chooseServer([yielded], timing, undefined, 3_000).kind, 'wait');
});
