// Load pattern: the callers of a team keep to one router and ask for more than its VM can relay.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { randomSequence } from './fixtures.test.js';
import { shouldHandOver, selectHandoverTarget, type HandoverTarget } from './connectionHandover.js';

const place = {
  dataCentre: 'suva',
  regionOf: { suva: 'viti-levu', nadi: 'viti-levu', labasa: 'vanua-levu' },
};

function router(name: string, changes: Partial<HandoverTarget> = {}): HandoverTarget {
  return {
    name,
    capacity: 1,
    used: 0.1,
    dataCentre: 'suva',
    isLeaving: false,
    ...changes,
  };
}

test('a router hands connections on only while its VM has little processor time left', () => {
  assert.equal(shouldHandOver(0.4, 1, false), false);
  assert.equal(shouldHandOver(0.98, 1, false), true);
  assert.deepEqual(
    [shouldHandOver(0.7, 1, false), shouldHandOver(0.7, 1, true), shouldHandOver(0.4, 1, true)],
    [false, true, false],
  );
});

// Guards against a flood that makes the requests of all teams late, since no server has room for it.
test('a flood is held back where it arrives while servers have no room', () => {
  assert.equal(shouldHandOver(0.98, 0.1, true), false);
});

// Guards against FAIR of issue 21: what saturates one small VM must not saturate the next one, and the next.
test('connections are shared out by the processor time that routers have to spare', () => {
  const others = [
    router('idle', { capacity: 1.35, used: 0.05 }),
    router('small', { capacity: 0.324, used: 0.05 }),
    router('busy', { used: 0.7 }),
  ];
  const counts = new Map<string, number>();
  const random = randomSequence();
  for (let index = 0; index < 1_000; index += 1) {
    const name = selectHandoverTarget(place, others, random)?.name ?? 'none';
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const [idle = 0, small = 0] = [counts.get('idle'), counts.get('small')];
  assert.equal(idle + small, 1_000);
  // Spare are 0.76 and 0.14 cores.
  assert.ok(small > 100 && small < 220, `${small} of 1000 to the small VM`);
});

// Guards against a flood that each of many routers adds to the same servers before it hears of the others.
test('connections are handed on to the large VMs of a mixed fleet while those have room', () => {
  const large = [1, 2, 3, 4].map((number) => router(`large-${number}`, { capacity: 1.35 }));
  const small = Array.from({ length: 50 }, (_, index) => {
    return router(`small-${index}`, { capacity: 0.324, used: 0.01 });
  });
  const random = randomSequence();
  for (let index = 0; index < 100; index += 1)
    assert.match(selectHandoverTarget(place, [...small, ...large], random)?.name ?? '', /^large/);
});

test('connections stay in the region', () => {
  const far = router('far', { dataCentre: 'nadi' });
  const abroad = router('abroad', { dataCentre: 'labasa' });
  const random = (): number => 0.5;
  assert.equal(selectHandoverTarget(place, [far, abroad], random), far);
  assert.equal(selectHandoverTarget(place, [abroad], random), undefined);
});

test('no connection is handed on to a router that leaves, or if all are busy', () => {
  const others = [router('leaving', { isLeaving: true }), router('busy', { used: 0.9 })];
  const random = (): number => 0;
  const nobody: readonly HandoverTarget[] = [];
  assert.equal(selectHandoverTarget(place, others, random), undefined);
  assert.equal(selectHandoverTarget(place, nobody, random), undefined);
});
