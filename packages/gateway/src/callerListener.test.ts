// More connections wait than can be accepted in time, so that the queue is shortened while they wait.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { Server, connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { constants } from 'node:os';
import { test, type TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { AcceptQueue } from '@catkinwheel/coordination/routing';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { CallerListener } from './callerListener.js';
import { Log } from './log.js';

const host = '127.0.0.1';
const longest = 20;
/** Time of a turn by the clock of the queue. */
const turn: Milliseconds = 60;
/** Time in which callers hear that they are connected; a connection that was not taken is tried again after 1 s. */
const connectTime = 300;

/** Waits until `count()` is at least `expected`, or until it should have been on the slowest machine. */
async function reached(count: () => number, expected: number): Promise<void> {
  for (let waits = 0; waits < 100 && count() < expected; waits += 1) await pause(50);
}

async function freePort(): Promise<number> {
  const server = createServer().listen({ host, port: 0 });
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  return port;
}

interface Setting {
  readonly queue: AcceptQueue;
  readonly log: Log;
  /** Connections accepted until now. */
  readonly accepted: () => number;
  /** Opens a connection, which is closed at the end of the test. */
  readonly open: () => Socket;
}

/** Starts a listener whose turns take 60 ms by the clock of its queue. */
async function start(t: TestContext): Promise<Setting> {
  const clock = Clock.manual();
  const queue = AcceptQueue.create(clock, longest);
  const log = Log.create(Clock.system(), 'router', 'boot');
  const sockets: Socket[] = [];
  let accepted = 0;
  const listener = CallerListener.create(queue, log, (socket) => {
    accepted += 1;
    clock.jump(turn);
    socket.on('error', () => undefined);
  });
  const port = await freePort();
  await listener.listen({ host, port });
  t.after(() => {
    listener.close();
    for (const socket of sockets) socket.destroy();
  });
  const open = (): Socket => {
    const socket = connect({ host, port });
    sockets.push(socket);
    return socket;
  };
  return { queue, log, accepted: () => accepted, open };
}

// Guards against connections that wait for longer than their callers because turns have become long, and against a reset of those that
// wait when the length of the queue changes.
test('a queue that is shortened keeps what waits, and takes no more than its new length', async (t) => {
  const { queue, accepted, open } = await start(t);
  let failed = 0;
  /** Opens connections at once, and returns how many of them the operating system takes. */
  const openBurst = async (count: number): Promise<number> => {
    let taken = 0;
    for (let index = 0; index < count; index += 1) {
      const socket = open();
      socket.on('connect', () => {
        taken += 1;
      });
      socket.on('error', () => {
        failed += 1;
      });
    }
    await pause(connectTime);
    return taken;
  };
  assert.equal(await openBurst(longest), longest);
  await reached(accepted, longest);
  const { length } = queue;
  assert.ok(length <= longest / 2, `length ${length}`);
  const taken = await openBurst(longest);
  // The probe may have a place, and the operating system may take two more than the length.
  assert.ok(taken >= length - 1 && taken <= length + 2, `${taken} taken, length ${length}`);
  assert.equal(failed, 0);
});

// Guards against a router that ends, or logs with each connection, where the length of an open queue cannot be changed.
test('a listener whose queue cannot be changed accepts connections as before', async (t) => {
  const listen = t.mock.method(Server.prototype, 'listen');
  const { queue, log, accepted, open } = await start(t);
  const write = t.mock.method(log, 'write');
  const server = listen.mock.calls.at(-1)?.this as { _handle: { listen: unknown } };
  server._handle.listen = () => -constants.errno.EINVAL;
  for (let burst = 1; burst <= 3; burst += 1) {
    for (let index = 0; index < longest; index += 1) open().on('error', () => undefined);
    await reached(accepted, burst * longest);
  }
  assert.equal(queue.length, longest);
  const errors = write.mock.calls.map(({ arguments: [, fields] }) => fields?.error);
  assert.deepEqual(errors, ['EINVAL']);
  assert.ok(accepted() >= 3 * longest, `${accepted()} accepted`);
});
