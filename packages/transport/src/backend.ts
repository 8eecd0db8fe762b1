// Requests to servers: one pool of connections per server and one exchange at a time on each, so that
// an answer can only be confused with another if the server itself confuses them.

import type { Attempt, ResponsePart, ServerRequest } from '@catkinwheel/protocol';
import { requestIdHeader } from '@catkinwheel/protocol';
import type { Milliseconds } from '@catkinwheel/state';
import { Pool, type Dispatcher } from 'undici';
import { Exchange, type ResponseMatcher } from './exchange.js';

/** Servers are a few milliseconds away; one that does not accept within this time is taken as gone. */
const connectTimeout: Milliseconds = 1_000;
/** Idle time after which a connection is not reused, shorter than the 5 s of common servers. */
const keepAliveTimeout: Milliseconds = 4_000;
/** Time to wait for the answer to a cancellation. */
const cancelTimeout: Milliseconds = 2_000;
/** Largest header block of an answer in bytes. */
const headerLimit = 64 * 1024;

/** HTTP requests to servers. Implements `Backend` of the coordination package. */
export class HttpBackend {
  readonly #pools = new Map<string, Pool>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): HttpBackend {
    return new HttpBackend();
  }

  /**
   * Sends an attempt once. A failure has verdict `notRun` exactly if no byte of it can have left.
   * Aborting `signal` closes the connection.
   */
  send(
    address: string,
    attempt: Attempt,
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void> {
    const { method, path, headers, body } = attempt.request;
    const fields = { ...headers, [requestIdHeader]: attempt.id };
    const request = { method, path, headers: fields, body };
    return this.#exchange(address, attempt.id, request, attempt.body, signal);
  }

  /** Continues the stream of an attempt after `offset` tokens, on a new connection. */
  resume(
    address: string,
    attempt: string,
    offset: number,
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void> {
    // Connections that were open when the stream was cut may be as dead as its own.
    this.#retire(address);
    const path = `/v1/streams/${encodeURIComponent(attempt)}?offset=${offset}`;
    const headers = { [requestIdHeader]: attempt };
    const request = { method: 'GET', path, headers, body: null };
    return this.#exchange(address, attempt, request, 'events', signal);
  }

  /** Asks the server to stop working on an attempt. Best effort; never rejects. */
  async cancel(address: string, attempt: string): Promise<void> {
    try {
      const { body } = await this.#pool(address).request({
        method: 'DELETE',
        path: `/v1/streams/${encodeURIComponent(attempt)}`,
        headers: { [requestIdHeader]: attempt },
        signal: AbortSignal.timeout(cancelTimeout),
      });
      await body.dump();
    } catch {
      // The server also stops when it notices that nobody reads.
    }
  }

  /** Closes all connections; exchanges under way fail. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #exchange(
    address: string,
    id: string,
    request: ServerRequest,
    body: Attempt['body'],
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void> {
    const onCancel = (): void => {
      if (hungReasons.has(signal.reason)) this.#retire(address);
    };
    const isOurs: ResponseMatcher = (_, headers) => headers[requestIdHeader] === id;
    const exchange = Exchange.create(request.method, body === 'events', signal, onCancel, isOurs);
    this.#pool(address).dispatch(optionsOf(request), exchange);
    return exchange.pieces();
  }

  #pool(address: string): Pool {
    const known = this.#pools.get(address);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${address}`, {
      pipelining: 1,
      connect: { timeout: connectTimeout },
      keepAliveTimeout,
      // The execution watches the time, since only it knows which answers promise signs of life.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: headerLimit,
    });
    this.#pools.set(address, pool);
    return pool;
  }

  /** Later exchanges use new connections; those under way keep theirs. */
  #retire(address: string): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    pool?.close().catch(() => undefined);
  }
}

/** Reasons of an abort that make the other open connections to the server doubtful. */
const hungReasons: ReadonlySet<unknown> = new Set(['silentConnection', 'deadline']);

function optionsOf(request: ServerRequest): Dispatcher.DispatchOptions {
  return {
    method: request.method,
    path: request.path,
    headers: request.headers as Record<string, string | string[]>,
    body: request.body,
  };
}
