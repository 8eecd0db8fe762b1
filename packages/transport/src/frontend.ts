// The HTTP server for callers. It accepts their requests, refuses those that this router cannot
// serve, and sends the responses. A call is an accepted request that was read completely.

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https';
import type { AddressInfo, Socket } from 'node:net';
import type { SecureContextOptions } from 'node:tls';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { Call, ResponsePart } from '@catkinwheel/protocol';
import { requestIdHeader } from '@catkinwheel/protocol';
import type { Catalogue, Failure, Milliseconds } from '@catkinwheel/state';
import { notRun } from '@catkinwheel/state';
import { Hono } from 'hono';
import { err, type Result } from 'neverthrow';
import { CallReader, chatPath, servicesPath, type AcceptedCall } from './callReader.js';
import { CallerResponse } from './callerResponse.js';
import { sendProblem } from './problemDetails.js';
import { refuseMalformed } from './malformedRequest.js';
import { BodyReader, type BodyLimits } from './requestBody.js';

/** A router that accepts requests of callers. */
export interface RouterAddress {
  readonly name: string;
  /** `host:port`. */
  readonly address: string;
  readonly dataCentre: string;
}

/** Whether this router accepts requests, and which other routers do. */
export interface FrontendStatus {
  /**
   * Why new requests are refused (`leaving`, `isolated`, `noCatalogue`); undefined if they are
   * accepted.
   */
  refusal(): Failure | undefined;
  /** Routers that accept requests, this one included. */
  routers(): readonly RouterAddress[];
}

export interface FrontendLimits extends BodyLimits {
  /** Maximum time that a caller may take to send the header of a request. */
  readonly headerTimeout: Milliseconds;
}

export interface FrontendOptions {
  readonly host: string;
  /** 0 lets the system choose a port. */
  readonly port: number;
  readonly catalogue: { current(): Catalogue };
  readonly status: FrontendStatus;
  /** Executes a call. The frontend reads all parts of the response, also after `callerGone` aborted. */
  readonly run: (call: Call, callerGone: AbortSignal) => AsyncGenerator<ResponsePart, void, void>;
  readonly metrics: { count(name: string, tags?: Readonly<Record<string, string>>): void };
  /** Time for which callers may cache the list of routers. */
  readonly directoryTtl: Milliseconds;
  readonly limits?: Partial<FrontendLimits>;
  /** Serves TLS if given. */
  readonly tls?: SecureContextOptions;
}

const defaultLimits: FrontendLimits = {
  bytes: 8 * 1024 * 1024,
  totalBytes: 512 * 1024 * 1024,
  timeout: 30_000,
  headerTimeout: 10_000,
};

/** How often Node checks for callers that exceed a time limit. */
const timeoutCheckPeriod: Milliseconds = 1_000;
/** Idle time after which a caller's connection is closed. */
const idleTimeout: Milliseconds = 60_000;

const malformedTarget = notRun('badRequest', 'the request has no valid host or target');

/** Grace period for callers to read the end of their responses when the server closes. */
const closeGracePeriod: Milliseconds = 1_000;

type ReadCall = (
  id: string,
  catalogue: Catalogue,
  incoming: IncomingMessage,
) => Promise<Result<AcceptedCall, Failure>>;

/** The HTTP server for callers. */
export class Frontend {
  readonly #options: FrontendOptions;
  readonly #server: Server | TlsServer;
  readonly #reader: CallReader;
  /** The latest response on each connection. */
  readonly #latestResponses = new WeakMap<Socket, ServerResponse>();
  /** Connections on which a request was malformed. */
  readonly #malformedSockets = new WeakSet<Socket>();
  #inFlight = 0;
  #onIdle: (() => void) | undefined;

  private constructor(options: FrontendOptions) {
    this.#options = options;
    const limits = { ...defaultLimits, ...options.limits };
    this.#reader = CallReader.create(BodyReader.create(limits));
    this.#server = this.#createServer(limits);
  }

  static create(options: FrontendOptions): Frontend {
    return new Frontend(options);
  }

