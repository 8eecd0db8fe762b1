import assert from 'node:assert/strict';
import { Writable } from 'node:stream';
import { test } from 'node:test';
import { LineOutput } from './lineOutput.js';

// Guards against a log that uses up the memory while nothing reads it.
test('a stuck reader costs lines beyond the buffer', () => {
  const stream = new Writable({ write: () => undefined });
  const output = LineOutput.create(stream);
  for (let count = 0; count < 40; count += 1) output.write('x'.repeat(64 * 1024));
  assert.ok(output.lost >= 20 && output.lost < 30, `${output.lost} lines lost`);
  assert.ok(stream.writableLength < 2 * 1024 * 1024);
});

// Guards against an error event that ends the process.
test('a closed reader costs all further lines', async () => {
  const closed = Object.assign(new Error('write EPIPE'), { code: 'EPIPE' });
  const stream = new Writable({
    write: (_bytes, _encoding, done) => {
      done(closed);
    },
  });
  const output = LineOutput.create(stream);
  output.write('one');
  await new Promise((resolve) => stream.once('close', resolve));
  output.write('two');
  assert.equal(output.lost, 2);
});
