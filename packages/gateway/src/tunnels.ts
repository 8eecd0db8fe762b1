// Tunnels for callers' connections whose first request another router serves. Bytes pass through unparsed in both directions,
// which costs this router only a part of what serving the request would. The other router closes a tunnel after one response,
// so a caller whose tunnel is lost before the first byte of it gets an error response from this router.

import { connect, type Socket } from 'node:net';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { hasLeft } from './callerPresence.js';
import type { Log } from './log.js';
import { sendRawResponse, type ErrorStatus } from './rawResponse.js';

/** A router that does not accept within this time is gone, frozen or partitioned; latency within a region is some ms. */
const connectTimeout: Milliseconds = 200;

/** Address at which a router takes handed-over connections. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** The request on a handed-over connection. */
export interface RelayedRequest {
  /** Pauses the caller's connection. Returns the bytes of the request that this router has read. */
  readonly takeBytes: () => Buffer;
  /** The request id, empty if the request has none. */
  readonly id: string;
  /** When the other router has to have begun its response. */
  readonly answerBy: Milliseconds;
}

interface Tunnel {
  /** Address of the router at the far end. */
  readonly host: string;
  readonly request: Omit<RelayedRequest, 'takeBytes'>;
  readonly remote: Socket;
  /** Whether the response has begun. */
  readonly hasResponse: boolean;
}

/** The tunnels of one router. */
export class Tunnels {
  /** Open tunnels by the caller's connection. */
  readonly #tunnels = new Map<Socket, Tunnel>();
  #openedCount = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  static create(clock: Clock, log: Log): Tunnels {
    return new Tunnels(clock, log);
  }

  /** Number of tunnels opened since the start. */
  get openedCount(): number {
    return this.#openedCount;
  }

  /** Whether no tunnel is open. */
  get isEmpty(): boolean {
    return this.#tunnels.size === 0;
  }

  /** Ends tunnels to routers that are gone, frozen or partitioned, and those whose response is overdue. */
  endLost(isLost: (host: string) => boolean): void {
    const now = this.clock.now();
    for (const [caller, { host, request, hasResponse }] of this.#tunnels) {
      if (isLost(host)) this.#lose(caller, '502 Bad Gateway', 'the router is silent');
      else if (!hasResponse && now > request.answerBy)
        this.#lose(caller, '504 Gateway Timeout', 'the response is overdue');
    }
  }

  /**
   * Connects a caller's connection to `end`, which serves the request on it. Resolves with whether that succeeded; otherwise
   * nothing was passed on, and the connection is unchanged. Ends the connection of a caller that has left.
   */
  async open(caller: Socket, request: RelayedRequest, end: Endpoint): Promise<boolean> {
    caller.on('error', (error) => {
      this.log.write('tunnelled caller lost', { detail: error.message });
    });
    const remote = await this.#connect(end);
    if (remote === undefined) return false;
    if (hasLeft(caller)) {
      remote.destroy();
      caller.destroy();
      return true;
    }
    this.#openedCount += 1;
    const { takeBytes, id, answerBy } = request;
    remote.write(takeBytes());
    this.#pipe(caller, { host: end.host, request: { id, answerBy }, remote, hasResponse: false });
    return true;
  }

  /** Ends all tunnels. */
  close(): void {
    for (const caller of this.#tunnels.keys())
      this.#lose(caller, '502 Bad Gateway', 'the router stops');
  }

  /** Resolves with undefined if the connection cannot be opened in time. */
  #connect({ host, port }: Endpoint): Promise<Socket | undefined> {
    return new Promise((resolve) => {
      const socket = connect({
        host,
        port,
        noDelay: true,
        allowHalfOpen: true,
        timeout: connectTimeout,
      });
      const fail = (detail: string): void => {
        this.log.write('tunnel not opened', { ip: host, detail });
        socket.destroy();
        resolve(undefined);
      };
      const onError = (error: Error): void => {
        fail(error.message);
      };
      const onTimeout = (): void => {
        fail('no answer');
      };
      socket.once('error', onError);
      socket.once('timeout', onTimeout);
      socket.once('connect', () => {
        socket.setTimeout(0);
        socket.off('error', onError);
        socket.off('timeout', onTimeout);
        resolve(socket);
      });
    });
  }

  #pipe(caller: Socket, tunnel: Tunnel): void {
    const { remote } = tunnel;
    this.#tunnels.set(caller, tunnel);
    caller.on('close', () => {
      this.#tunnels.delete(caller);
      remote.destroy();
    });
    remote.once('data', () => {
      if (this.#tunnels.has(caller)) this.#tunnels.set(caller, { ...tunnel, hasResponse: true });
    });
    remote.on('error', (error) => {
      this.#lose(caller, '502 Bad Gateway', error.message);
    });
    const onEnd = (): void => {
      if (this.#tunnels.get(caller)?.hasResponse === true) caller.destroySoon();
      else this.#lose(caller, '502 Bad Gateway', 'closed without a response');
    };
    remote.on('end', onEnd).on('close', onEnd);
    caller.pipe(remote);
    remote.pipe(caller, { end: false });
  }

  /** Ends a tunnel whose other end is lost: with an error response, or with a reset if a response has begun. */
  #lose(caller: Socket, status: ErrorStatus, detail: string): void {
    const tunnel = this.#tunnels.get(caller);
    if (tunnel === undefined) return;
    const { host, request, remote, hasResponse } = tunnel;
    this.#tunnels.delete(caller);
    this.log.write('tunnel lost', {
      ip: host,
      detail,
      id: request.id,
      status: hasResponse ? undefined : Number(status.slice(0, 3)),
    });
    caller.unpipe(remote);
    remote.destroy();
    // A response that ends early must not look complete.
    if (hasResponse) caller.resetAndDestroy();
    else sendRawResponse(caller, request.id, { status });
  }
}
