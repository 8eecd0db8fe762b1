// A stand-in of a server on the platform: it signs its answers, knows its own id, and fails on demand in
// the ways that the platform's page on servers lists.

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

/** How a server treats one request. */
export type Behaviour =
  | 'answers'
  /** 503 with the promise that it has not run. */
  | 'refuses'
  /** 500 after it ran. */
  | 'errors'
  /** Runs it and resets the connection. */
  | 'resets'
  /** Ends the connection in the middle of the answer. */
  | 'cuts'
  /** Sends an answer without length and resets its connection before the end. */
  | 'resetsUnframed'
  /** Sends chunks with `Connection: close` and resets its connection before the last one. */
  | 'resetsChunked'
  /** Sends an answer without length and closes its connection in order. */
  | 'closesUnframed'
  /** Answers in the name of another request. */
  | 'confuses'
  /** Runs it and never answers. */
  | 'hangs'
  | EndlessBehaviour;

/** Bytes that go on until the caller closes; where they stand in the answer. */
export type EndlessBehaviour =
  /** Bytes of no protocol. */
  | 'endlessNoise'
  /** Fields of a head. */
  | 'endlessHead'
  /** Interim answers before the final one. */
  | 'endlessInterim'
  /** The body of a refusal that promises that the request has not run. */
  | 'endlessRefusal'
  /** The body of a failure. */
  | 'endlessFailure'
  /** The extension of a chunk. */
  | 'endlessExtension'
  /** One event of a stream. */
  | 'endlessEvent'
  /** Fields behind the last chunk. */
  | 'endlessTrailer';

/** What is sent first and what is repeated. */
function endless(
  behaviour: EndlessBehaviour,
  id: string,
  server: string,
): { readonly first: string; readonly again: string } {
  const ids = `Request-Id: ${id}\r\nResponse-Seal: seal-${server}\r\n`;
  const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
  const chunk = `400\r\n${'x'.repeat(1_024)}\r\n`;
  switch (behaviour) {
    case 'endlessNoise':
      return { first: '', again: '\0'.repeat(1_024) };
    case 'endlessHead':
      return { first: `HTTP/1.1 200 OK\r\n${ids}`, again: `X-Field: ${'x'.repeat(1_000)}\r\n` };
    case 'endlessInterim':
      return { first: '', again: 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' };
    case 'endlessRefusal':
      return {
        first: `HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: ${id}\r\n${chunked}`,
        again: chunk,
      };
    case 'endlessFailure':
      return { first: `HTTP/1.1 500 Failed\r\n${ids}${chunked}`, again: chunk };
    case 'endlessExtension':
      return { first: `HTTP/1.1 200 OK\r\n${ids}${chunked}5;x=`, again: 'y'.repeat(1_024) };
    case 'endlessEvent':
      return {
        first: `HTTP/1.1 200 OK\r\n${ids}Content-Type: text/event-stream\r\n${chunked}`,
        again: chunk,
      };
    case 'endlessTrailer':
      return {
        first: `HTTP/1.1 200 OK\r\n${ids}${chunked}2\r\nok\r\n0\r\n`,
        again: `X-Field: ${'x'.repeat(1_000)}\r\n`,
      };
  }
}

/** A request as the server saw it. */
export interface SeenRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** When it came, by the process's clock. */
  readonly at: number;
}

/** Events of a stream of the stand-in. */
export const streamLength = 6;

/** A running stand-in of a server. */
export class StackServer {
  readonly seen: SeenRequest[] = [];
  /** Ids of the requests that it ran, whatever became of the answers. */
  readonly ran: string[] = [];
  /** Requests whose callers left before the answer was complete. */
  readonly left: string[] = [];
  /** How the next requests are treated; requests after them are answered. */
  behaviours: Behaviour[] = [];
  /** Parts that the server says to keep: id and tokens. */
  kept: readonly (readonly [string, number])[] = [];
  /** Calls for the list of kept parts. */
  listCalls = 0;
  eventPause = 5;
  /** When the connection of an answer without end was closed by its caller, by request id. */
  readonly closed = new Map<string, number>();

  private constructor(
    readonly id: string,
    private readonly server: Server,
  ) {}

