// HTTP client of servers, with a pool of connections per server. A connection carries one exchange
// at a time, so that a response can be assigned to the wrong request only if the server itself
// confuses them.

import type { Attempt, ResponsePart, ServerRequest } from '@catkinwheel/protocol';
import { requestIdHeader } from '@catkinwheel/protocol';
import type { Milliseconds } from '@catkinwheel/state';
import type { Dispatcher } from 'undici';
import { Exchange, type ResponseMatcher } from './exchange.js';
import { ServerPool } from './serverPool.js';

/**
 * Maximum time to connect. The round trip to a server takes a few milliseconds, so a slower one is
 * considered down.
 */
const connectTimeout: Milliseconds = 1_000;
/**
 * Idle time after which a connection is not reused; shorter than the 5 s after which common servers
 * close it.
 */
const keepAliveTimeout: Milliseconds = 4_000;
/** Maximum time of a request to cancel an attempt. */
const cancelTimeout: Milliseconds = 2_000;
/** Maximum size of the header of a response in bytes. */
const maxResponseHeaderSize = 64 * 1024;

/** HTTP client of servers. Implements `Backend` of the coordination package. */
export class HttpBackend {
  readonly #pools = new Map<string, ServerPool>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): HttpBackend {
    return new HttpBackend();
  }

  /**
   * Sends an attempt once. A failure has the verdict `notRun` if and only if no byte of the request
   * can have been sent. Aborting `signal` closes the connection.
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
    // Connections that were open when the stream broke off may be dead too.
    this.#retire(address);
    const path = `/v1/streams/${encodeURIComponent(attempt)}?offset=${offset}`;
    const headers = { [requestIdHeader]: attempt };
    const request = { method: 'GET', path, headers, body: null };
    return this.#exchange(address, attempt, request, 'events', signal);
  }

  /** Asks the server to stop the execution of an attempt. Best effort; never rejects. */
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
      // The server also stops when it detects the closed connection.
    }
  }

  /** Closes all connections; exchanges in progress fail. */
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
      if (hangReasons.has(signal.reason)) this.#retire(address);
    };
    const isMatching: ResponseMatcher = (_, headers) => headers[requestIdHeader] === id;
    const exchange = Exchange.create(
      request.method,
      body === 'events',
      signal,
      onCancel,
      isMatching,
    );
    this.#pool(address).send(optionsOf(request), exchange);
    return exchange.parts();
  }

  #pool(address: string): ServerPool {
    const existing = this.#pools.get(address);
    if (existing !== undefined) return existing;
    const pool = ServerPool.create(address, {
      connect: { timeout: connectTimeout },
      keepAliveTimeout,
      // Time-outs are left to the execution, since only it knows which responses contain keep-alive
      // comments.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: maxResponseHeaderSize,
    });
    this.#pools.set(address, pool);
    return pool;
  }

  /** Makes later exchanges use new connections; those in progress keep theirs. */
  #retire(address: string): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    pool?.close().catch(() => undefined);
  }
}

/**
 * Abort reasons after which the other open connections to the server are suspected to be dead too.
 */
const hangReasons: ReadonlySet<unknown> = new Set(['silentConnection', 'deadline']);

function optionsOf(request: ServerRequest): Dispatcher.DispatchOptions {
  return {
    method: request.method,
    path: request.path,
    headers: request.headers as Record<string, string | string[]>,
    body: request.body,
  };
}
