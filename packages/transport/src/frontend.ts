// The address that callers know. It accepts requests, refuses those that this router cannot serve, and
// hands the answers back.

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
import { CallReader, chatPath, servicesPath, type Accepted } from './callReader.js';
import { Delivery } from './delivery.js';
import { sendProblem } from './problem.js';
import { refuseMalformed } from './malformed.js';
import { BodyReader, type BodyLimits } from './requestBody.js';

/** A router that callers may use. */
export interface RouterAddress {
  readonly name: string;
  /** `host:port`. */
  readonly address: string;
  readonly dataCentre: string;
}

/** Whether this router accepts work, and who else does. */
export interface FrontendStatus {
  /** Why new work is refused (`leaving`, `isolated`, `noCatalogue`); undefined if it is accepted. */
  refusal(): Failure | undefined;
  /** Routers that accept work, this one included. */
  routers(): readonly RouterAddress[];
}

export interface FrontendLimits extends BodyLimits {
  /** Longest time that a caller may take for the head of a request. */
  readonly headTimeout: Milliseconds;
}

export interface FrontendOptions {
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
  readonly catalogue: { current(): Catalogue };
  readonly status: FrontendStatus;
  /** Runs a call; the pieces are read to their end even if `caller` aborts. */
  readonly run: (call: Call, caller: AbortSignal) => AsyncGenerator<ResponsePart, void, void>;
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
  headTimeout: 10_000,
};

/** How often Node looks for callers that exceed a time limit. */
const checkPeriod: Milliseconds = 1_000;
/** Idle time after which a caller's connection is closed. */
const idleTimeout: Milliseconds = 60_000;

const malformed = notRun('badRequest', 'the request has no valid host or target');

/** Time for callers to take the end of their answers when the server closes. */
const lingerTime: Milliseconds = 1_000;

type Read = (
  id: string,
  catalogue: Catalogue,
  incoming: IncomingMessage,
) => Promise<Result<Accepted, Failure>>;

/** The server for callers. */
export class Frontend {
  readonly #options: FrontendOptions;
  readonly #server: Server | TlsServer;
  readonly #reader: CallReader;
  /** The latest answer on each connection. */
  readonly #answers = new WeakMap<Socket, ServerResponse>();
  /** Connections on which a request was malformed. */
  readonly #malformed = new WeakSet<Socket>();
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

  /** Requests that have not got their whole answer yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Starts to accept connections; resolves with the port. Rejects if the address is not free. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#options.port, this.#options.host, () => {
        this.#server.off('error', reject);
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Uses other keys and certificates for new connections. Throws if they do not fit together. */
  reload(tls: SecureContextOptions): void {
    if ('setSecureContext' in this.#server) this.#server.setSecureContext(tls);
  }

  /** Stops accepting connections and resolves once every request under way has its answer. */
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
    }, lingerTime);
    await closed;
    clearTimeout(timer);
  }

  /** Closes all connections at once; requests under way are cut. */
  abort(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #createServer(limits: FrontendLimits): Server | TlsServer {
    const app = this.#routes();
    const listener = getRequestListener(app.fetch, {
      overrideGlobalObjects: false,
      autoCleanupIncoming: false,
      // The listener then returns without an answer, which `accept` takes for a malformed request.
      errorHandler: () => undefined,
    });
    const settings = {
      headersTimeout: limits.headTimeout,
      requestTimeout: limits.headTimeout + limits.timeout,
      connectionsCheckingInterval: checkPeriod,
      keepAliveTimeout: idleTimeout,
      requireHostHeader: false,
    };
    const accept = (incoming: IncomingMessage, outgoing: ServerResponse): void => {
      outgoing.setHeader(requestIdHeader, CallReader.nextId());
      this.#answers.set(incoming.socket, outgoing);
      // Each request under way listens for the close; a caller may send many at once.
      incoming.socket.setMaxListeners(0);
      void listener(incoming, outgoing).then(() => {
        if (!outgoing.headersSent && !outgoing.destroyed) this.#refuse({ outgoing }, malformed);
      });
    };
    const { tls } = this.#options;
    const server =
      tls === undefined
        ? createServer(settings, accept)
        : createTlsServer({ ...settings, ...tls }, accept);
    server.on('clientError', (error: Error, socket: Socket) => {
      // Node tells again of each further packet, and of a slow request with each check.
      if (this.#malformed.has(socket)) return;
      this.#malformed.add(socket);
      this.#count(refuseMalformed(error, socket, this.#answers.get(socket)));
    });
    return server;
  }

  #routes(): Hono<{ Bindings: HttpBindings }> {
    const app = new Hono<{ Bindings: HttpBindings }>();
    app.post(chatPath, (c) => this.#serve(c.env, this.#reader.chat.bind(this.#reader)));
    app.all(`${servicesPath}*`, (c) => this.#serve(c.env, this.#reader.service.bind(this.#reader)));
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

  async #serve({ incoming, outgoing }: HttpBindings, read: Read): Promise<Response> {
    const response = outgoing;
    const requestId = String(response.getHeader(requestIdHeader));
    const delivery = Delivery.create({ requestId, response, routers: () => this.#others() });
    this.#inFlight += 1;
    try {
      await this.#run(requestId, incoming, delivery, read);
    } catch {
      const failure = {
        verdict: 'mayHaveRun',
        reason: 'internal',
        detail: 'internal error',
      } as const;
      this.#count(failure);
      delivery.fail(failure);
    } finally {
      this.#inFlight -= 1;
      if (this.#inFlight === 0) this.#onIdle?.();
    }
    return RESPONSE_ALREADY_SENT;
  }

  async #run(
    requestId: string,
    incoming: IncomingMessage,
    delivery: Delivery,
    read: Read,
  ): Promise<void> {
    const refusal = this.#options.status.refusal();
    const accepted =
      refusal === undefined
        ? await read(requestId, this.#options.catalogue.current(), incoming)
        : err(refusal);
    if (accepted.isErr()) {
      // A leaving router is rid of its callers only if they connect elsewhere.
      if (accepted.error.reason === 'leaving') delivery.closeAfterwards();
      this.#count(accepted.error);
      delivery.fail(accepted.error);
      return;
    }
    try {
      await delivery.run(this.#options.run(accepted.value.call, delivery.gone));
    } finally {
      this.#reader.release(accepted.value);
    }
  }

  #refuse({ outgoing }: Pick<HttpBindings, 'outgoing'>, failure: Failure): Response {
    const response = outgoing;
    this.#count(failure);
    const requestId = String(response.getHeader(requestIdHeader));
    sendProblem(response, failure, requestId, this.#others());
    return RESPONSE_ALREADY_SENT;
  }

  #count({ reason }: Failure): void {
    this.#options.metrics.count('front.refused', { reason });
  }

  #others(): readonly string[] {
    return this.#options.status.routers().map(({ address }) => address);
  }
}
