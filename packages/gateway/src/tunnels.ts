// Connections of callers that another router serves. Their bytes pass through unread in both directions, which costs this
// router a part of what relaying their requests would.

import { connect, type Socket } from 'node:net';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { Log } from './log.js';

/** A router that has not taken a connection by then is gone, frozen or cut off; a way within a region takes some ms. */
const openTime: Milliseconds = 200;
/** A stream may pause for so long between events; callers leave then. */
const longestPause: Milliseconds = 4_000;

/** An address that takes connections of other routers' callers. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

interface Tunnel {
  /** Address of the router at the far end; undefined until it is reached. */
  readonly host: string | undefined;
  /** When a byte was last seen. */
  readonly last: Milliseconds;
  /** Whether that byte came from the caller, who waits for an answer. */
  readonly isAsked: boolean;
}

/** The tunnels of one router. */
export class Tunnels {
  /** By the caller's connection. */
  readonly #open = new Map<Socket, Tunnel>();
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

  /** Whether no tunnel is open. */
  get isEmpty(): boolean {
    return this.#open.size === 0;
  }

  /** Tunnels on which an answer is due or may go on. */
  get busy(): number {
    const oldest = this.clock.now() - longestPause;
    return [...this.#open.values()].filter(({ last, isAsked }) => isAsked || last >= oldest).length;
  }

  /** Resets tunnels to routers that are gone, frozen or cut off, whose callers would wait for nothing. */
  drop(isLost: (host: string) => boolean): void {
    for (const [caller, { host }] of this.#open) {
      if (host === undefined || !isLost(host)) continue;
      this.log.write('tunnel lost', { ip: host, detail: 'the router is silent' });
      caller.resetAndDestroy();
    }
  }

  /**
   * Joins a caller's connection, of which nothing was read, with a new one to `end`, or to `fallback` if that cannot be
   * opened. What closes or resets one of them does the same to the other.
   */
  async join(caller: Socket, end: Endpoint, fallback: Endpoint): Promise<void> {
    caller.on('error', (error) => {
      this.log.write('tunnelled caller lost', { detail: error.message });
    });
    this.#opened += 1;
    this.#open.set(caller, { host: undefined, last: this.clock.now(), isAsked: true });
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
  #connect({ host, port }: Endpoint): Promise<Socket | undefined> {
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
    const host = far.remoteAddress;
    const note = (isAsked: boolean) => (): void => {
      if (this.#open.has(caller)) this.#open.set(caller, { host, last: this.clock.now(), isAsked });
    };
    caller.on('data', note(true));
    far.on('data', note(false));
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
