// A server whose bytes a test writes itself. Servers made with a library for HTTP cannot send what is no answer, answer
// before a request is whole, or leave out a length.

import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** A request whose head has come. */
export interface RawRequest {
  readonly id: string;
  readonly method: string;
  /** The request line and the fields. */
  readonly head: string;
  /** Resolves when the declared body has come. */
  readonly body: Promise<string>;
  readonly socket: Socket;
  /** Counts the connections to the server, from 0. */
  readonly connection: number;
  /** Id of the server that has it. */
  readonly server: string;
}

/** What is done with each request. */
export type Script = (request: RawRequest) => unknown;

/** A running server. */
export class RawServer {
  readonly requests: RawRequest[] = [];
  readonly sockets: Socket[] = [];
  readonly #server: Server;

  private constructor(
    readonly id: string,
    private readonly script: Script,
  ) {
    this.#server = createServer({ noDelay: true }, (socket) => {
      this.#read(socket);
    });
  }

  static async start(id: string, script: Script): Promise<RawServer> {
    const made = new RawServer(id, script);
    await new Promise<void>((resolve) => made.#server.listen(0, '127.0.0.1', resolve));
    return made;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #read(socket: Socket): void {
    const connection = this.sockets.push(socket) - 1;
    let received = Buffer.alloc(0);
    /** Bytes that came since `received` was joined; joining them each time is slow for long bodies. */
    let pieces: Buffer[] = [];
    let size = 0;
    let due: { readonly length: number; readonly done: (body: string) => void } | undefined;
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      pieces.push(bytes);
      size += bytes.length;
      if (due !== undefined && size < due.length) return;
      received = Buffer.concat([received, ...pieces]);
      pieces = [];
      for (;;) {
        if (due !== undefined) {
          if (received.length < due.length) {
            size = received.length;
            return;
          }
          due.done(received.toString('latin1', 0, due.length));
          received = received.subarray(due.length);
          due = undefined;
        }
        const end = received.indexOf('\r\n\r\n');
        size = received.length;
        if (end < 0) return;
        const head = received.toString('latin1', 0, end);
        received = received.subarray(end + 4);
        const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
        const body = new Promise<string>((done) => {
          due = { length, done };
        });
        const id = /^request-id: (.*)$/im.exec(head)?.[1] ?? '';
        const method = head.split(' ', 1)[0] ?? '';
        const request = { id, method, head, body, socket, connection, server: this.id };
        this.requests.push(request);
        this.script(request);
      }
    });
  }
}
