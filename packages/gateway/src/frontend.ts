// The listeners for callers' requests: one for callers, and one for connections that other routers hand on. A request whose
// connection has waited for too long to be accepted is refused before a server is chosen for it, and one whose caller has
// left meanwhile is dropped.

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createListener, type Server as Listener, type Socket } from 'node:net';
import {
  AcceptQueue,
  acceptBacklog,
  exceedsWaitLimit,
  type CallerLimits,
} from '@catkinwheel/coordination/routing';
import type { Milliseconds } from '@catkinwheel/state';
import { AcceptProbe } from './acceptProbe.js';
import { callerLeft } from './callerLeft.js';
import { Relay, type ConnectionUse, type RelayParts } from './relay.js';
import type { Endpoint, Tunnels } from './tunnels.js';

/** How often connections are checked for the time-outs of their headers. */
const checkInterval: Milliseconds = 1_000;
/** Largest header block until a desired state states it, in bytes. */
const headerBytes = 16 * 1024;

/** What becomes of connections that this router has no processor time for. */
export interface Handover {
  readonly tunnels: Tunnels;
  /** Whether new connections are to be served by other routers. */
  readonly isActive: () => boolean;
  /** The router that serves a new connection; undefined if this one does. */
  readonly receiver: () => Endpoint | undefined;
  /** Whether the router with this address, which has handed a connection on, is about to stop. */
  readonly isStopping: (ip: string) => boolean;
}

/** Callers' requests, each served by a relay. */
export class Frontend {
  /** Accepts callers' connections. */
  readonly #listener: Listener;
  /** Serves connections, and listens for those that other routers hand on. */
  readonly #server: Server;
  /** Where this router takes connections from others; unknown until it listens. */
  #own: Endpoint | undefined;
  /** Connections of callers that this router has accepted itself. */
  readonly #direct = new WeakSet<Socket>();
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
    private readonly handover: Handover,
    private readonly isStopping: () => boolean,
  ) {
    this.#lastEnd = parts.clock.now();
    this.#server = createServer(
      { connectionsCheckingInterval: checkInterval, maxHeaderSize: headerBytes, requestTimeout: 0 },
      (request, response) => {
        this.#serve(request, response);
      },
    );
    this.#queue = AcceptQueue.create(parts.clock, acceptBacklog(capacity));
    // Each request under way listens for the close; a caller may send many at once.
    this.#server.on('connection', (socket) => socket.setMaxListeners(0));
    this.#listener = createListener({ allowHalfOpen: true, noDelay: true }, (socket) => {
      this.#accept(socket, probe);
    });
    const probe = AcceptProbe.create(this.#listener, this.#queue, parts.log);
  }

  /** `capacity` is the speed of the VM, in cores. */
  static create(
    parts: RelayParts,
    capacity: number,
    handover: Handover,
    isStopping: () => boolean,
  ): Frontend {
    return new Frontend(parts, capacity, handover, isStopping);
  }

  /** Listens for callers at `callers`, and for connections that other routers hand on at `own`. Rejects if one is not free. */
  async listen(callers: Endpoint, own: Endpoint): Promise<void> {
    this.#own = own;
    const backlog = acceptBacklog(this.capacity);
    await listen(this.#server, own, backlog);
    await listen(this.#listener, callers, backlog);
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

  /** Time since the last request ended; 0 while one may be under way at another router. */
  idleTime(): Milliseconds {
    const isBusy = this.#underWay > 0 || this.handover.tunnels.busy > 0;
    return isBusy ? 0 : this.parts.clock.now() - this.#lastEnd;
  }

  #accept(socket: Socket, probe: AcceptProbe): void {
    const { wait } = this.#queue;
    if (!probe.take(socket)) return;
    if (exceedsWaitLimit(wait)) this.#old.set(socket, wait);
    else if (this.#handOn(socket)) return;
    this.#direct.add(socket);
    this.#server.emit('connection', socket);
  }

  /** Whether another router serves the connection. */
  #handOn(socket: Socket): boolean {
    const receiver = this.isStopping() ? undefined : this.handover.receiver();
    if (receiver === undefined || this.#own === undefined) return false;
    void this.handover.tunnels.join(socket, receiver, this.#own);
    return true;
  }

  /** Whether the caller is to open a new connection for its next request. */
  #closes(socket: Socket): boolean {
    if (this.isStopping()) return true;
    if (this.#direct.has(socket)) return this.handover.isActive();
    return this.handover.isStopping(socket.remoteAddress ?? '');
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const { parts } = this;
    if (this.#closes(request.socket)) response.setHeader('connection', 'close');
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
    const via = this.#direct.has(socket) ? undefined : socket.remoteAddress;
    const use = { number, requests: requests + 1, via };
    this.#uses.set(socket, use);
    return use;
  }

  /** Stops listening and closes idle connections. */
  close(): void {
    this.#listener.close();
    this.handover.tunnels.close();
    this.#server.close();
    this.#server.closeIdleConnections();
  }
}

function listen(server: Listener, { host, port }: Endpoint, backlog: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog }, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
