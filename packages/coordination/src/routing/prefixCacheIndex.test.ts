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

// Guards against the end of a router for lack of memory where prompts name very many parts.
test('the index has a bounded size, and drops the least recently used parts of the largest cache', () => {
  const index = PrefixCacheIndex.create();
  const [small, large] = [server('small'), server('large')];
  index.add(small, 1_000_000_000, 'm/kept', 1);
  for (let count = 0; count < 300_000; count += 1)
    index.add(large, 1_000_000_000, `m/${count.toString(16).padStart(8, '0')}`, 1);
  const size = (id: string): number => index.all().filter((cached) => cached.server === id).length;
  assert.equal(size('small'), 1);
  assert.ok(size('large') < 150_000, `${size('large')} parts`);
  assert.equal(index.all().at(-1)?.part, `m/${(299_999).toString(16).padStart(8, '0')}`);
  index.forget(large);
  index.add(large, 1_000_000_000, 'm/first', 1);
  assert.equal(size('large'), 1);
});

test('a long id counts against the size of the index', () => {
  const index = PrefixCacheIndex.create();
  const id = 'x'.repeat(16_000);
  for (let count = 0; count < 2_000; count += 1) index.add(a, 1_000_000_000, `${id}${count}`, 1);
  assert.ok(index.all().length < 1_000, `${index.all().length} parts`);
});

// Guards against memory that stays counted for a former instance, so that the index is emptied for nothing.
test('the parts of a former instance do not count once its id has another one', () => {
  const index = PrefixCacheIndex.create();
  for (let born = 1; born <= 20; born += 1)
    for (let count = 0; count < 20_000; count += 1)
      index.add(server('large', { born }), 1_000_000_000, `m/${count}`, 1);
  assert.equal(index.all().length, 20_000);
});
