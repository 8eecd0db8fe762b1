// Adaptive concurrency limit of a server. Guards against a cold server that gets as many requests as a warm
// one, and against a limit that drops without reason.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Observation } from './serverLimit.js';
import { ServerLimit } from './serverLimit.js';

const limits = { coldLimit: 2, warmLimit: 8 };
const boot: Observation = { kind: 'reported', boot: 'b1', leaving: false };
const success: Observation = { kind: 'completed', firstByte: 10 };

function observed(limit: ServerLimit, ...observations: readonly Observation[]): ServerLimit {
  return observations.reduce((value, observation) => value.after(observation), limit);
}

function times(count: number, observation: Observation): readonly Observation[] {
  return Array.from({ length: count }, () => observation);
}

const started = observed(ServerLimit.create(limits), boot);
const warm = observed(started, ...times(100, success));

test('the limit of a cold server grows by one after as many completions as the limit', () => {
  assert.deepEqual([started.phase, started.limit], ['cold', 2]);
  const warming = observed(started, ...times(4, success));
  assert.deepEqual([warming.phase, warming.limit], ['warming', 2]);
  assert.equal(observed(warming, ...times(2, success)).limit, 3);
  assert.equal(observed(warming, ...times(4, success)).limit, 3);
  assert.equal(observed(warming, ...times(5, success)).limit, 4);
  assert.deepEqual([warm.phase, warm.limit], ['warm', 8]);
});

const signs: readonly (readonly [string, readonly Observation[]])[] = [
  ['another boot id', [{ kind: 'reported', boot: 'b2', leaving: false }]],
  ['a refused connection', [{ kind: 'refused' }]],
  ['slow first bytes', times(3, { kind: 'completed', firstByte: 400 })],
];
for (const [name, observations] of signs) {
  test(`a warm server drops to the cold limit on ${name}`, () => {
    const cut = observed(warm, ...observations);
    assert.deepEqual([cut.phase, cut.limit], ['cold', 2]);
  });
}

test('a single slow answer does not reduce the limit, because a long prompt may cause it', () => {
  assert.equal(observed(warm, { kind: 'completed', firstByte: 400 }, success).phase, 'warm');
});

test('the limit of a server without load reports is halved once and does not grow', () => {
  const suspect = observed(warm, { kind: 'unreported' }, { kind: 'unreported' });
  assert.deepEqual([suspect.phase, suspect.limit], ['suspect', 4]);
  assert.equal(observed(suspect, ...times(50, success)).limit, 4);
  assert.deepEqual(observed(suspect, boot).phase, 'warming');
  assert.equal(observed(started, { kind: 'unreported' }).limit, 2);
});

test('a leaving server has limit 0 and is ramped up from the cold limit if it stays', () => {
  for (const isLeaving of [
    { kind: 'leaving', leaving: true },
    { kind: 'reported', boot: 'b1', leaving: true },
  ] as const) {
    const left = observed(warm, isLeaving, ...times(9, success));
    assert.deepEqual([left.phase, left.limit], ['leaving', 0]);
    const back = observed(left, { kind: 'leaving', leaving: false });
    assert.deepEqual([back.phase, back.limit], ['cold', 2]);
  }
});

test('phase and limit are inherited only for the same boot id', () => {
  const inherited = { phase: 'warm', limit: 8, boot: 'b1' } as const;
  assert.equal(ServerLimit.create(limits, inherited).limit, 2);
  assert.equal(observed(ServerLimit.create(limits, inherited), boot).limit, 8);
  const other = { ...inherited, boot: 'b0' };
  assert.equal(observed(ServerLimit.create(limits, other), boot).limit, 2);
});