  /** Number of requests whose responses are not complete yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Starts to accept connections and resolves with the port. Rejects if the address is in use. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#options.port, this.#options.host, () => {
        this.#server.off('error', reject);
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /**
   * Uses another key and certificate for new connections. Throws if they do not match each other.
   */
  reload(tls: SecureContextOptions): void {
    if ('setSecureContext' in this.#server) this.#server.setSecureContext(tls);
  }

  /** Stops accepting connections and resolves once every request in flight is answered. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
    if (this.#inFlight > 0) {
      await new Promise<void>((resolve) => {
        this.#onIdle = resolve;
      });
    }
    this.#server.closeIdleConnections();
    const timer = setTimeout(() => {
      this.#server.closeAllConnections();
    }, closeGracePeriod);
    await closed;
    clearTimeout(timer);
  }

  /** Closes all connections at once, also those with requests in flight. */
  abort(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #createServer(limits: FrontendLimits): Server | TlsServer {
    const app = this.#routes();
    const listener = getRequestListener(app.fetch, {
      overrideGlobalObjects: false,
      autoCleanupIncoming: false,
      // After an error the listener returns without a response, which `accept` treats as a malformed
      // request.
      errorHandler: () => undefined,
    });
    const settings = {
      headersTimeout: limits.headerTimeout,
      requestTimeout: limits.headerTimeout + limits.timeout,
      connectionsCheckingInterval: timeoutCheckPeriod,
      keepAliveTimeout: idleTimeout,
      requireHostHeader: false,
    };
    const accept = (incoming: IncomingMessage, outgoing: ServerResponse): void => {
      outgoing.setHeader(requestIdHeader, CallReader.newRequestId());
      this.#latestResponses.set(incoming.socket, outgoing);
      // Each request in flight listens for the close of its connection, and a caller may pipeline
      // many.
      incoming.socket.setMaxListeners(0);
      void listener(incoming, outgoing).then(() => {
        if (!outgoing.headersSent && !outgoing.destroyed)
          this.#refuse({ outgoing }, malformedTarget);
      });
    };
    const { tls } = this.#options;
    const server =
      tls === undefined
        ? createServer(settings, accept)
        : createTlsServer({ ...settings, ...tls }, accept);
    server.on('clientError', (error: Error, socket: Socket) => {
      // Node repeats the event for each further packet, and for a slow request with each check.
      if (this.#malformedSockets.has(socket)) return;
      this.#malformedSockets.add(socket);
      this.#count(refuseMalformed(error, socket, this.#latestResponses.get(socket)));
    });
    return server;
  }

  #routes(): Hono<{ Bindings: HttpBindings }> {
    const app = new Hono<{ Bindings: HttpBindings }>();
    app.post(chatPath, (c) => this.#serve(c.env, this.#reader.readChat.bind(this.#reader)));
    app.all(`${servicesPath}*`, (c) =>
      this.#serve(c.env, this.#reader.readService.bind(this.#reader)),
    );
    app.get('/v1/routers', (c) => {
      const { status, directoryTtl } = this.#options;
      return c.json({ routers: status.routers(), ttl: directoryTtl });
    });
    app.get('/healthz', (c) => c.json({ status: 'ok' }));
    app.get('/readyz', (c) => {
      const refusal = this.#options.status.refusal();
      if (refusal === undefined) return c.json({ status: 'ok' });
      return this.#refuse(c.env, refusal);
    });
    app.notFound((c) => this.#refuse(c.env, notRun('badRequest', 'there is no such path')));
    return app;
  }

  async #serve({ incoming, outgoing }: HttpBindings, read: ReadCall): Promise<Response> {
    const response = outgoing;
    const requestId = String(response.getHeader(requestIdHeader));
    const callerResponse = CallerResponse.create({
      requestId,
      response,
      routers: () => this.#routerAddresses(),
    });
    this.#inFlight += 1;
    try {
      await this.#run(requestId, incoming, callerResponse, read);
    } catch {
      const failure = {
        verdict: 'mayHaveRun',
        reason: 'internal',
        detail: 'internal error',
      } as const;
      this.#count(failure);
      callerResponse.fail(failure);
    } finally {
      this.#inFlight -= 1;
      if (this.#inFlight === 0) this.#onIdle?.();
    }
    return RESPONSE_ALREADY_SENT;
  }

  async #run(
    requestId: string,
    incoming: IncomingMessage,
    callerResponse: CallerResponse,
    read: ReadCall,
  ): Promise<void> {
    const refusal = this.#options.status.refusal();
    const accepted =
      refusal === undefined
        ? await read(requestId, this.#options.catalogue.current(), incoming)
        : err(refusal);
    if (accepted.isErr()) {
      // Callers would keep using an open connection to a router that shuts down; after its close they
      // connect to another router.
      if (accepted.error.reason === 'leaving') callerResponse.closeConnectionAfterwards();
      this.#count(accepted.error);
      callerResponse.fail(accepted.error);
      return;
    }
    try {
      await callerResponse.run(this.#options.run(accepted.value.call, callerResponse.callerGone));
    } finally {
      this.#reader.release(accepted.value);
    }
  }

  #refuse({ outgoing }: Pick<HttpBindings, 'outgoing'>, failure: Failure): Response {
    const response = outgoing;
    this.#count(failure);
    const requestId = String(response.getHeader(requestIdHeader));
    sendProblem(response, failure, requestId, this.#routerAddresses());
    return RESPONSE_ALREADY_SENT;
  }

  #count({ reason }: Failure): void {
    this.#options.metrics.count('front.refused', { reason });
  }

  #routerAddresses(): readonly string[] {
    return this.#options.status.routers().map(({ address }) => address);
  }
}
