// Callers that send a request's head and a part of its body, and then no more.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@catkinwheel/state';
import { StackFleet, names } from './fleet.js';

/** Timeout of the routes of the stand-in deployment. */
const routeTimeout: Milliseconds = 3_000;
/** An answer may come so long after the timeout of its route. */
const allowed: Milliseconds = 500;
/** Time in which the router learns of its servers. */
const feedTime: Milliseconds = 250;
const body = 'amount=1&for=letters';

let fleet: StackFleet;

before(async () => {
  fleet = await StackFleet.start();
  await fleet.addRouter();
  await fleet.ready();
  await pause(feedTime);
});

after(async () => {
  await fleet.close();
});

interface Caller {
  readonly socket: Socket;
  /** Everything received until now. */
  readonly received: () => string;
}

/** Connects and sends the head of a charge and `part` of its body. */
async function send(id: string, part: string, timeLeft: Milliseconds): Promise<Caller> {
  const [host, port] = (fleet.routers[0]?.settings.listen.callers ?? '').split(':');
  const socket = connect(Number(port), host ?? '');
  let received = '';
  socket.on('data', (chunk) => {
    received += chunk.toString('latin1');
  });
  await once(socket, 'connect');
  socket.write(
    `POST /charges/1 HTTP/1.1\r\nHost: ${names.host}\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${timeLeft}\r\nContent-Length: ${body.length}\r\n\r\n${part}`,
  );
  return { socket, received: () => received };
}

function ranAny(id: string): boolean {
  return fleet.desks.some((server) => server.ran.includes(id));
}

// Guards against CONFIG of issue 45: a route's timeout that does not bound the wait for the body, so that its caller gets no answer and
// its body stays in memory.
test('a request whose body does not come is answered when the timeout of its route has passed', async () => {
  const start = performance.now();
  const { socket, received } = await send('stalled-1', body.slice(0, 8), 60_000);
  const [end] = await Promise.race([
    once(socket, 'end').then(() => ['closed'] as const),
    pause(routeTimeout + allowed).then(() => ['open'] as const),
  ]);
  const took = performance.now() - start;
  socket.destroy();
  assert.equal(end, 'closed');
  assert.match(received(), /^HTTP\/1\.1 408 /);
  assert.match(received(), /\r\nrequest-id: stalled-1\r\n/i);
  assert.ok(took >= routeTimeout - allowed, `after ${took.toFixed(0)} ms`);
  assert.ok(!ranAny('stalled-1'));
});

test('a request whose caller has no time left is answered though its body does not come', async () => {
  const { socket, received } = await send('stalled-2', body.slice(0, 8), 400);
  await pause(400 + allowed);
  socket.destroy();
  assert.match(received(), /^HTTP\/1\.1 408 /);
});

test('a body that comes in pieces before that is sent on whole', async () => {
  const { socket, received } = await send('pieces-1', body.slice(0, 1), 2_500);
  for (const piece of body.slice(1)) {
    await pause(50);
    socket.write(piece);
  }
  await pause(allowed);
  socket.destroy();
  assert.match(received(), /^HTTP\/1\.1 200 /);
  assert.ok(ranAny('pieces-1'));
});

test('a request whose caller leaves within its body is not sent', async () => {
  const { socket } = await send('gone-1', body.slice(0, 8), 2_500);
  socket.destroy();
  await pause(allowed);
  assert.ok(!ranAny('gone-1'));
});
