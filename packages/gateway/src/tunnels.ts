// Tunnels for callers' connections that another router serves. Bytes pass through unparsed in both directions, which costs
// this router only a part of what serving the requests would.

import { connect, type Socket } from 'node:net';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { Log } from './log.js';

/** A router that does not accept within this time is gone, frozen or partitioned; latency within a region is some ms. */
const connectTimeout: Milliseconds = 200;
/** Longest pause between events of a stream: callers abandon it then. */
const maxEventGap: Milliseconds = 4_000;

/** Address at which a router takes handed-over connections. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

interface Tunnel {
  /** Address of the router at the far end; undefined until the tunnel is connected. */
  readonly host: string | undefined;
  /** Time of the last byte in either direction. */
  readonly last: Milliseconds;
  /** Whether that byte came from the caller, so that a response is due. */
  readonly isAsked: boolean;
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

  /** Number of tunnels on which a response is due or may continue. */
  get busy(): number {
    const oldest = this.clock.now() - maxEventGap;
    return [...this.#tunnels.values()].filter(({ last, isAsked }) => isAsked || last >= oldest)
      .length;
  }

  /** Resets tunnels to routers that are gone, frozen or partitioned, whose callers would wait in vain. */
  drop(isLost: (host: string) => boolean): void {
    for (const [caller, { host }] of this.#tunnels) {
      if (host === undefined || !isLost(host)) continue;
      this.log.write('tunnel lost', { ip: host, detail: 'the router is silent' });
      caller.resetAndDestroy();
    }
  }

  /**
   * Connects a caller's connection, from which nothing was read yet, to `end`, or to `fallback` if `end` cannot be reached.
   * A close or reset of either side is passed to the other.
   */
  async open(caller: Socket, end: Endpoint, fallback: Endpoint): Promise<void> {
    caller.on('error', (error) => {
      this.log.write('tunnelled caller lost', { detail: error.message });
    });
    this.#openedCount += 1;
    this.#tunnels.set(caller, { host: undefined, last: this.clock.now(), isAsked: true });
    caller.once('close', () => this.#tunnels.delete(caller));
    const remote = (await this.#connect(end)) ?? (await this.#connect(fallback));
    if (remote === undefined || caller.destroyed) {
      caller.destroy();
      remote?.destroy();
      return;
    }
    this.#pipe(caller, remote);
  }

  /** Closes all tunnels. */
  close(): void {
    for (const caller of this.#tunnels.keys()) caller.destroy();
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

  #pipe(caller: Socket, remote: Socket): void {
    const host = remote.remoteAddress;
    const recordByte = (isAsked: boolean) => (): void => {
      if (this.#tunnels.has(caller))
        this.#tunnels.set(caller, { host, last: this.clock.now(), isAsked });
    };
    caller.on('data', recordByte(true));
    remote.on('data', recordByte(false));
    caller.pipe(remote);
    remote.pipe(caller);
    remote.on('error', (error) => {
      // A response that ends early must not look complete, so the caller's connection is reset, not closed.
      this.log.write('tunnel lost', { ip: remote.remoteAddress, detail: error.message });
      caller.resetAndDestroy();
    });
    caller.on('close', () => {
      remote.destroy();
    });
    remote.on('close', () => {
      caller.destroySoon();
    });
  }
}
