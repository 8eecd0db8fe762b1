// Settings that change while a router runs.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { call } from './caller.js';
import { StackFleet, desiredStateOf, names, until } from './fleet.js';
import { StackStore } from './store.js';

// Guards against a router that reads its settings again and goes on with the old address of the store.
test('a router follows the store to another address', async (t) => {
  const fleet = await StackFleet.start();
  t.after(() => fleet.close());
  const gateway = await fleet.addRouter();
  await fleet.ready();
  const [router] = fleet.routers;
  const [desk] = fleet.desks;
  assert.ok(router !== undefined && desk !== undefined);
  const moved = await StackStore.start();
  t.after(() => moved.close());
  // Versions go on, since it is the same store.
  for (let version = 1; version <= 20; version += 1) moved.put('versions', 'latest', version);
  for (const server of fleet.desks) moved.put('servers', server.id, server.entry(names.desk));
  const { routes } = desiredStateOf(1) as { readonly routes: readonly { readonly name: string }[] };
  const reads = routes.find(({ name }) => name === 'reads');
  const added = { ...reads, name: 'added', prefix: '/added/' };
  moved.put('op', 'config', desiredStateOf(2, { routes: [...routes, added] }));
  const ask = async (): Promise<number> => {
    const { callers: address } = router.settings.listen;
    const options = { address, host: names.host, id: 'moved', key: names.key, path: '/added/1' };
    return (await call(options)).status;
  };
  assert.equal(await ask(), 404);
  gateway.update({ ...router.settings, store: moved.address });
  await until(async () => (await ask()) === 200);
});
