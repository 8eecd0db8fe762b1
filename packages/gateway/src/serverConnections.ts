// Connections to servers, one pool for each start of a server, with one request at a time on each
// connection.

import type { ResponsePart } from '@catkinwheel/protocol';
import type { Milliseconds } from '@catkinwheel/state';
import { Exchange, type ResponseMatcher } from '@catkinwheel/transport/exchange';
import { Pool } from 'undici';

/** A server that does not accept a connection within this time is taken as out of reach. */
const connectTimeout: Milliseconds = 500;
/** Idle time after which a connection is not reused if the server states none. */
const idleTimeout: Milliseconds = 4_000;
/** How much earlier than the server states a connection is given up, for requests that cross its close. */
const idleMargin: Milliseconds = 700;
/** Largest header block of an answer in bytes. */
const headerLimit = 64 * 1024;

/** A request as it goes to a server. */
export interface Outgoing {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer | null;
}

/** Pools by server id. */
export class ServerConnections {
  readonly #pools = new Map<string, Pool>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): ServerConnections {
    return new ServerConnections();
  }

  /**
   * Sends a request once. A failure has verdict `notRun` exactly if no byte of it can have left. Aborting
   * `signal` closes the connection, upon which most servers stop. So does an answer that is not `isOurs`.
   */
  send(
    id: string,
    address: string,
    request: Outgoing,
    signal: AbortSignal,
    isOurs: ResponseMatcher,
  ): AsyncGenerator<ResponsePart, void, void> {
    const exchange = Exchange.create(request.method, false, signal, () => undefined, isOurs);
    this.#pool(id, address).dispatch({ ...request }, exchange);
    return exchange.pieces();
  }

  /** Later requests to the server use new connections; those under way keep theirs. */
  retire(id: string): void {
    const pool = this.#pools.get(id);
    this.#pools.delete(id);
    // Closing waits for the requests under way, which end by their own deadlines.
    pool?.close().catch(() => undefined);
  }

  /** Retires the pools of all servers but these. */
  keep(ids: ReadonlySet<string>): void {
    for (const id of this.#pools.keys()) if (!ids.has(id)) this.retire(id);
  }

  #pool(id: string, address: string): Pool {
    const known = this.#pools.get(id);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${address}`, {
      pipelining: 1,
      connect: { timeout: connectTimeout },
      keepAliveTimeout: idleTimeout,
      keepAliveTimeoutThreshold: idleMargin,
      // The relay watches the time, since only it knows how long a caller waits.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: headerLimit,
    });
    this.#pools.set(id, pool);
    return pool;
  }
}
