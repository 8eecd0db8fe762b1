// Tests the index of prefix caches with long prompt parts that many requests share.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prompt, server } from './fixtures.test.js';
import { PrefixCacheIndex } from './prefixCacheIndex.js';

const a = server('a');
const b = server('bb');

test('a part that a server has cached is not prefilled there again', () => {
  const index = PrefixCacheIndex.create();
  index.recordPrefill(a, 500_000, prompt('story', 'one'));
  assert.equal(index.uncachedTokens(a, prompt('story', 'two')), 3_000);
  assert.equal(index.uncachedTokens(b, prompt('story', 'two')), 16_000);
});

test('a cached part is of no use without the parts before it', () => {
  const index = PrefixCacheIndex.create();
  index.add(a, 500_000, 'm/one', 3_000);
  assert.equal(index.uncachedTokens(a, prompt('story', 'one')), 16_000);
});

test('the least recently used parts are evicted when memory is short', () => {
  const index = PrefixCacheIndex.create();
  index.recordPrefill(a, 50_000, prompt('first', 'one'));
  index.recordPrefill(a, 50_000, prompt('second', 'two'));
  index.recordPrefill(a, 50_000, prompt('third', 'three'));
  assert.equal(index.uncachedTokens(a, prompt('first', 'four')), 16_000);
  assert.equal(index.uncachedTokens(a, prompt('third', 'five')), 3_000);
});

test('a starting router learns from another one what servers have cached', () => {
  const source = PrefixCacheIndex.create();
  source.recordPrefill(a, 500_000, prompt('story', 'one'));
  const started = PrefixCacheIndex.create();
  for (const { server: id, part, tokens } of source.all()) {
    assert.equal(id, a.id);
    started.add(a, 500_000, part, tokens);
  }
  assert.equal(started.uncachedTokens(a, prompt('story', 'two')), 3_000);
});

test('a restarted server has an empty cache', () => {
  const index = PrefixCacheIndex.create();
  index.recordPrefill(a, 500_000, prompt('story', 'one'));
  index.forget(a);
  assert.equal(index.uncachedTokens(a, prompt('story', 'two')), 16_000);
});
