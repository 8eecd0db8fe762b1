// Guards against truncated responses: a third of the servers truncate half of their responses for some seconds,
// and each request that may be retried is sent to up to two servers.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { ResponseBuffering, canResume, isNextEvent, type RelayProgress } from './relayProgress.js';

interface Piece {
  readonly after: Milliseconds;
  readonly size: number;
}

/** Bytes that are forwarded before the response is complete. */
async function earlyBytes(pieces: readonly Piece[]): Promise<number> {
  const clock = Clock.manual(1_000);
  const buffering = ResponseBuffering.create(clock);
  let [held, early] = [0, 0];
  for (const { after, size } of pieces) {
    await clock.advance(after);
    held += size;
    if (buffering.shouldBuffer(size)) continue;
    early += held;
    held = 0;
  }
  return early;
}

/** Chunks of a response of `size` bytes that is truncated after `part` of it. */
function brokenOff(size: number, part: number): readonly Piece[] {
  const length = Math.floor(size * part);
  return Array.from({ length: 4 }, (_, index) => ({ after: index * 5, size: length / 4 }));
}

// Guards against forwarding a part of a response whose server then crashes, since such a request cannot be retried.
test('truncated responses of the published sizes are not forwarded, wherever they end', async () => {
  for (const size of [80, 800, 4_800])
    for (const part of [0.1, 0.5, 0.99])
      assert.equal(await earlyBytes(brokenOff(size, part)), 0, `${size} bytes, ${part}`);
});

// Guards against memory use that grows with the size of responses, and against callers that wait for the end of a
// long one.
test('a long response is forwarded as it arrives', async () => {
  const piece = { after: 1, size: 16 * 1024 };
  assert.equal(await earlyBytes([piece, piece]), 0);
  assert.equal(await earlyBytes([piece, piece, piece, piece]), 64 * 1024);
});

// Guards against callers that time out because nothing arrives, although their server responds slowly.
test('a slow response is forwarded as it arrives', async () => {
  const slow = { after: 200, size: 10 };
  assert.equal(await earlyBytes([slow, slow]), 0);
  assert.equal(await earlyBytes([slow, slow, slow, slow]), 40);
});

// Guards against bytes of two runs in one plain response, and against missing or repeated events.
test('only event streams with a known last id are continued by another run', () => {
  const cases: readonly (readonly [RelayProgress, boolean])[] = [
    [{ kind: 'nothing' }, true],
    [{ kind: 'plain' }, false],
    [{ kind: 'events', lastEvent: '7' }, true],
    [{ kind: 'events', lastEvent: undefined }, false],
  ];
  for (const [progress, expected] of cases)
    assert.equal(canResume(progress), expected, JSON.stringify(progress));
});

// Guards against a second run that starts with an event which the caller already has, or whose position is unknown.
test('a continuation starts after the last event', () => {
  assert.ok(isNextEvent('3', '4'));
  assert.ok(isNextEvent('9', '10'));
  assert.ok(!isNextEvent('3', '3'));
  assert.ok(!isNextEvent('3', '2'));
  assert.ok(!isNextEvent('3', undefined));
  assert.ok(!isNextEvent('3', 'x'));
  assert.ok(!isNextEvent(undefined, '4'));
});
