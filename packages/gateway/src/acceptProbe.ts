// Connections of the router to its own listener, which measure how long those of callers wait to be accepted.

import { connect, type AddressInfo, type Server, type Socket } from 'node:net';
import type { AcceptQueue } from '@catkinwheel/coordination/routing';
import type { Milliseconds } from '@catkinwheel/state';
import type { Log } from './log.js';

/** A probe that the queue has not taken by then was turned away; it would be tried again after a second or more. */
const openTime: Milliseconds = 200;

/** Opens probes behind the connections that wait at a listener, and tells them from callers. */
export class AcceptProbe {
  #socket: Socket | undefined;

  private constructor(
    private readonly server: Server,
    private readonly queue: AcceptQueue,
    private readonly log: Log,
  ) {}

  static create(server: Server, queue: AcceptQueue, log: Log): AcceptProbe {
    return new AcceptProbe(server, queue, log);
  }

  /** Takes a connection that was accepted; returns whether it is a caller's. */
  take(socket: Socket): boolean {
    const isProbe = this.#isProbe(socket);
    if (isProbe) {
      this.queue.reached();
      this.#close();
      socket.destroy();
    } else {
      this.queue.accepted();
    }
    this.#open();
    return !isProbe;
  }

  #isProbe(socket: Socket): boolean {
    if (this.#socket === undefined) return false;
    // The port is unknown if the caller has gone already.
    const { remotePort } = socket;
    return remotePort !== undefined && remotePort === this.#socket.localPort;
  }

  #open(): void {
    if (!this.server.listening || !this.queue.takeProbe()) return;
    // One that the queue has forgotten may be left.
    this.#close();
    const { address, port } = this.server.address() as AddressInfo;
    const socket = connect({ host: address, port, timeout: openTime });
    socket.on('connect', () => {
      socket.setTimeout(0);
      if (this.#socket === socket) this.queue.queued();
    });
    socket.on('timeout', () => {
      if (this.#socket !== socket) return;
      this.queue.failed();
      this.#close();
    });
    socket.on('error', (error) => {
      if (this.#socket !== socket) return;
      this.log.write('probe failed', { detail: error.message });
      this.queue.failed();
      this.#close();
    });
    this.#socket = socket;
  }

  #close(): void {
    this.#socket?.destroy();
    this.#socket = undefined;
  }
}
