import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { TableReplica, type VersionedRow } from './tableReplica.js';

const row = (key: string, version: number, value: string | undefined): VersionedRow => ({
  key,
  version,
  value,
});

test('an older row that arrives late does not replace a newer one', () => {
  const copy = TableReplica.empty.merge([row('a', 5, 'new')], 5).merge([row('a', 3, 'old')], 4);
  assert.deepEqual(copy.rows(), [row('a', 5, 'new')]);
  assert.equal(copy.version, 5);
});

test('a reading of the whole table removes rows whose removal was lost with the history', () => {
  const copy = TableReplica.empty.merge([row('a', 1, 'x'), row('b', 2, 'y')], 2);
  const next = copy.replace([row('b', 2, 'y')], 9);
  assert.deepEqual(next.rows(), [row('b', 2, 'y')]);
  assert.deepEqual(next.since(2), [row('a', 9, undefined)]);
});

test('a reading older than the copy changes nothing, so that no router goes back', () => {
  const copy = TableReplica.empty.merge([row('a', 7, 'x')], 7);
  assert.equal(copy.replace([], 6), copy);
});

test('copies that exchange what each lacks are equal, whatever order changes arrive in', () => {
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
      const behind = TableReplica.empty.merge(early, early.length);
      const whole = TableReplica.empty.merge(rows, rows.length);
      const caughtUp = behind.merge([...whole.since(behind.version)].reverse(), whole.version);
      const byKey = (copy: TableReplica): VersionedRow[] =>
        [...copy.rows()].sort((x, y) => (x.key < y.key ? -1 : 1));
      assert.deepEqual(byKey(caughtUp), byKey(whole));
    }),
  );
});
