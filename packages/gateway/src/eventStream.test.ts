// Which events of a stream are whole, and what their ids are: where another server goes on depends on it.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventStream } from './eventStream.js';

/** Ids and bytes of all whole events of a stream that comes in these pieces. */
function read(...pieces: readonly string[]): {
  readonly ids: readonly (string | undefined)[];
  readonly bytes: string;
  readonly isWithinEvent: boolean;
} {
  const stream = EventStream.create();
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

// Guards against a half event that reaches the caller before its server stops.
test('an event is handed on only when it is whole', () => {
  const { ids, bytes, isWithinEvent } = read('id: 1\nda', 'ta: a\n', '\nid: 2\nda');
  assert.deepEqual(ids, ['1']);
  assert.equal(bytes, 'id: 1\ndata: a\n\n');
  assert.ok(isWithinEvent);
});

// Guards against an id that is made up, or taken from an earlier event, when the last one has none.
test('an event without an id has none, and a comment is no event', () => {
  assert.deepEqual(read('data: 1\n\ndata: 2\n\n').ids, [undefined, undefined]);
  assert.deepEqual(read('id: 1\ndata: 1\n\ndata: 2\n\n').ids, ['1', undefined]);
  assert.deepEqual(read('id: 3\ndata: 3\n\n', ': still here\n\n').ids, ['3']);
});

// Guards against a stream that is held to its end because its lines end otherwise.
test('lines may end with CR LF', () => {
  const { ids, isWithinEvent } = read('id: 1\r\ndata: 1\r\n\r\n', 'id: 2\r\ndata: 2\r\n\r\n');
  assert.deepEqual(ids, ['1', '2']);
  assert.ok(!isWithinEvent);
});

// Guards against memory that grows with an event that has no end.
test('an event without end is given up', () => {
  const stream = EventStream.create();
  assert.equal(stream.push(Buffer.alloc(65 * 1024, 'x')), 'tooLong');
});
