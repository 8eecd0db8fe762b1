// One outgoing WebSocket with a tRPC client. tRPC's own WebSocket client delays each send by a
// timer tick and reconnects by itself, both unwanted here, so this class implements a
// terminating `TRPCLink` itself.

import type { Milliseconds } from '@catkinwheel/state';
import { createTRPCClient, TRPCClientError, type Operation, type TRPCClient } from '@trpc/client';
import { observable } from '@trpc/server/observable';
import { err, ok, type Result } from 'neverthrow';
import { WebSocket } from 'ws';
import { frameCodec } from './frameCodec.js';
import type { PeerProcedures } from './procedures.js';
import type { Traffic } from './traffic.js';

/**
 * Maximum size of a response in bytes, above the largest catalogue snapshot expected (about 8 MB).
 */
const maxResponseBytes = 64 * 1024 * 1024;

interface PendingRequest {
  readonly path: string;
  readonly sentAt: Milliseconds;
  readonly settle: (response: RpcResponse) => void;
}

/** The fields of a tRPC response that queries and mutations use. */
interface RpcResponse {
  readonly id?: number | null;
  readonly result?: { readonly data?: unknown } | undefined;
  readonly error?: unknown;
}

export class Connection {
  readonly client: TRPCClient<PeerProcedures>;
  readonly #socket: WebSocket;
  readonly #pending = new Map<number, PendingRequest>();
  #nextId = 1;

  private constructor(socket: WebSocket) {
    this.#socket = socket;
    this.client = createTRPCClient<PeerProcedures>({
      links: [
        () =>
          ({ op }) =>
            observable((observer) => {
              this.#request(op, (response) => {
                if ('result' in response) {
                  observer.next({ result: { type: 'data', data: response.result?.data } });
                  observer.complete();
                } else {
                  observer.error(TRPCClientError.from(response as never));
                }
              });
            }),
      ],
    });
    socket.on('message', (data, isBinary) => {
      this.#receive(data as Buffer, isBinary);
    });
    socket.once('close', () => {
      this.#failAll('the connection was closed');
    });
  }

  /** Connects to `address` (`host:port`) within `timeout`. */
  static open(
    address: string,
    timeout: Milliseconds,
    traffic: Traffic,
  ): Promise<Result<Connection, string>> {
    return new Promise((resolve) => {
      const socket = new WebSocket(`ws://${address}`, {
        handshakeTimeout: timeout,
        maxPayload: maxResponseBytes,
        perMessageDeflate: false,
      });
      socket.once('upgrade', (response) => {
        response.socket.setNoDelay(true);
        traffic.watch(response.socket);
      });
      socket.once('open', () => {
        resolve(ok(new Connection(socket)));
      });
      // Pending requests are failed on `close`, which follows each error. Without this listener, an
      // error would end the process.
      socket.on('error', (error) => {
        resolve(err(error.message));
      });
    });
  }

  get isOpen(): boolean {
    return this.#socket.readyState === WebSocket.OPEN;
  }

  /** Bytes in the write buffer of the socket. */
  get buffered(): number {
    return this.#socket.bufferedAmount;
  }

  /**
   * When the oldest `deliver` without an acknowledgement was sent; undefined if there is none.
   * Other requests do not count, since they may take longer, such as a transaction relayed
   * for a router that cannot reach the platform, while the platform is slow.
   */
  get oldestUnacknowledged(): Milliseconds | undefined {
    for (const { sentAt, path } of this.#pending.values()) if (path === 'deliver') return sentAt;
    return undefined;
  }

  /** Resolves once the connection is closed. */
  whenClosed(): Promise<void> {
    if (this.#socket.readyState === WebSocket.CLOSED) return Promise.resolve();
    return new Promise((resolve) => {
      this.#socket.once('close', () => {
        resolve();
      });
    });
  }

  /** Closes the connection without a closing handshake, which a silent peer would not answer. */
  terminate(): void {
    this.#socket.terminate();
    this.#failAll('the connection was dropped');
  }

  #request(op: Operation, settle: (response: RpcResponse) => void): void {
    const id = this.#nextId++;
    if (!this.isOpen) {
      settle(failedResponse('the connection is closed'));
      return;
    }
    this.#pending.set(id, { path: op.path, sentAt: performance.now(), settle });
    const params = { path: op.path, input: op.input };
    this.#socket.send(frameCodec.encode({ id, method: op.type, params }));
  }

  #receive(data: Buffer, isBinary: boolean): void {
    const response = isBinary ? undefined : parseResponse(data.toString());
    const id = response?.id;
    if (response === undefined || typeof id !== 'number') {
      this.terminate();
      return;
    }
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    pending?.settle(response);
  }

  #failAll(detail: string): void {
    const all = [...this.#pending.values()];
    this.#pending.clear();
    for (const { settle } of all) settle(failedResponse(detail));
  }
}

/** An error response in the form of tRPC's. Only its message is read. */
function failedResponse(message: string): RpcResponse {
  return { error: { code: -32603, message, data: { code: 'CLIENT_CLOSED_REQUEST' } } };
}

function parseResponse(text: string): RpcResponse | undefined {
  try {
    const value = frameCodec.decode(text);
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
