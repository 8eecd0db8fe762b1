// Probe connections of the router to its own listener, which measure how long callers' connections wait in the accept queue.

import { connect, type AddressInfo, type Server, type Socket } from 'node:net';
import type { AcceptQueue } from '@catkinwheel/coordination/routing';
import type { Milliseconds } from '@catkinwheel/state';
import { nextTurn } from './eventLoopTurn.js';
import type { Log } from './log.js';

/** A probe that is not connected by then was rejected by a full queue; TCP would retry it only after a second or more. */
const connectTimeout: Milliseconds = 200;

/** Opens probes behind the connections that wait at a listener, and distinguishes them from callers. */
export class AcceptProbe {
  #socket: Socket | undefined;
  /** Local port of the probe in the accept queue; undefined until it is connected. */
  #port: number | undefined;
  /** Connections accepted before the probe's port was known, by their ports; one of them may be the probe. */
  readonly #acceptedEarly = new Map<number, Socket>();

  private constructor(
    private readonly server: Server,
    private readonly queue: AcceptQueue,
    private readonly log: Log,
  ) {}

  static create(server: Server, queue: AcceptQueue, log: Log): AcceptProbe {
    return new AcceptProbe(server, queue, log);
  }

  /** Takes an accepted connection; returns whether it is a caller's, which is assumed while the probe's port is unknown. */
  accept(socket: Socket): boolean {
    const isProbeConnection = this.#isProbe(socket);
    if (isProbeConnection) this.#probeAccepted(socket);
    else this.queue.callerAccepted();
    this.#open();
    return !isProbeConnection;
  }

  #isProbe(socket: Socket): boolean {
    if (this.#socket === undefined) return false;
    // The port is undefined if the caller has already left.
    const { remotePort } = socket;
    if (remotePort === undefined) return false;
    if (this.#port === undefined) this.#acceptedEarly.set(remotePort, socket);
    return remotePort === this.#port;
  }

  #open(): void {
    if (!this.server.listening || !this.queue.startProbe()) return;
    // A previous probe that the queue gave up may still be open.
    this.#close();
    const { address, port } = this.server.address() as AddressInfo;
    const socket = connect({ host: address, port, timeout: connectTimeout });
    this.#socket = socket;
    socket.on('connect', () => {
      if (this.#socket === socket) this.#probeConnected(socket);
    });
    socket.on('timeout', () => {
      void this.#rejectUnlessConnected(socket);
    });
    socket.on('error', (error) => {
      if (this.#socket !== socket) return;
      this.log.write('probe failed', { detail: error.message });
      this.queue.probeFailed();
      this.#close();
    });
  }

  #probeConnected(socket: Socket): void {
    socket.setTimeout(0);
    this.queue.probeQueued();
    this.#port = socket.localPort;
    const accepted = this.#port === undefined ? undefined : this.#acceptedEarly.get(this.#port);
    this.#acceptedEarly.clear();
    if (accepted !== undefined) this.#probeAccepted(accepted);
  }

  #probeAccepted(accepted: Socket): void {
    this.queue.probeAccepted();
    accepted.destroy();
    this.#close();
  }

  /** After a turn that is longer than the timeout, the timer runs before the event of the connection. */
  async #rejectUnlessConnected(socket: Socket): Promise<void> {
    await nextTurn();
    if (this.#socket !== socket || !socket.connecting) return;
    this.queue.probeRejected();
    this.#close();
  }

  #close(): void {
    this.#socket?.destroy();
    this.#socket = undefined;
    this.#port = undefined;
    this.#acceptedEarly.clear();
  }
}
