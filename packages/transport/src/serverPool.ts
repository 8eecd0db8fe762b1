// Pools of connections to a server that count the bytes received on each connection. The HTTP parser reports headers and
// bodies only, so an exchange does not notice bytes that are neither, such as a chunk extension without end.

import type { Socket } from 'node:net';
import { Client, Pool, type Dispatcher, type buildConnector } from 'undici';
import type { Exchange, ReceivedBytes } from './exchange.js';

interface ServerDispatch extends Dispatcher.DispatchOptions {
  readonly exchange?: Exchange;
}

/** Connections to one server, each of which carries one exchange at a time. */
export class ServerPool extends Pool {
  /** `address` is `host:port`. */
  static create(
    address: string,
    options: Omit<Pool.Options, 'factory' | 'pipelining'>,
  ): ServerPool {
    return new ServerPool(`http://${address}`, {
      ...options,
      pipelining: 1,
      factory: (origin, clientOptions) => MeteredClient.create(origin, clientOptions),
    });
  }

  /** Sends a request; `exchange` takes the response. */
  send(request: Dispatcher.DispatchOptions, exchange: Exchange): void {
    const options: ServerDispatch = { ...request, exchange };
    this.dispatch(options, exchange);
  }
}

/** A connection that tells the exchange on it how many bytes it has received. */
class MeteredClient extends Client {
  private constructor(
    origin: URL,
    options: Client.Options,
    private readonly received: ConnectionBytes,
  ) {
    super(origin, options);
  }

  /** `options` are those that a pool passes to its factory, which always have a connector. */
  static create(origin: URL, options: Client.Options): MeteredClient {
    const received = new ConnectionBytes();
    const open = options.connect as buildConnector.connector;
    const connect: buildConnector.connector = (target, callback) => {
      open(target, (...result) => {
        const [error, socket] = result;
        if (error === null) received.observe(socket);
        callback(...result);
      });
    };
    return new MeteredClient(origin, { ...options, connect }, received);
  }

  override dispatch(options: ServerDispatch, handler: Dispatcher.DispatchHandler): boolean {
    options.exchange?.count(this.received);
    return super.dispatch(options, handler);
  }
}

/** The bytes received on the current socket of a client. */
class ConnectionBytes implements ReceivedBytes {
  onBytes: () => void = () => undefined;
  #socket: Socket | undefined;

  get total(): number {
    return this.#socket?.bytesRead ?? 0;
  }

  observe(socket: Socket): void {
    this.#socket = socket;
    socket.on('readable', () => {
      if (socket === this.#socket) this.onBytes();
    });
  }
}
