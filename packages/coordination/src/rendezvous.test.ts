// Guards against routers that choose different owners, and against keys that move without need.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { owner, ranking } from './rendezvous.js';

const members = ['r1', 'r2', 'r3', 'r4', 'r5'];
const keys = Array.from({ length: 500 }, (_, index) => `key-${index}`);

test('routers that list the members in another order choose the same owner', () => {
  for (const key of keys) {
    assert.equal(owner(key, members), owner(key, [...members].reverse()));
    assert.equal(owner(key, members), ranking(key, members)[0]);
  }
});

test('a member that leaves moves only its own keys', () => {
  const rest = members.filter((member) => member !== 'r3');
  for (const key of keys) {
    const before = owner(key, members);
    if (before !== 'r3') assert.equal(owner(key, rest), before);
  }
});
