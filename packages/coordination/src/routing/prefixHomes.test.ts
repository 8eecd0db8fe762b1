import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prompt } from './fixtures.test.js';
import { PrefixHomes } from './prefixHomes.js';

const servers = ['a', 'b', 'c', 'd', 'e', 'f'];

test('routers that know nothing of one another read a new part at the same server', () => {
  const homes = [servers, [...servers].reverse()].map((order) => PrefixHomes.create(order));
  for (const part of ['one', 'two', 'three'])
    assert.equal(homes[0]?.of(prompt(part, 'x')), homes[1]?.of(prompt(part, 'y')));
});

test('a server that leaves moves only the parts whose home it was', () => {
  const before = PrefixHomes.create(servers);
  const after = PrefixHomes.create(servers.slice(1));
  for (let index = 0; index < 200; index += 1) {
    const part = prompt(`part-${index}`, 'x');
    if (before.of(part) !== 'a') assert.equal(after.of(part), before.of(part));
  }
});
