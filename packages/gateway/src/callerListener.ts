// Listens for callers' connections. The length of an accept queue is set when its listener is opened, but what its router accepts in
// time changes. A listener that is opened again would reset all connections that wait, whose callers could not tell whether their
// requests have run; so the operating system is told the new length of the open one.

import { createServer, type Server, type Socket } from 'node:net';
import { getSystemErrorName } from 'node:util';
import type { AcceptQueue } from '@catkinwheel/coordination/routing';
import type { Milliseconds } from '@catkinwheel/state';
import { AcceptProbe } from './acceptProbe.js';
import type { Log } from './log.js';
import type { Endpoint } from './tunnels.js';

/** Takes a connection that had to wait for about `wait` until it was accepted. */
export type ConnectionHandler = (socket: Socket, wait: Milliseconds) => void;

/** Accepts connections through a queue whose length follows what can be accepted in time. */
export class CallerListener {
  readonly #server: Server;
  /** Whether the length cannot be changed. */
  #hasFixedLength = false;

  private constructor(
    private readonly queue: AcceptQueue,
    private readonly log: Log,
    onConnection: ConnectionHandler,
  ) {
    this.#server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
      const { wait } = queue;
      const isCaller = probe.accept(socket);
      this.#setLength();
      if (isCaller) onConnection(socket, wait);
    });
    const probe = AcceptProbe.create(this.#server, queue, log);
  }

  static create(queue: AcceptQueue, log: Log, onConnection: ConnectionHandler): CallerListener {
    return new CallerListener(queue, log, onConnection);
  }

  /** Listens at `endpoint`. Rejects if it is in use. */
  listen(endpoint: Endpoint): Promise<void> {
    return listen(this.#server, endpoint, this.queue.length);
  }

  /** Stops listening; accepted connections go on. */
  close(): void {
    this.#server.close();
  }

  #setLength(): void {
    const length = this.#hasFixedLength ? undefined : this.queue.newLength();
    if (length === undefined) return;
    const error = setBacklog(this.#server, length);
    this.#hasFixedLength = error !== undefined;
    const interval = Math.round(this.queue.interval);
    this.log.write('accept queue', { length, before: this.queue.length, interval, error });
    if (error === undefined) this.queue.setLength(length);
  }
}

/** Has a server listen at an endpoint with an accept queue of `backlog` connections. Rejects if the endpoint is in use. */
export function listen(server: Server, { host, port }: Endpoint, backlog: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog }, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** The part of a server's handle that sets the length of its accept queue, as listen(2) does on a socket that listens already. */
interface ListeningHandle {
  /** Returns 0, or the negative number of an error. Node.js does not document it, and other versions may have no such call. */
  readonly listen?: (backlog: number) => number;
}

/** Sets the length of the accept queue of a server that listens. Returns the name of the error if it is not set. */
function setBacklog(server: Server, backlog: number): string | undefined {
  const { _handle: handle } = server as unknown as { readonly _handle: ListeningHandle | null };
  const result = handle?.listen?.(backlog);
  if (result === undefined) return 'unsupported';
  return result === 0 ? undefined : getSystemErrorName(result);
}
