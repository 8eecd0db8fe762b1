// Connection pools to servers: one pool for each instance, since the next one with its id may be at another address, and no
// pipelining.

import { instanceKey, type ServerInstance } from '@catkinwheel/coordination/routing';
import type { ResponsePart } from '@catkinwheel/protocol';
import type { Milliseconds } from '@catkinwheel/state';
import { Exchange, type ResponseMatcher } from '@catkinwheel/transport/exchange';
import { ServerPool } from '@catkinwheel/transport/serverPool';

/** A server that does not accept a connection within this time counts as unreachable. */
const connectTimeout: Milliseconds = 500;
/** Idle time after which a connection is not reused, if the server states no keep-alive timeout. */
const defaultKeepAlive: Milliseconds = 4_000;
/** A connection is given up this much before the server's keep-alive timeout, so that no request crosses its close. */
const keepAliveMargin: Milliseconds = 700;
/** Largest header block of a response in bytes. */
const maxHeaderBytes = 64 * 1024;

/** A request as sent to a server. */
export interface Outgoing {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer | null;
}

/** What ends a request before its response is complete. */
export interface Cancellation {
  /** Closes the connection, on which most servers stop. */
  readonly aborted: AbortSignal;
  /** Ends the request only as long as no byte of it can have left. */
  readonly withdrawn: AbortSignal;
}

/** Pools by the key of their instances. */
export class ServerConnections {
  readonly #pools = new Map<string, ServerPool>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): ServerConnections {
    return new ServerConnections();
  }

  /**
   * Sends a request once. A failure has the verdict `notRun` exactly if no byte of the request can have left. A response
   * for which `isOwnResponse` is false closes the connection.
   */
  send(
    server: ServerInstance,
    request: Outgoing,
    { aborted, withdrawn }: Cancellation,
    isOwnResponse: ResponseMatcher,
  ): AsyncGenerator<ResponsePart, void, void> {
    const exchange = Exchange.create(
      request.method,
      false,
      aborted,
      () => undefined,
      isOwnResponse,
    );
    const withdraw = (): void => {
      exchange.withdraw();
    };
    if (withdrawn.aborted) withdraw();
    else withdrawn.addEventListener('abort', withdraw, { once: true });
    this.#pool(server).send(request, exchange);
    return exchange.parts();
  }

  /** Makes later requests to the server use new connections; requests in flight keep theirs. */
  retire(server: ServerInstance): void {
    this.#retire(instanceKey(server));
  }

  /** Retires the pools of all other instances. */
  retireExcept(servers: readonly ServerInstance[]): void {
    const kept = new Set(servers.map(instanceKey));
    for (const key of this.#pools.keys()) if (!kept.has(key)) this.#retire(key);
  }

  #retire(key: string): void {
    const pool = this.#pools.get(key);
    this.#pools.delete(key);
    // Closing waits for the requests in flight, which end by their own deadlines.
    pool?.close().catch(() => undefined);
  }

  #pool(server: ServerInstance): ServerPool {
    const key = instanceKey(server);
    const known = this.#pools.get(key);
    if (known !== undefined) return known;
    const pool = ServerPool.create(server.address, {
      connect: { timeout: connectTimeout },
      keepAliveTimeout: defaultKeepAlive,
      keepAliveTimeoutThreshold: keepAliveMargin,
      // `RequestHandler` has its own timeouts, since only it knows how long a caller waits.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: maxHeaderBytes,
    });
    this.#pools.set(key, pool);
    return pool;
  }
}
