// Connections of callers that another router serves. Their bytes pass through unread in both directions, which costs this
// router a part of what relaying their requests would.

import { connect, type Socket } from 'node:net';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { Log } from './log.js';

/** A router that has not taken a connection by then is gone, frozen or cut off; a way within a region takes some ms. */
const openTime: Milliseconds = 200;
/** A tunnel without a byte for so long carries no request: callers have left by then, or have been refused. */
const quietTime: Milliseconds = 4_000;

/** An address that takes connections of other routers' callers. */
export interface TunnelEnd {
  readonly host: string;
  readonly port: number;
}

/** The tunnels of one router. */
export class Tunnels {
  /** Callers' connections, and when a byte was last seen on each. */
  readonly #open = new Map<Socket, Milliseconds>();
  #opened = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  static create(clock: Clock, log: Log): Tunnels {
    return new Tunnels(clock, log);
  }

  /** Tunnels that were opened until now. */
  get opened(): number {
    return this.#opened;
  }

  /** Tunnels that may carry a request. */
  get busy(): number {
    const oldest = this.clock.now() - quietTime;
    return [...this.#open.values()].filter((last) => last >= oldest).length;
  }

  /**
   * Joins a caller's connection, of which nothing was read, with a new one to `end`, or to `fallback` if that cannot be
   * opened. What closes or resets one of them does the same to the other.
   */
  async join(caller: Socket, end: TunnelEnd, fallback: TunnelEnd): Promise<void> {
    caller.on('error', (error) => {
      this.log.write('tunnelled caller lost', { detail: error.message });
    });
    this.#opened += 1;
    this.#open.set(caller, this.clock.now());
    caller.once('close', () => this.#open.delete(caller));
    const far = (await this.#connect(end)) ?? (await this.#connect(fallback));
    if (far === undefined || caller.destroyed) {
      caller.destroy();
      far?.destroy();
      return;
    }
    this.#pipe(caller, far);
  }

  /** Closes all tunnels. */
  close(): void {
    for (const caller of this.#open.keys()) caller.destroy();
  }

  /** Resolves without a connection if it cannot be opened in time. */
  #connect({ host, port }: TunnelEnd): Promise<Socket | undefined> {
    return new Promise((resolve) => {
      const socket = connect({ host, port, noDelay: true, allowHalfOpen: true, timeout: openTime });
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

  #pipe(caller: Socket, far: Socket): void {
    const note = (): void => {
      this.#open.set(caller, this.clock.now());
    };
    caller.on('data', note);
    far.on('data', note);
    caller.pipe(far);
    far.pipe(caller);
    far.on('error', (error) => {
      // An answer that ends early must not look complete.
      this.log.write('tunnel lost', { ip: far.remoteAddress, detail: error.message });
      caller.resetAndDestroy();
    });
    caller.on('close', () => {
      far.destroy();
    });
    far.on('close', () => {
      caller.destroySoon();
    });
  }
}
