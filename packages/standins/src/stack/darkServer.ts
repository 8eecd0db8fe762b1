// A server that is out of reach: its system drops what asks for a connection, so that callers hear neither yes nor no.

import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';

/** Connections that fill the queue of a listener whose length is 1. */
const fillers = 4;
/** Time in which the system takes those that fit. */
const fillTime = 100;

/** A listener whose queue of connections is full and from which nothing is accepted. */
export class DarkServer {
  private constructor(
    readonly address: string,
    private readonly thread: Worker,
    private readonly sockets: readonly Socket[],
  ) {}

  static async start(): Promise<DarkServer> {
    const thread = new Worker(new URL('./darkServerThread.js', import.meta.url));
    const [port] = (await once(thread, 'message')) as [number];
    const sockets = Array.from({ length: fillers }, () => {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      return socket;
    });
    await pause(fillTime);
    return new DarkServer(`127.0.0.1:${port}`, thread, sockets);
  }

  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await this.thread.terminate();
  }
}
