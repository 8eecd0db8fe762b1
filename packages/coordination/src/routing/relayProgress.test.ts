// Load pattern: a third of the servers break off half of their answers in the middle for some seconds, and every request
// that may run again is sent to up to two servers.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { ResponseBuffering, canResume, isNextEvent, type RelayProgress } from './relayProgress.js';

interface Piece {
  readonly after: Milliseconds;
  readonly size: number;
}

/** Bytes that are handed on before the answer is whole. */
async function earlyBytes(pieces: readonly Piece[]): Promise<number> {
  const clock = Clock.manual(1_000);
  const hold = ResponseBuffering.create(clock);
  let [held, early] = [0, 0];
  for (const { after, size } of pieces) {
    await clock.advance(after);
    held += size;
    if (hold.shouldBuffer(size)) continue;
    early += held;
    held = 0;
  }
  return early;
}

/** Pieces of an answer of `size` bytes that breaks off after `part` of it. */
function brokenOff(size: number, part: number): readonly Piece[] {
  const length = Math.floor(size * part);
  return Array.from({ length: 4 }, (_, index) => ({ after: index * 5, size: length / 4 }));
}

// Guards against a caller that has a part of an answer whose server then crashes: its request cannot be repeated.
test('answers of the published sizes that break off reach no caller, wherever they break', async () => {
  for (const size of [80, 800, 4_800])
    for (const part of [0.1, 0.5, 0.99])
      assert.equal(await earlyBytes(brokenOff(size, part)), 0, `${size} bytes, ${part}`);
});

// Guards against memory that grows with the answers of servers, and callers that wait for the end of a long answer.
test('a long answer is handed on as it comes', async () => {
  const piece = { after: 1, size: 16 * 1024 };
  assert.equal(await earlyBytes([piece, piece]), 0);
  assert.equal(await earlyBytes([piece, piece, piece, piece]), 64 * 1024);
});

// Guards against callers that give up because nothing comes, although their server answers slowly.
test('a slow answer is handed on as it comes', async () => {
  const slow = { after: 200, size: 10 };
  assert.equal(await earlyBytes([slow, slow]), 0);
  assert.equal(await earlyBytes([slow, slow, slow, slow]), 40);
});

// Guards against bytes of two runs in one plain answer, and against events that are missing or come twice.
test('only events whose last id is known are continued by another run', () => {
  const cases: readonly (readonly [RelayProgress, boolean])[] = [
    [{ kind: 'nothing' }, true],
    [{ kind: 'plain' }, false],
    [{ kind: 'events', lastEvent: '7' }, true],
    [{ kind: 'events', lastEvent: undefined }, false],
  ];
  for (const [handedOn, expected] of cases)
    assert.equal(canResume(handedOn), expected, JSON.stringify(handedOn));
});

// Guards against a second run that begins with an event which the caller has, or whose place is not known.
test('a continuation begins behind the last event', () => {
  assert.ok(isNextEvent('3', '4'));
  assert.ok(isNextEvent('9', '10'));
  assert.ok(!isNextEvent('3', '3'));
  assert.ok(!isNextEvent('3', '2'));
  assert.ok(!isNextEvent('3', undefined));
  assert.ok(!isNextEvent('3', 'x'));
  assert.ok(!isNextEvent(undefined, '4'));
});
