import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { TableReplica, type Revision, type VersionedRow } from './tableReplica.js';

const row = (key: string, version: number, value: string | undefined): VersionedRow => ({
  key,
  version,
  value,
});

const at = (version: number, era = 0): Revision => ({ era, version });

test('an older row that arrives late does not replace a newer one', () => {
  const copy = TableReplica.empty
    .merge([row('a', 5, 'new')], at(5))
    .merge([row('a', 3, 'old')], at(4));
  assert.deepEqual(copy.rows(), [row('a', 5, 'new')]);
  assert.deepEqual(copy.revision, at(5));
});

test('a snapshot of the table removes rows whose tombstones the store no longer has', () => {
  const copy = TableReplica.empty.merge([row('a', 1, 'x'), row('b', 2, 'y')], at(2));
  const next = copy.replace([row('b', 2, 'y')], at(9));
  assert.deepEqual(next.rows(), [row('b', 2, 'y')]);
  assert.deepEqual(next.since(at(2)), [row('a', 9, undefined)]);
});

test('a snapshot older than the replica is ignored, so that no router reverts to an older state', () => {
  const copy = TableReplica.empty.merge([row('a', 7, 'x')], at(7));
  assert.equal(copy.replace([], at(6)), copy);
});

test('replicas converge after exchanging missing changes, whatever order these arrive in', () => {
  const changes = fc.array(
    fc.record({
      key: fc.constantFrom('a', 'b', 'c'),
      value: fc.option(fc.constantFrom('x', 'y'), { nil: undefined }),
    }),
  );
  fc.assert(
    fc.property(changes, fc.nat(), (list, cut) => {
      const rows = list.map(({ key, value }, index) => row(key, index + 1, value));
      const early = rows.slice(0, rows.length === 0 ? 0 : cut % (rows.length + 1));
      const behind = TableReplica.empty.merge(early, at(early.length));
      const whole = TableReplica.empty.merge(rows, at(rows.length));
      const caughtUp = behind.merge([...whole.since(behind.revision)].reverse(), whole.revision);
      const byKey = (copy: TableReplica): VersionedRow[] =>
        [...copy.rows()].sort((x, y) => (x.key < y.key ? -1 : 1));
      assert.deepEqual(byKey(caughtUp), byKey(whole));
    }),
  );
});

// Guards against rows that are never seen and rows that never go, since the versions of a store that has come back are lower.
test('a snapshot of a later era replaces the replica, whatever its version', () => {
  const copy = TableReplica.empty.replace([row('a', 90, 'x'), row('b', 95, 'y')], at(100, 1));
  const next = copy.replace([row('a', 90, 'x'), row('c', 91, 'z')], at(91, 2));
  assert.deepEqual(next.rows(), [row('a', 90, 'x'), row('c', 91, 'z')]);
  assert.deepEqual(next.since(copy.revision).length, 3);
  assert.equal(next.replace([row('b', 95, 'y')], at(100, 1)), next);
});

// Guards against rows of two eras in one replica: changes since a version that was given out twice lack rows.
test('changes of another era are not merged', () => {
  const copy = TableReplica.empty.replace([row('a', 90, 'x')], at(100, 1));
  assert.equal(copy.merge([row('c', 120, 'z')], at(120, 2)), copy);
});
