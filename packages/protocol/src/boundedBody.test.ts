import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { BodySizeError, readJson, readText } from './boundedBody.js';

const limit = 64 * 1024;

function* repeated(piece: Uint8Array, count: number): Generator<Uint8Array> {
  for (let index = 0; index < count; index += 1) yield piece;
}

async function* bodyOf(pieces: Iterable<Uint8Array>): AsyncGenerator<Uint8Array> {
  for (const piece of pieces) yield await Promise.resolve(piece);
}

// Guards against a body without end being read on and kept.
test('a body beyond the limit is refused with an error that names it, and is not read on', async () => {
  let read = 0;
  async function* endless(): AsyncGenerator<Uint8Array> {
    for (;;) {
      read += 1_000;
      yield await Promise.resolve(new Uint8Array(1_000));
    }
  }
  await assert.rejects(readText(endless(), limit), (error: unknown) => {
    assert.ok(error instanceof BodySizeError);
    assert.match(error.message, /65536 bytes/);
    return true;
  });
  assert.ok(read <= limit + 1_000);
});

// Guards against memory of many times the body: a piece of one byte keeps the network buffer that it came in.
test('pieces of one byte do not keep the buffers that they came in', async () => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  const before = process.memoryUsage().arrayBuffers;
  let most = 0;
  function* slices(): Generator<Uint8Array> {
    for (let index = 0; index < 2_000; index += 1) {
      yield Buffer.alloc(64 * 1024, 'x').subarray(0, 1);
      if (index % 200 === 199) collect();
      if (index % 200 === 199) most = Math.max(most, process.memoryUsage().arrayBuffers - before);
    }
  }
  assert.equal(await readText(bodyOf(slices()), limit), 'x'.repeat(2_000));
  assert.ok(most < 64 * 1024 * 1024, `${most} bytes`);
});

test('a body of exactly the limit is read, also where a character is split between pieces', async () => {
  assert.equal(
    (await readText(bodyOf(repeated(Buffer.from('ab'), limit / 2)), limit)).length,
    limit,
  );
  const text = Buffer.from('"ü"');
  const pieces = [text.subarray(0, 2), text.subarray(2)];
  assert.equal(await readJson(bodyOf(pieces), limit), 'ü');
});
