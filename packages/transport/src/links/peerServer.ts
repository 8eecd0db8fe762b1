// The server for incoming connections of peers.

import type { Message } from '@catkinwheel/protocol';
import type { Milliseconds, Router } from '@catkinwheel/state';
import { getWSConnectionHandler } from '@trpc/server/adapters/ws';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { WebSocketServer, type WebSocket } from 'ws';
import { frameCodec } from './frameCodec.js';
import type { EventLog } from './link.js';
import {
  peerProcedures,
  type PeerContext,
  type PeerHandlers,
  type RefusalReason,
} from './procedures.js';
import type { Counters, Traffic } from './traffic.js';

export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly secret: string;
  readonly metrics: Counters;
  readonly eventLog: EventLog;
  readonly traffic: Traffic;
}

/** Maximum size of a frame: four times the largest batch that a link sends. */
const maxFrameSize = 4 * 1024 * 1024;
/** Maximum time from the connection to the hello of a peer. */
const helloTimeout: Milliseconds = 2000;
/** Time without traffic after which a connection is closed; peers send heartbeats every 500 ms. */
const idleTimeout: Milliseconds = 10_000;
/** Time to send the response to a refused peer before the connection is closed. */
const refusalGrace: Milliseconds = 100;

/** Accepts connections of peers. */
export class PeerServer {
  readonly #server: WebSocketServer;
  readonly #options: PeerServerOptions;
  #handle: ((socket: WebSocket, request: IncomingMessage) => void) | undefined;

  private constructor(server: WebSocketServer, options: PeerServerOptions) {
    this.#server = server;
    this.#options = options;
    server.on('connection', (socket, request) => {
      this.#accept(socket, request);
    });
    server.on('error', (error) => {
      options.eventLog.record('peer server failed', { detail: error.message });
    });
  }

  static listen(options: PeerServerOptions): ResultAsync<PeerServer, string> {
    return new ResultAsync(
      new Promise<Result<PeerServer, string>>((resolve) => {
        const server = new WebSocketServer({
          host: options.host,
          port: options.port,
          maxPayload: maxFrameSize,
          perMessageDeflate: false,
        });
        server.once('listening', () => {
          resolve(ok(new PeerServer(server, options)));
        });
        server.once('error', (error) => {
          resolve(err(error.message));
        });
      }),
    );
  }

  /** The address it listens on, `host:port`. */
  get address(): string {
    const { address, port, family } = this.#server.address() as AddressInfo;
    return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
  }

  /** Starts to serve. Before this, each new connection is closed at once. */
  start(self: Router, handlers: PeerHandlers): void {
    const router = peerProcedures({ self, secret: this.#options.secret, handlers });
    this.#handle = (socket, request) => {
      const context = this.#context(socket);
      getWSConnectionHandler({
        wss: this.#server,
        router,
        createContext: () => context,
        experimental_encoder: { ...frameCodec, decode: (data) => decodeFrame(data, context) },
      })(socket, request);
    };
  }

  /** Closes every connection and stops listening. */
  close(): void {
    for (const socket of this.#server.clients) socket.terminate();
    this.#server.close();
  }

  #accept(socket: WebSocket, request: IncomingMessage): void {
    request.socket.setNoDelay(true);
    // A peer that gets no acknowledgements on a connection opens another one, but cannot close this
    // end of the old one.
    request.socket.setTimeout(idleTimeout, () => {
      this.#options.metrics.count('peer.idle');
      socket.terminate();
    });
    this.#options.traffic.watch(request.socket);
    socket.on('error', (error) => {
      const isOversized = 'code' in error && error.code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH';
      const reason: RefusalReason = isOversized ? 'oversized' : 'malformed';
      this.#options.metrics.count('peer.refused', { reason });
    });
    if (this.#handle === undefined) socket.terminate();
    else this.#handle(socket, request);
  }

  #context(socket: WebSocket): PeerContext {
    const { metrics, eventLog, traffic } = this.#options;
    const context: PeerContext = {
      peer: undefined,
      refuse: (reason, detail) => {
        metrics.count('peer.refused', { reason });
        eventLog.record('peer refused', { reason, detail, peer: context.peer?.name ?? '' });
        setTimeout(() => {
          socket.terminate();
        }, refusalGrace);
      },
      received: (message: Message, bytes) => {
        traffic.message('in', message.kind, bytes);
      },
    };
    const timer = setTimeout(() => {
      if (context.peer === undefined) context.refuse('stranger', 'no hello in time');
    }, helloTimeout);
    socket.once('close', () => {
      clearTimeout(timer);
    });
    return context;
  }
}

/**
 * tRPC answers a frame that it cannot parse with an error and continues; here the peer is refused
 * too.
 */
function decodeFrame(data: string | ArrayBuffer | Uint8Array, context: PeerContext): unknown {
  try {
    return frameCodec.decode(data);
  } catch (error) {
    context.refuse('malformed', error instanceof Error ? error.message : 'not a frame');
    throw error;
  }
}
