// When the server of an attempt is given up for its silence.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { Grant } from '@catkinwheel/coordination/routing';
import { SilenceWatch } from './silenceWatch.js';

const limit = 10;
/** Time in which a search that was begun has ended. */
const searchTime = 60;

const unused = (): void => undefined;

/** A grant that records whether it was ended unused. */
function grantOf(onFinish: () => void): Grant {
  return {
    kind: 'server',
    predicted: 0,
    missing: 0,
    started: unused,
    progressed: unused,
    silent: unused,
    finish: onFinish,
  } as unknown as Grant;
}

// Guards against LOST: an attempt that is given up although no server is ready to take over.
test('a silent server is kept while no other one is ready', async () => {
  let searches = 0;
  let isGivenUp = false;
  const search = (): Promise<undefined> => {
    searches += 1;
    return Promise.resolve(undefined);
  };
  const watch = SilenceWatch.create(
    search,
    () => {
      isGivenUp = true;
    },
    unused,
  );
  watch.expect(limit);
  await pause(searchTime);
  watch.clear();
  assert.deepEqual({ searches, isGivenUp }, { searches: 1, isGivenUp: false });
});

// Guards against a server that was reserved and then counts as loaded for ever.
test('a server that was found too late is released', async () => {
  let released = 0;
  let isGivenUp = false;
  const found = grantOf(() => {
    released += 1;
  });
  const search = async (): Promise<Grant> => {
    await pause(2 * limit);
    return found;
  };
  const watch = SilenceWatch.create(
    search,
    () => {
      isGivenUp = true;
    },
    unused,
  );
  watch.expect(limit);
  await pause(2 * limit);
  watch.clear();
  await pause(searchTime);
  assert.deepEqual({ released, isGivenUp }, { released: 1, isGivenUp: false });
  assert.equal(watch.replacement, undefined);
});

// Guards against a stall of this process that looks like silence of all servers.
test('bytes that came while this process stood still end the silence', async () => {
  let searches = 0;
  const search = (): Promise<undefined> => {
    searches += 1;
    return Promise.resolve(undefined);
  };
  const watch = SilenceWatch.create(search, unused, unused);
  watch.expect(limit);
  const end = performance.now() + 2 * limit;
  while (performance.now() < end);
  // Runs after the timer and before the next reads are over, as the handler of waiting bytes does.
  setImmediate(() => {
    watch.clear();
  });
  await pause(searchTime);
  assert.equal(searches, 0);
});