  static async start(id: string): Promise<StackServer> {
    const server = createServer();
    const made = new StackServer(id, server);
    server.on('request', (request, response) => {
      void made.#serve(request, response);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return made;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** The entry that the server writes to the store. */
  entry(service: string, changes: Readonly<Record<string, unknown>> = {}): unknown {
    return {
      service,
      address: this.address,
      zone: 'suva',
      version: 'v1',
      slots: 6,
      state: 'ready',
      warmupLeftMs: 0,
      sequence: 1,
      born: 1,
      ...changes,
    };
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { url = '/', method = 'GET', headers } = request;
    if (url === '/-/kv-list') {
      this.listCalls += 1;
      const held = this.kept.map(([id, tokens]) => ['', id, tokens, 'm']);
      response.end(JSON.stringify({ epoch: 1, next: 1, held }));
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    if (headers['expect-instance'] !== this.id) {
      const id = String(headers['request-id']);
      response.writeHead(421, { 'instance-id': this.id, 'request-id': id }).end();
      return;
    }
    const id = String(headers['request-id']);
    const body = Buffer.concat(chunks).toString('utf8');
    this.seen.push({ id, method, path: url, headers, body, at: performance.now() });
    response.on('close', () => {
      if (!response.writableFinished) this.left.push(id);
    });
    const behaviour = this.behaviours.shift() ?? 'answers';
    if (behaviour !== 'refuses') this.ran.push(id);
    await this.#answer(behaviour, id, request, response);
  }

  async #answer(
    behaviour: Behaviour,
    id: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const signed = { 'request-id': id, 'response-seal': `seal-${this.id}` };
    switch (behaviour) {
      case 'refuses':
        response.writeHead(503, { 'not-executed': '1', 'request-id': id }).end();
        return;
      case 'errors':
        response.writeHead(500, signed).end('failed');
        return;
      case 'resets':
        request.socket.resetAndDestroy();
        return;
      case 'hangs':
        return;
      case 'confuses':
        response.writeHead(200, { ...signed, 'request-id': 'other' }).end('answer of another');
        return;
      case 'resetsChunked':
        response.writeHead(200, { ...signed, connection: 'close' });
        response.write('half');
        await pause(20);
        request.socket.resetAndDestroy();
        return;
      case 'resetsUnframed':
      case 'closesUnframed': {
        const { socket } = request;
        socket.write(
          `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: seal-${this.id}\r\n\r\nhalf`,
        );
        await pause(20);
        if (behaviour === 'resetsUnframed') socket.resetAndDestroy();
        else socket.end(' and half');
        return;
      }
      case 'answers':
      case 'cuts':
        break;
      case 'endlessNoise':
      case 'endlessHead':
      case 'endlessInterim':
      case 'endlessRefusal':
      case 'endlessFailure':
      case 'endlessExtension':
      case 'endlessEvent':
      case 'endlessTrailer':
        await this.#pour(behaviour, id, request.socket);
        return;
    }
    const isCut = behaviour === 'cuts';
    if (request.headers['token-usage'] !== undefined) {
      await this.#stream(isCut, signed, request, response);
      return;
    }
    const text = `${this.id} ran ${id}`;
    response.writeHead(200, { ...signed, 'content-length': text.length });
    if (!isCut) {
      response.end(text);
      return;
    }
    response.write(text.slice(0, 3));
    await pause(20);
    request.socket.destroy();
  }

  /** Sends without end, as fast as the caller reads. */
  async #pour(behaviour: EndlessBehaviour, id: string, socket: Socket): Promise<void> {
    const { first, again } = endless(behaviour, id, this.id);
    const bytes = again.repeat(Math.ceil(16_384 / again.length));
    socket.on('close', () => this.closed.set(id, performance.now()));
    socket.on('error', () => undefined);
    socket.write(first);
    while (!socket.destroyed) if (!socket.write(bytes)) await pause(1);
  }

  async #stream(
    isCut: boolean,
    signed: Readonly<Record<string, string>>,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    response.writeHead(200, { ...signed, 'content-type': 'text/event-stream' });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= streamLength; event += 1) {
      if (response.destroyed) return;
      if (isCut && event === first + 2) {
        response.write(`id: ${event}\nda`);
        await pause(20);
        request.socket.destroy();
        return;
      }
      response.write(`id: ${event}\ndata: ${event}\n\n`);
      await pause(this.eventPause);
    }
    response.end();
  }
}
