import assert from 'node:assert/strict';
import { test } from 'node:test';
import { server } from './fixtures.test.js';
import { InstanceMap } from './serverInstance.js';

const former = server('a', { address: '10.0.0.1:81' });
const present = server('a', { born: 2, address: '10.0.0.1:82' });

// Guards against news of a former instance that overwrite or delete what is known of the present one.
test('a former instance changes nothing of the present one', () => {
  const map = InstanceMap.create<string>();
  assert.ok(map.set(former, 'former') && map.set(present, 'present'));
  assert.ok(!map.set(former, 'late'));
  map.delete(former);
  assert.equal(map.get(former), undefined);
  assert.equal(map.get(present), 'present');
});

// Guards against values that last for ever, one for each start of a server.
test('only the latest instance of an id is kept', () => {
  const map = InstanceMap.create<string>();
  const unknownStarts = ['10.0.0.1:83', '10.0.0.1:84'].map((address) =>
    server('a', { born: undefined, address }),
  );
  for (const instance of [former, present, ...unknownStarts]) map.set(instance, instance.address);
  assert.deepEqual(
    [...map.entries()].map(([, address]) => address),
    ['10.0.0.1:84'],
  );
});
