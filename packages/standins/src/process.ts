// What every stand-in process does alike: read its settings, listen, say that it is ready, and
// end with its parent.

import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createAdaptorServer } from '@hono/node-server';
import type { ColdCause } from './capacity.js';

/** A hono application, whatever its bindings. */
type App = Pick<Parameters<typeof createAdaptorServer>[0], 'fetch'>;

/** Settings from the command line, one JSON object, over `defaults`. */
export function settingsFrom<T extends object>(defaults: T): T {
  const argument = process.argv[2];
  if (argument === undefined) return defaults;
  return { ...defaults, ...(JSON.parse(argument) as Partial<T>) };
}

/** Ends this process when its parent ends or closes the pipe to it. */
export function endWithParent(): void {
  process.stdin.on('end', () => process.exit(0));
  process.stdin.on('error', () => process.exit(0));
  process.stdin.resume();
}

/** Something that a stand-in tells the harness. Writes to a pipe outlive a process that is killed. */
export type Notice =
  | { readonly event: 'ready'; readonly address: string; readonly control: string }
  /** The request or payment of this key begins to be executed. */
  | { readonly event: 'ran'; readonly key: string }
  /** The server was given more than it bears while cold. */
  | { readonly event: 'overload'; readonly running: number; readonly cause: ColdCause };

/** Prints a notice as one line. */
export function say(notice: Notice): void {
  console.log(JSON.stringify(notice));
}

/** An HTTP listener on loopback whose open connections tests can cut, silence or refuse. */
export class Listener {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #port = 0;

  private constructor(server: Server) {
    this.#server = server;
    server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => this.#sockets.delete(socket));
    });
  }

  /** Listens on `port`, or on one that the system chooses if it is 0. */
  static async create(app: App, port = 0): Promise<Listener> {
    const server = createAdaptorServer({ fetch: app.fetch }) as Server;
    server.keepAliveTimeout = 60_000;
    const listener = new Listener(server);
    listener.#port = port;
    await listener.open();
    return listener;
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** Accepts connections again after `refuse`. */
  async open(): Promise<void> {
    if (this.#server.listening) return;
    await new Promise<void>((resolve) => this.#server.listen(this.#port, '127.0.0.1', resolve));
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Cuts all connections and refuses new ones. */
  async refuse(): Promise<void> {
    if (!this.#server.listening) return;
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.cut();
    await closed;
  }

  /** Cuts all open connections. */
  cut(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Sends nothing more on the connections open now; later ones work. */
  silence(): void {
    // A corked socket keeps what is written to it; the HTTP server's own corking is counted
    // separately and never undoes this one.
    for (const socket of this.#sockets) socket.cork();
  }
}
