// The listening side of router links.

import type { Message } from '@catkinwheel/protocol';
import type { Milliseconds, Router } from '@catkinwheel/state';
import { getWSConnectionHandler } from '@trpc/server/adapters/ws';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { WebSocketServer, type WebSocket } from 'ws';
import { frames } from './frame.js';
import type { EventLog } from './link.js';
import { peerRouter, type PeerContext, type PeerHandlers, type Refusal } from './procedures.js';
import type { Counters, Traffic } from './traffic.js';

export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly secret: string;
  readonly metrics: Counters;
  readonly eventLog: EventLog;
  readonly traffic: Traffic;
}

/** Largest frame accepted: four times the largest batch that a link sends. */
const largestFrame = 4 * 1024 * 1024;
/** Time in which a peer must identify itself. */
const helloTimeout: Milliseconds = 2000;
/** Time without any byte after which a connection is dropped; peers send heartbeats every 500 ms. */
const idleTimeout: Milliseconds = 10_000;
/** Time for the answer to a refused peer to leave before the connection is dropped. */
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
          maxPayload: largestFrame,
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

  /** Starts to serve; before that, connections are closed. */
  start(self: Router, handlers: PeerHandlers): void {
    const router = peerRouter({ self, secret: this.#options.secret, handlers });
    this.#handle = (socket, request) => {
      const context = this.#context(socket);
      getWSConnectionHandler({
        wss: this.#server,
        router,
        createContext: () => context,
        experimental_encoder: { ...frames, decode: (data) => decoded(data, context) },
      })(socket, request);
    };
  }

  /** Drops every connection and stops listening. */
  close(): void {
    for (const socket of this.#server.clients) socket.terminate();
    this.#server.close();
  }

  #accept(socket: WebSocket, request: IncomingMessage): void {
    request.socket.setNoDelay(true);
    // A peer that finds its connection silent opens another and cannot close this end of the old one.
    request.socket.setTimeout(idleTimeout, () => {
      this.#options.metrics.count('peer.idle');
      socket.terminate();
    });
    this.#options.traffic.watch(request.socket);
    socket.on('error', (error) => {
      const oversized = 'code' in error && error.code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH';
      const reason: Refusal = oversized ? 'oversized' : 'malformed';
      this.#options.metrics.count('peer.refused', { reason });
    });
    if (this.#handle === undefined) socket.terminate();
    else this.#handle(socket, request);
  }

  #context(socket: WebSocket): PeerContext {
    const { metrics, eventLog: journal, traffic } = this.#options;
    const context: PeerContext = {
      peer: undefined,
      refuse: (reason, detail) => {
        metrics.count('peer.refused', { reason });
        journal.record('peer refused', { reason, detail, peer: context.peer?.name ?? '' });
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

/** trpc answers a frame that it cannot parse, and goes on; here the peer is refused as well. */
function decoded(data: string | ArrayBuffer | Uint8Array, context: PeerContext): unknown {
  try {
    return frames.decode(data);
  } catch (error) {
    context.refuse('malformed', error instanceof Error ? error.message : 'not a frame');
    throw error;
  }
}
