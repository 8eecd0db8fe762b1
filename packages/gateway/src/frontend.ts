// The listeners for callers' requests: one for callers, and one for connections that other routers hand over. A request
// whose connection waited too long in the accept queue is refused before a server is chosen, and one whose caller left
// meanwhile is dropped.

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  AcceptQueue,
  acceptBacklog,
  exceedsWaitLimit,
  type CallerLimits,
  type RequestOutcome,
  type Route,
} from '@catkinwheel/coordination/routing';
import { decodeKey } from '@catkinwheel/platform';
import type { Milliseconds } from '@catkinwheel/state';
import { CallerConnection } from './callerConnection.js';
import { CallerListener, listen } from './callerListener.js';
import { hasLeft } from './callerPresence.js';
import { nextTurn } from './eventLoopTurn.js';
import { readFirstRequest, type FirstHead, type FirstRequest } from './firstRequest.js';
import { sendRawResponse } from './rawResponse.js';
import { RequestHandler, hostOf, isRetriable, type RequestDependencies } from './requestHandler.js';
import type { Endpoint, Tunnels } from './tunnels.js';
import { unreadableResponse } from './unreadableRequest.js';

/** Interval at which connections are checked for header timeouts. */
const checkInterval: Milliseconds = 1_000;
/** Largest header block in bytes, whatever limit the desired state sets. */
const maxHeaderBytes = 16 * 1024;

/** Time after a route's timeout by which another router has to have answered; it measures the timeout from its own receipt. */
const answerMargin: Milliseconds = 300;

/** Handover of new connections to other routers while this one lacks processor time. */
export interface Handover {
  readonly tunnels: Tunnels;
  /** Whether connections of any team are handed over. */
  readonly isActive: () => boolean;
  /** Whether connections of the team are; the name is empty for requests without a team. */
  readonly includes: (team: string) => boolean;
  /** The router to hand a new connection over to; undefined if none has processor time to spare. */
  readonly selectTarget: () => Endpoint | undefined;
}

/** Longest time for which nothing is read on a connection whose caller comes back too early. */
const maxReadPause: Milliseconds = 300;

/** Work of handing a connection over, as a fraction of that of serving a request. */
const handoverWork = 1 / 8;

/** What the intake has decided on a request that was read before it was parsed. */
type Decision =
  { readonly kind: 'begun' } | { readonly kind: 'refused'; readonly retryAfter: Milliseconds };

interface DecidedRequest {
  readonly decision: Decision;
  readonly arrivedAt: Milliseconds;
}

/** Accepts callers' connections and serves each request with a `RequestHandler`. */
export class Frontend {
  /** Accepts callers' connections. */
  readonly #listener: CallerListener;
  /** Serves all connections, and listens for those that other routers hand over. */
  readonly #server: Server;
  /** Connections that this router accepted from callers itself. */
  readonly #acceptedHere = new WeakSet<Socket>();
  readonly #acceptQueue: AcceptQueue;
  /** Wait in the accept queue of connections that waited too long, until their first request. */
  readonly #longWaits = new WeakMap<Socket, Milliseconds>();
  readonly #connections = new WeakMap<Socket, CallerConnection>();
  /** What was decided on the first request of a connection before it was parsed. */
  readonly #decided = new WeakMap<Socket, DecidedRequest>();
  /** When connections were accepted whose first bytes, if they had come by then, have not been read yet. */
  readonly #justAccepted = new WeakMap<Socket, Milliseconds>();
  #connectionCount = 0;
  #acceptedCount = 0;
  #underWay = 0;
  #lastFinishedAt: Milliseconds;

