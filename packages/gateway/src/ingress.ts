// The listener for callers' requests. A request whose connection has waited for too long to be accepted is refused before
// a server is chosen for it, and one whose caller has left meanwhile is dropped.

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  AcceptQueue,
  acceptBacklog,
  isTooOld,
  type CallerLimits,
} from '@catkinwheel/coordination/routing';
import type { Milliseconds } from '@catkinwheel/state';
import { AcceptProbe } from './acceptProbe.js';
import { callerLeft } from './callerLeft.js';
import { Relay, type ConnectionUse, type RelayParts } from './relay.js';

/** How often connections are checked for the time-outs of their headers. */
const checkInterval: Milliseconds = 1_000;
/** Largest header block until a desired state states it, in bytes. */
const headerBytes = 16 * 1024;

/** Callers' requests, each served by a relay. */
export class Ingress {
  readonly #server: Server;
  readonly #queue: AcceptQueue;
  /** Connections that have waited for too long, until their first request. */
  readonly #old = new WeakMap<Socket, Milliseconds>();
  /** What the log names open connections by. */
  readonly #uses = new WeakMap<Socket, ConnectionUse>();
  #connections = 0;
  #underWay = 0;
  #lastEnd: Milliseconds;

  private constructor(
    private readonly parts: RelayParts,
    private readonly capacity: number,
    isStopping: () => boolean,
  ) {
    this.#lastEnd = parts.clock.now();
    this.#server = createServer(
      { connectionsCheckingInterval: checkInterval, maxHeaderSize: headerBytes, requestTimeout: 0 },
      (request, response) => {
        this.#serve(request, response, isStopping());
      },
    );
    this.#queue = AcceptQueue.create(parts.clock, acceptBacklog(capacity));
    const probe = AcceptProbe.create(this.#server, this.#queue, parts.log);
    this.#server.on('connection', (socket) => {
      // Each request under way listens for the close; a caller may send many at once.
      socket.setMaxListeners(0);
      const { wait } = this.#queue;
      if (probe.take(socket) && isTooOld(wait)) this.#old.set(socket, wait);
    });
  }

  /** `capacity` is the speed of the VM, in cores. */
  static create(parts: RelayParts, capacity: number, isStopping: () => boolean): Ingress {
    return new Ingress(parts, capacity, isStopping);
  }

  /** Rejects if the address is not free. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: acceptBacklog(this.capacity) }, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  /** Puts the limits of the desired state in force for connections that are used from now on. */
  limit(limits: CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleTimeout;
    this.#server.headersTimeout = limits.headerTimeout;
  }

  /** How long a connection that is accepted now has probably waited. */
  get acceptWait(): Milliseconds {
    return this.#queue.wait;
  }

  /** Requests that have arrived and not ended. */
  get underWay(): number {
    return this.#underWay;
  }

  /** Time since the last request ended. */
  idleTime(): Milliseconds {
    return this.#underWay > 0 ? 0 : this.parts.clock.now() - this.#lastEnd;
  }

  #serve(request: IncomingMessage, response: ServerResponse, isStopping: boolean): void {
    const { parts } = this;
    if (isStopping) response.setHeader('connection', 'close');
    const use = this.#use(request.socket);
    const relay = Relay.create(parts, request, response, use);
    const wait = this.#old.get(request.socket);
    if (wait !== undefined) {
      this.#old.delete(request.socket);
      relay.refuseOld(wait);
      return;
    }
    this.#underWay += 1;
    parts.metrics.underWay.inc();
    void this.#run(relay, request, use).then(() => {
      this.#underWay -= 1;
      this.#lastEnd = parts.clock.now();
      parts.metrics.underWay.dec();
    });
  }

  async #run(relay: Relay, request: IncomingMessage, use: ConnectionUse): Promise<void> {
    // Later requests of a connection have not waited for it to be accepted. What is destroyed is not sent on.
    if (use.requests === 1 && (await callerLeft(request))) request.destroy();
    await relay.run();
  }

  #use(socket: Socket): ConnectionUse {
    const known = this.#uses.get(socket);
    if (known === undefined) this.#connections += 1;
    const { number = this.#connections, requests = 0 } = known ?? {};
    const use = { number, requests: requests + 1 };
    this.#uses.set(socket, use);
    return use;
  }

  /** Stops listening and closes idle connections. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }
}
