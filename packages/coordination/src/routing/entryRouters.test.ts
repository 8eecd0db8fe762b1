// Load pattern: VMs of very different sizes.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { selectEntryRouters, type EntryRouter } from './entryRouters.js';

function routers(count: number, capacity: number, used: number): readonly EntryRouter[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${capacity}-${index}`,
    capacity,
    used,
  }));
}

test('callers are sent to the large VMs of a mixed fleet while those have room', () => {
  const large = routers(6, 1.35, 0.3);
  const fleet = [...routers(55, 0.324, 0.01), ...large];
  assert.deepEqual(selectEntryRouters(fleet), large);
});

test('smaller VMs are added when the large ones have no room', () => {
  const fleet = [...routers(55, 0.324, 0.01), ...routers(6, 1.35, 0.9)];
  assert.equal(selectEntryRouters(fleet).length, 61);
});

test('callers are sent to all VMs of a fleet of small ones', () => {
  for (const count of [1, 7, 8]) {
    const fleet = routers(count, 0.675, 0);
    assert.equal(selectEntryRouters(fleet).length, count);
  }
});

test('smaller VMs take over when most large ones are gone', () => {
  const fleet = [...routers(55, 0.324, 0), ...routers(2, 1.35, 0)];
  assert.equal(selectEntryRouters(fleet).length, 57);
  assert.equal(selectEntryRouters(routers(55, 0.324, 0)).length, 55);
});

// Guards against callers that could go elsewhere and share a router with the flood of a team that keeps to it.
test('callers are kept away from a router that a team saturates, and not from all of them', () => {
  const large = routers(6, 1.35, 0.3);
  const saturated = { name: 'flooded', capacity: 1.35, used: 1.3 };
  assert.deepEqual(selectEntryRouters([saturated, ...large, ...routers(55, 0.324, 0.01)]), large);
  const all = routers(8, 0.675, 0.67);
  assert.deepEqual(selectEntryRouters(all), all);
});