  private constructor(
    private readonly dependencies: RequestDependencies,
    private readonly capacity: number,
    private readonly handover: Handover,
  ) {
    this.#lastFinishedAt = dependencies.clock.now();
    this.#server = createServer(
      {
        connectionsCheckingInterval: checkInterval,
        maxHeaderSize: maxHeaderBytes,
        requestTimeout: 0,
      },
      (request, response) => {
        if (this.#decided.has(request.socket)) this.#serve(request, response);
        else
          dependencies.intake.read(() => {
            this.#serve(request, response);
          });
      },
    );
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this.#onClientError(error, socket);
    });
    this.#acceptQueue = AcceptQueue.create(dependencies.clock, acceptBacklog(capacity));
    // The idle time of a connection has passed.
    this.#server.on('timeout', (socket: Socket) => {
      void closeUnlessRead(socket);
    });
    // Each request in flight listens for the close; a caller may pipeline many.
    this.#server.on('connection', (socket) => {
      socket.setMaxListeners(0);
      if (!this.#acceptedHere.has(socket)) this.#recordAccepted(socket);
    });
    const { log, intake } = dependencies;
    this.#listener = CallerListener.create(this.#acceptQueue, log, (socket, wait) => {
      intake.accept(() => {
        this.#accept(socket, wait);
      });
    });
  }

  /** `capacity` is the speed of the VM, in cores. */
  static create(dependencies: RequestDependencies, capacity: number, handover: Handover): Frontend {
    return new Frontend(dependencies, capacity, handover);
  }

  /** Listens for callers at `callers`, and for handed-over connections at `own`. Rejects if one is in use. */
  async listen(callers: Endpoint, own: Endpoint): Promise<void> {
    await listen(this.#server, own, acceptBacklog(this.capacity));
    await this.#listener.listen(callers);
  }

  /** Applies the limits of the desired state to later use of connections. */
  limit(limits: CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleTimeout;
    this.#server.headersTimeout = limits.headerTimeout;
  }

  /** Estimated wait in the accept queue of a connection that is accepted now. */
  get acceptWait(): Milliseconds {
    return this.#acceptQueue.wait;
  }

  /** Connections accepted from callers since the start. */
  get acceptedCount(): number {
    return this.#acceptedCount;
  }

  /** Requests in flight. */
  get underWay(): number {
    return this.#underWay;
  }

  /** Time since the last request ended; 0 while one is in flight here or may be at another router through a tunnel. */
  idleTime(): Milliseconds {
    const isBusy = this.#underWay > 0 || !this.handover.tunnels.isEmpty;
    return isBusy ? 0 : this.dependencies.clock.now() - this.#lastFinishedAt;
  }

  /** Takes a connection that had to wait for about `wait` until it was accepted. */
  #accept(socket: Socket, wait: Milliseconds): void {
    this.#acceptedCount += 1;
    this.#recordAccepted(socket);
    const { isStopping } = this.dependencies.stops;
    if (exceedsWaitLimit(wait)) this.#longWaits.set(socket, wait);
    else if (!isStopping && (this.handover.isActive() || this.dependencies.intake.isStanding)) {
      this.dependencies.faults.watch('intake', this.#readAndDecide(socket));
      return;
    }
    this.#serveConnection(socket);
  }

  #recordAccepted(socket: Socket): void {
    this.#justAccepted.set(socket, this.dependencies.clock.now());
    void nextTurn().then(() => this.#justAccepted.delete(socket));
  }

  #serveConnection(socket: Socket): void {
    this.#acceptedHere.add(socket);
    this.#server.emit('connection', socket);
  }

  /**
   * Reads the first request of a connection, which waits for processor time before it is parsed: parsing takes a good part of
   * what refusing it costs.
   */
  async #readAndDecide(socket: Socket): Promise<void> {
    const first = await readFirstRequest(socket);
    if (first === undefined) return;
    const arrivedAt = this.#arrivalOf(socket);
    const waitedUnread = this.#justAccepted.has(socket);
    // A connection without a listener would end this process with its error.
    const onError = (): void => {
      socket.destroy();
    };
    socket.on('error', onError);
    this.#underWay += 1;
    const decided = (): void => {
      socket.off('error', onError);
      this.#underWay -= 1;
      this.#lastFinishedAt = this.dependencies.clock.now();
    };
    this.dependencies.intake.add({
      team: this.#teamOf(first.head),
      earlier: 0,
      waitedUnread,
      hasLeft: () => hasLeft(socket),
      begin: () => {
        decided();
        return this.#handOverOrServe(socket, first, arrivedAt);
      },
      refuse: (retryAfter) => {
        decided();
        this.#refuseRead(socket, first, arrivedAt, retryAfter);
      },
      drop: () => {
        decided();
        this.#dropRead(socket, first);
      },
    });
  }

  /** Refuses a request of which only the head was read. */
  #refuseRead(
    socket: Socket,
    first: FirstRequest,
    arrivedAt: Milliseconds,
    retryAfter: Milliseconds,
  ): void {
    const { head } = first;
    if (head === undefined) {
      this.#serveRead(socket, first, { decision: { kind: 'refused', retryAfter }, arrivedAt });
      return;
    }
    const { log, metrics } = this.dependencies;
    const reason = 'processorTime';
    metrics.refusals.inc({ reason });
    this.#recordUnparsed(head, { outcome: 'refused', reason, status: 503 });
    first.takeBytes();
    socket.on('error', (error) => {
      log.write('refused caller lost', { id: head.id, detail: error.message });
    });
    sendRawResponse(socket, head.id, { status: '503 Service Unavailable', retryAfter });
  }

  /** Ends a request of which only the head was read, since its caller has left. */
  #dropRead(socket: Socket, { head }: FirstRequest): void {
    socket.destroy();
    if (head !== undefined) this.#recordUnparsed(head, { outcome: 'left', reason: 'unread' });
  }

  /** Counts and logs the end of a request of which only the head was read. */
  #recordUnparsed(
    head: FirstHead,
    end: {
      readonly outcome: RequestOutcome;
      readonly reason: string;
      readonly status?: number;
    },
  ): void {
    const { log, metrics, teamCounts, dispatcher } = this.dependencies;
    const team = this.#teamOf(head);
    const { outcome } = end;
    metrics.requests.inc({ outcome });
    if (team !== '') teamCounts.record(team, outcome, head.size);
    const { waiting } = dispatcher;
    log.write('request', { id: head.id, ...end, team, waiting, attempts: [] });
  }

  /**
   * Hands the connection over to another router if its first request may run there; otherwise serves it here. Returns the work of
   * that.
   */
  #handOverOrServe(socket: Socket, first: FirstRequest, arrivedAt: Milliseconds): number {
    const decided: DecidedRequest = { decision: { kind: 'begun' }, arrivedAt };
    const { stops, faults } = this.dependencies;
    const { head } = first;
    const route = head === undefined ? undefined : this.#routeToHandOver(head, head.path, head.key);
    const target =
      route === undefined || stops.isStopping ? undefined : this.handover.selectTarget();
    if (head !== undefined && route !== undefined && target !== undefined) {
      const answerBy = arrivedAt + route.timeout + answerMargin;
      const request = { takeBytes: first.takeBytes, id: head.id, answerBy };
      const opened = this.handover.tunnels.open(socket, request, target).then((isOpen) => {
        if (isOpen) this.#countHandover(head);
        else this.#serveRead(socket, first, decided);
      });
      faults.watch('intake', opened);
      return handoverWork;
    }
    this.#serveRead(socket, first, decided);
    return 1;
  }

  /** Serves a connection whose first bytes have been read, unless its caller has left. */
  #serveRead(socket: Socket, first: FirstRequest, decided: DecidedRequest): void {
    if (hasLeft(socket)) {
      this.#dropRead(socket, first);
      return;
    }
    this.#decided.set(socket, decided);
    socket.unshift(first.takeBytes());
    this.#serveConnection(socket);
    socket.resume();
  }

  #teamOf(head: FirstHead | undefined): string {
    return this.dependencies.dispatcher.table?.team(head?.key)?.name ?? '';
  }

  #countHandover(head: FirstHead): void {
    const team = this.#teamOf(head);
    if (team !== '') this.dependencies.teamCounts.record(team, 'handedOver', undefined);
  }

  /**
   * The route of a request that another router may serve. A request that may run only once depends on one router: its caller
   * cannot ask again if a second one fails. The same holds for a stream that cannot be resumed.
   */
  #routeToHandOver(
    request: Pick<IncomingMessage, 'headers'>,
    path: string | undefined,
    key: string | undefined,
  ): Route | undefined {
    const { table } = this.dependencies.dispatcher;
    const route = table?.route(hostOf(request), path ?? '/');
    if (route === undefined || !isRetriable(route)) return undefined;
    return this.handover.includes(table?.team(key)?.name ?? '') ? route : undefined;
  }

  /** Whether responses close the connection, so that the caller opens a new one for its next request. */
  #closesConnection(request: IncomingMessage): boolean {
    const { stops } = this.dependencies;
    const via = this.#viaOf(request.socket);
    if (via !== undefined || stops.closesConnections(via)) return true;
    if (!this.handover.isActive()) return false;
    const key = decodeKey(request.headers.authorization);
    return this.#routeToHandOver(request, request.url, key) !== undefined;
  }

  /** IP address of the router that handed the connection over; undefined if the caller connected to this one. */
  #viaOf(socket: Socket): string | undefined {
    return this.#acceptedHere.has(socket) ? undefined : socket.remoteAddress;
  }

  /** When the request that has just been read can have arrived: one that came with its connection waited for a turn to be read. */
  #arrivalOf(socket: Socket): Milliseconds {
    return this.#justAccepted.get(socket) ?? this.dependencies.clock.now();
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const { dependencies } = this;
    const { socket } = request;
    const connection = this.#connectionOf(socket);
    // A handed-over connection ends with its first response.
    const isLast = connection.via !== undefined && connection.requests > 0;
    if (connection.isCloseAnnounced || isLast) {
      // The connection ends with the response in progress, so a server's response could not be delivered.
      dependencies.log.write('request after close', { connection: connection.number });
      request.resume();
      return;
    }
    const decided = this.#decided.get(socket);
    this.#decided.delete(socket);
    const info = {
      arrivedAt: decided?.arrivedAt ?? this.#arrivalOf(socket),
      number: connection.number,
      requests: connection.requests + 1,
      via: connection.via,
      announceClose: () =>
        (connection.isBroken || this.#closesConnection(request)) && connection.announceClose(),
    };
    const handler = RequestHandler.create(dependencies, request, response, info);
    connection.add(handler.id, response);
    const wait = this.#longWaits.get(socket);
    if (wait !== undefined) {
      this.#longWaits.delete(socket);
      handler.refuseAfterAcceptWait(wait);
      return;
    }
    this.#underWay += 1;
    dependencies.metrics.underWay.inc();
    const finish = (): void => {
      this.#underWay -= 1;
      this.#lastFinishedAt = dependencies.clock.now();
      dependencies.metrics.underWay.dec();
    };
    const begin = (): number => {
      void handler.run().then(finish);
      return 1;
    };
    const refuse = (retryAfter: Milliseconds): void => {
      connection.recordRefusal(response, dependencies.clock.now(), retryAfter, maxReadPause);
      handler.refuseForProcessorTime(retryAfter);
      finish();
    };
    switch (decided?.decision.kind) {
      case 'begun':
        begin();
        return;
      case 'refused':
        refuse(decided.decision.retryAfter);
        return;
      case undefined:
        this.dependencies.intake.add({
          team: handler.team,
          earlier: connection.requests - 1,
          waitedUnread: this.#justAccepted.has(socket),
          hasLeft: () => hasLeft(socket),
          begin,
          refuse,
          drop: () => {
            request.destroy();
            begin();
          },
        });
    }
  }

  /** Bytes on the connection cannot be read, a head did not come in time, or the socket failed. */
  #onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#connectionOf(socket);
    // The event is repeated for each further packet, and for a late head at each check.
    if (!connection.isBroken) {
      const { dueIds, number } = connection;
      // Callers may reset connections that they no longer use.
      const isSocketError = error.syscall !== undefined;
      if (!isSocketError || dueIds.length > 0)
        this.dependencies.log.write('caller connection failed', {
          connection: number,
          detail: error.code ?? error.message,
          requests: dueIds,
        });
      connection.break(error, unreadableResponse(error));
    }
    if (!socket.writable) socket.destroy(error);
  }

  #connectionOf(socket: Socket): CallerConnection {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    this.#connectionCount += 1;
    const connection = CallerConnection.create(socket, this.#connectionCount, this.#viaOf(socket));
    this.#connections.set(socket, connection);
    return connection;
  }

  /** Stops listening and closes idle connections. */
  close(): void {
    this.#listener.close();
    this.handover.tunnels.close();
    this.#server.close();
    this.#server.closeIdleConnections();
  }
}

/** Closes an idle connection, unless a request waits to be read: after a stall of this process timers run before reads. */
async function closeUnlessRead(socket: Socket): Promise<void> {
  const { bytesRead } = socket;
  await nextTurn();
  if (socket.bytesRead === bytesRead) socket.destroy();
}
