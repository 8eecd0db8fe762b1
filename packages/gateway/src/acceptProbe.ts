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
  /** Port of the probe that waits; unknown until it is open. */
  #port: number | undefined;
  /** Connections that were accepted before the probe's port was known, by their ports; one of them may be the probe. */
  readonly #early = new Map<number, Socket>();

  private constructor(
    private readonly server: Server,
    private readonly queue: AcceptQueue,
    private readonly log: Log,
  ) {}

  static create(server: Server, queue: AcceptQueue, log: Log): AcceptProbe {
    return new AcceptProbe(server, queue, log);
  }

  /** Takes a connection that was accepted; returns whether it is a caller's, as far as it is known. */
  take(socket: Socket): boolean {
    const isProbe = this.#isProbe(socket);
    if (isProbe) this.#reached(socket);
    else this.queue.callerAccepted();
    this.#open();
    return !isProbe;
  }

  #isProbe(socket: Socket): boolean {
    if (this.#socket === undefined) return false;
    // The port is unknown if the caller has gone already.
    const { remotePort } = socket;
    if (remotePort === undefined) return false;
    if (this.#port === undefined) this.#early.set(remotePort, socket);
    return remotePort === this.#port;
  }

  #open(): void {
    if (!this.server.listening || !this.queue.startProbe()) return;
    // One that the queue has forgotten may be left.
    this.#close();
    const { address, port } = this.server.address() as AddressInfo;
    const socket = connect({ host: address, port, timeout: openTime });
    this.#socket = socket;
    socket.on('connect', () => {
      if (this.#socket === socket) this.#opened(socket);
    });
    socket.on('timeout', () => {
      if (this.#socket === socket) this.#failed();
    });
    socket.on('error', (error) => {
      if (this.#socket !== socket) return;
      this.log.write('probe failed', { detail: error.message });
      this.#failed();
    });
  }

  #opened(socket: Socket): void {
    socket.setTimeout(0);
    this.queue.probeQueued();
    this.#port = socket.localPort;
    const accepted = this.#port === undefined ? undefined : this.#early.get(this.#port);
    this.#early.clear();
    if (accepted !== undefined) this.#reached(accepted);
  }

  #reached(accepted: Socket): void {
    this.queue.probeAccepted();
    accepted.destroy();
    this.#close();
  }

  #failed(): void {
    this.queue.probeFailed();
    this.#close();
  }

  #close(): void {
    this.#socket?.destroy();
    this.#socket = undefined;
    this.#port = undefined;
    this.#early.clear();
  }
}
