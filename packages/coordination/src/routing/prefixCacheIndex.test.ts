// Load pattern: long prompt parts that many requests share.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prompt } from './fixtures.test.js';
import { PrefixCacheIndex } from './prefixCacheIndex.js';

test('a part that a server has read is not missing there', () => {
  const residency = PrefixCacheIndex.create();
  residency.read('a', 500_000, prompt('story', 'one'));
  assert.equal(residency.missing('a', prompt('story', 'two')), 3_000);
  assert.equal(residency.missing('b', prompt('story', 'two')), 16_000);
});

test('a part is of no use without the parts before it', () => {
  const residency = PrefixCacheIndex.create();
  residency.learn('a', 500_000, 'm/one', 3_000);
  assert.equal(residency.missing('a', prompt('story', 'one')), 16_000);
});

test('parts that were not used lately yield when memory is short', () => {
  const residency = PrefixCacheIndex.create();
  residency.read('a', 50_000, prompt('first', 'one'));
  residency.read('a', 50_000, prompt('second', 'two'));
  residency.read('a', 50_000, prompt('third', 'three'));
  assert.equal(residency.missing('a', prompt('first', 'four')), 16_000);
  assert.equal(residency.missing('a', prompt('third', 'five')), 3_000);
});

test('a router that starts learns from another one what servers hold', () => {
  const old = PrefixCacheIndex.create();
  old.read('a', 500_000, prompt('story', 'one'));
  const started = PrefixCacheIndex.create();
  for (const { server, part, tokens } of old.all()) started.learn(server, 500_000, part, tokens);
  assert.equal(started.missing('a', prompt('story', 'two')), 3_000);
});

test('a server that restarted holds nothing', () => {
  const residency = PrefixCacheIndex.create();
  residency.read('a', 500_000, prompt('story', 'one'));
  residency.forget('a');
  assert.equal(residency.missing('a', prompt('story', 'two')), 16_000);
});
