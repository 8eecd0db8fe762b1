// Splitting a stream into complete events with their ids, which determine where another server continues the stream.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventSplitter } from './eventSplitter.js';

/** Ids and bytes of all complete events of a stream that arrives in these pieces. */
function read(...pieces: readonly string[]): {
  readonly ids: readonly (string | undefined)[];
  readonly bytes: string;
  readonly isWithinEvent: boolean;
} {
  const stream = EventSplitter.create();
  const ids: (string | undefined)[] = [];
  let bytes = '';
  for (const piece of pieces) {
    const events = stream.push(Buffer.from(piece));
    if (events === undefined) continue;
    assert.ok(events !== 'tooLong');
    ids.push(...events.ids);
    bytes += events.bytes.toString();
  }
  return { ids, bytes, isWithinEvent: stream.isWithinEvent };
}

// Guards against forwarding an incomplete event, which remains incomplete if its server then stops.
test('an event is forwarded only when it is complete', () => {
  const { ids, bytes, isWithinEvent } = read('id: 1\nda', 'ta: a\n', '\nid: 2\nda');
  assert.deepEqual(ids, ['1']);
  assert.equal(bytes, 'id: 1\ndata: a\n\n');
  assert.ok(isWithinEvent);
});

// Guards against inventing an id for an event that has none, or reusing the id of an earlier event.
test('an event without an id has an undefined id, and a comment does not count as an event', () => {
  assert.deepEqual(read('data: 1\n\ndata: 2\n\n').ids, [undefined, undefined]);
  assert.deepEqual(read('id: 1\ndata: 1\n\ndata: 2\n\n').ids, ['1', undefined]);
  assert.deepEqual(read('id: 3\ndata: 3\n\n', ': still here\n\n').ids, ['3']);
});

// Guards against buffering a whole stream because its lines end with CR LF.
test('lines may end with CR LF', () => {
  const { ids, isWithinEvent } = read('id: 1\r\ndata: 1\r\n\r\n', 'id: 2\r\ndata: 2\r\n\r\n');
  assert.deepEqual(ids, ['1', '2']);
  assert.ok(!isWithinEvent);
});

// Guards against unbounded memory use by an event that never ends.
test('an event of more than 64 KiB is rejected', () => {
  const stream = EventSplitter.create();
  assert.equal(stream.push(Buffer.alloc(65 * 1024, 'x')), 'tooLong');
});
