import assert from 'node:assert/strict';
import { test } from 'node:test';
import { desiredState, route } from './fixtures.test.js';
import { RouteTable } from './routeTable.js';

const nested = { ...route, name: 'letters', prefix: '/histories/letters/' };
const table = RouteTable.create({ ...desiredState, routes: [route, nested] });

for (const [path, name] of [
  ['/histories/1', 'histories'],
  ['/histories/letters/1', 'letters'],
  ['/histories', undefined],
  ['/other/', undefined],
] as const) {
  test(`${path} belongs to ${name ?? 'no route'}`, () => {
    assert.equal(table.route('example.org', path)?.name, name);
  });
}

test('a route of another host is not used', () => {
  assert.equal(table.route('example.com', '/histories/1'), undefined);
});

test('a team is found by its whole key only', () => {
  assert.equal(table.team('key-small')?.name, 'small');
  assert.equal(table.team('key'), undefined);
});
