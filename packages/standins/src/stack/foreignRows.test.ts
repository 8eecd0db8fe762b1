// Rows of the store, and datagrams, that other programs have written in forms which no server or router writes.

import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { after, before, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { decodeServerEntry } from '@catkinwheel/platform';
import { call } from './caller.js';
import { StackFleet, names, until } from './fleet.js';
import { StackServer } from './server.js';

/** Nested deeply enough for a recursive function to run out of stack. */
const depth = 20_000;
const nested = `${'['.repeat(depth)}${']'.repeat(depth)}`;

const entry = {
  service: names.desk,
  address: '127.0.0.1:9',
  zone: 'suva',
  slots: 6,
  state: 'ready',
  born: 1,
};

// Guards against requests that fail inside the router, since no connection can be opened to such an address.
for (const [name, changes] of [
  ['a port that is too large', { address: '127.0.0.1:99999' }],
  ['port 0', { address: '127.0.0.1:0' }],
  ['an octet that is too large', { address: '999.1.1.1:80' }],
  ['three octets', { address: '1.1.1:80' }],
  ['no slots', { slots: 0 }],
  ['a negative number of slots', { slots: -1 }],
  ['more slots than a number holds exactly', { slots: 1e300 }],
  ['an infinite time', { warmupLeftMs: Infinity }],
  ['a negative time', { warmupLeftMs: -1 }],
  ['a fraction as start time', { born: 1.5 }],
] as const) {
  test(`an entry with ${name} names no server`, () => {
    assert.ok(decodeServerEntry('odd', { ...entry, ...changes }).isErr());
  });
}

test('an entry as servers write it names a server', () => {
  assert.ok(decodeServerEntry('sound', entry).isOk());
});

let fleet: StackFleet;
let added: StackServer;

before(async () => {
  fleet = await StackFleet.start();
  added = await StackServer.start('desk-3');
  await fleet.addRouter();
  await fleet.ready();
});

after(async () => {
  await fleet.close();
  await added.close();
});

// Guards against LOST: an exception in a decoder ends the task that follows the list of servers.
test('a router goes on following the list of servers beside rows and datagrams that cannot be decoded', async () => {
  const { settings } = fleet.routers[0] ?? {};
  assert.ok(settings !== undefined);
  const text = JSON.stringify(entry);
  for (const field of ['service', 'slots', 'warmupLeftMs', 'state'])
    fleet.store.putRaw(
      'servers',
      `nested-${field}`,
      Buffer.from(`${text.slice(0, -1)},"${field}":${nested}}`),
    );
  fleet.store.putRaw('servers', 'infinite', Buffer.from(text.replace('6', '1e999')));
  fleet.store.putRaw('op', 'config', Buffer.from(`{"version":9,"routes":${nested}}`));
  fleet.store.putRaw('routers', 'odd', Buffer.from(nested));
  const socket = createSocket('udp4');
  await new Promise<void>((resolve, reject) => {
    socket.send(`{"router":${nested}}`, settings.peerPort, settings.ip, (error) => {
      if (error === null) resolve();
      else reject(error);
    });
  });
  socket.close();
  await pause(300);
  for (const server of fleet.desks) fleet.store.remove('servers', server.id);
  fleet.register(added, names.desk);
  let sent = 0;
  await until(async () => {
    sent += 1;
    const { status } = await call({
      address: settings.listen.callers,
      host: names.host,
      id: `odd-${sent}`,
      key: names.key,
      path: '/reads/1',
    });
    return status === 200 && added.seen.length > 0;
  });
});
