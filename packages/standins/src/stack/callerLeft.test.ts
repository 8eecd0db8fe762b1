// Requests of callers that leave before a byte of them has reached a server.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { DarkServer } from './darkServer.js';
import { StackFleet, names } from './fleet.js';
import { RawServer } from './rawServer.js';

/** Time in which the router learns of servers that come or go. */
const feedTime = 250;
/** A request may reach a server for so long after its caller has left. */
const allowed = 500;
/** Time after which the caller leaves, while the router connects to the first server. */
const stay = 50;
const deadline = 2_000;

let fleet: StackFleet;
let dark: readonly DarkServer[] = [];
let sound: RawServer;
const reached: number[] = [];

before(async () => {
  fleet = await StackFleet.start();
  for (const server of fleet.desks) fleet.store.remove('servers', server.id);
  await fleet.addRouter();
  await fleet.ready();
  dark = await Promise.all([DarkServer.start(), DarkServer.start()]);
  sound = await RawServer.start('sound', ({ id, socket }) => {
    reached.push(performance.now());
    const body = `sound ran ${id}`;
    socket.write(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: seal-sound\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
  });
});

after(async () => {
  await fleet.close();
  await Promise.all([...dark, sound].map((server) => server.close()));
});

function register(id: string, address: string, zone: string): void {
  const fixed = { version: 'v1', slots: 6, state: 'ready', warmupLeftMs: 0, sequence: 1, born: 1 };
  fleet.store.put('servers', id, { ...fixed, service: names.desk, address, zone });
}

// Guards against work for callers that have left: the router may still take back what no server has.
test('a charge whose caller leaves while its servers are out of reach is not sent to the next server', async () => {
  for (const [index, { address }] of dark.entries()) register(`dark-${index}`, address, 'suva');
  // The servers of other data centres come last.
  register(sound.id, sound.address, 'nadi');
  await pause(feedTime);
  const [host, port] = (fleet.routers[0]?.settings.listen.callers ?? '').split(':');
  const caller = connect(Number(port), host ?? '');
  await once(caller, 'connect');
  caller.write(
    `POST /charges/1 HTTP/1.1\r\nHost: ${names.host}\r\nRequest-Id: left-1\r\nDeadline-Ms: ${deadline}\r\nContent-Length: 8\r\n\r\namount=1`,
  );
  await pause(stay);
  caller.destroy();
  const left = performance.now();
  await pause(deadline);
  const late = reached.map((at) => Math.round(at - left)).filter((delay) => delay > allowed);
  assert.deepEqual(late, [], 'times after the caller left at which a server got its request');
});
