// A stand-in of a server on the platform: it signs its answers, knows its own id, and fails on demand in
// the ways that the platform's page on servers lists.

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { gzipSync } from 'node:zlib';
import type { Milliseconds } from '@catkinwheel/state';
import type { Behaviour, BrokenBehaviour, EndlessBehaviour, ExtraBytes } from './behaviour.js';
import { brokenAnswer, endlessBytes, extraBytes, type Content } from './rawAnswers.js';

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

/** An answer that the server sent to its end. */
export interface GivenAnswer {
  readonly id: string;
  readonly status: number;
  readonly body: string;
}

/** Events of a stream of the stand-in. */
export const streamLength = 6;

/** Characters of the last part of an answer that comes in parts. */
const lastPart = 4;
/** Shortest time after which an answer comes twice, the step to the next time, and the longest. */
const late = { least: 30, step: 37, most: 200 } as const;

/** What the behaviours need of a request. */
interface Exchange {
  readonly content: Content;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** A running stand-in of a server. */
export class StackServer {
  readonly seen: SeenRequest[] = [];
  /** Ids of the requests that it ran, whatever became of the answers. */
  readonly ran: string[] = [];
  /** Answers with the server's seal that were sent whole. */
  readonly given: GivenAnswer[] = [];
  /** Requests whose callers left before the answer was complete. */
  readonly left: string[] = [];
  /** How the next requests are treated; requests after them are answered. */
  behaviours: Behaviour[] = [];
  /** Parts that the server says to keep: id and tokens. */
  kept: readonly (readonly [string, number])[] = [];
  /** Calls for the list of kept parts. */
  listCalls = 0;
  eventPause = 5;
  /** A silence in the middle of its streams, after the event with this number; undefined for none. */
  silence: { readonly after: number; readonly duration: Milliseconds } | undefined;
  /** Time before a plain answer. */
  answerPause: Milliseconds = 0;
  /** Prompt part under which the server ends as soon as it begins to write an answer. */
  deadlyPart: string | undefined;
  /** Called when it has ended. */
  onEnd: () => void = () => undefined;
  /** Whether its answers say that it is leaving, except those that break off or go on without end. */
  isLeaving = false;
  /** In seconds; for `refusesForTime`. */
  retryAfter = '1';
  /** Time between the parts of an answer that breaks off, so that the router gets the first one by itself. */
  partPause: Milliseconds = 20;
  /** Characters before the text of a plain answer, for answers that a router does not hold until they are whole. */
  padding = 0;
  /** When the connection of an answer without end was closed by its caller, by request id. */
  readonly closed = new Map<string, number>();
  /** Bytes that come with the next request on their connection at the latest. */
  readonly #pending = new Map<Socket, string>();
  #lateAnswers = 0;

  private constructor(
    /** May be changed while the server does not run. */
    public id: string,
    private readonly server: Server,
    private port: number,
  ) {}

  static async start(id: string): Promise<StackServer> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const made = new StackServer(id, server, (server.address() as AddressInfo).port);
    server.on('request', (request, response) => {
      void made.#serve(request, response);
    });
    return made;
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Connections on which bytes beyond an answer are still to come. */
  get pending(): number {
    return this.#pending.size;
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

  /** Ends all connections, with the bytes that are still to come on them. */
  dropConnections(): void {
    this.#pending.clear();
    this.server.closeAllConnections();
  }

  /** Starts again at the same address after an end. */
  async startAgain(): Promise<void> {
    const { port } = this;
    await new Promise<void>((resolve) => this.server.listen(port, '127.0.0.1', resolve));
  }

  /** Ends as a process that crashes does, and starts again at another address. */
  async startElsewhere(): Promise<void> {
    const { port } = this;
    await this.close();
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.port = (this.server.address() as AddressInfo).port;
    if (this.port === port) throw new Error('the server got the address that it had');
  }

  async close(): Promise<void> {
    this.dropConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { url = '/', method = 'GET', headers, socket } = request;
    if (url === '/-/kv-list') {
      this.listCalls += 1;
      const held = this.kept.map(([id, tokens]) => ['', id, tokens, 'm']);
      response.end(JSON.stringify({ epoch: 1, next: 1, held }));
      return;
    }
    this.#sendPending(socket);
    if (this.isLeaving) response.setHeader('server-leaving', '1');
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    const id = String(headers['request-id']);
    if (headers['expect-instance'] !== this.id) {
      response.writeHead(421, { 'instance-id': this.id, 'request-id': id }).end();
      return;
    }
    const body = Buffer.concat(chunks).toString('utf8');
    this.seen.push({ id, method, path: url, headers, body, at: performance.now() });
    response.on('close', () => {
      if (!response.writableFinished) this.left.push(id);
    });
    const behaviour = this.behaviours.shift() ?? 'answers';
    if (behaviour !== 'refuses' && behaviour !== 'refusesForTime') this.ran.push(id);
    if (this.deadlyPart !== undefined && sharedPartsOf(headers).includes(this.deadlyPart)) {
      await this.#end(response);
      return;
    }
    const exchange = { content: this.#contentOf(id, request), request, response };
    if (exchange.content.type === 'text/plain') await pause(this.answerPause);
    await this.#answer(behaviour, exchange);
  }

  /** Sends the head of a stream and ends with all its connections, as a process that crashes does. */
  async #end(response: ServerResponse): Promise<void> {
    const { 'request-id': id } = response.req.headers;
    response.writeHead(200, {
      'request-id': String(id),
      'response-seal': `seal-${this.id}`,
      'content-type': 'text/event-stream',
    });
    response.flushHeaders();
    await pause(this.eventPause);
    if (!this.server.listening) return;
    this.server.close();
    this.dropConnections();
    this.onEnd();
  }

  #contentOf(id: string, { headers }: IncomingMessage): Content {
    const server = this.id;
    if (headers['token-usage'] === undefined)
      return {
        id,
        server,
        type: 'text/plain',
        body: `${'-'.repeat(this.padding)}${server} ran ${id}`,
      };
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    const count = Math.max(0, streamLength - first + 1);
    const events = Array.from({ length: count }, (_, index) => eventOf(first + index));
    return { id, server, type: 'text/event-stream', body: events.join('') };
  }

  async #answer(behaviour: Behaviour, exchange: Exchange): Promise<void> {
    if (typeof behaviour === 'object') {
      await this.#answerWhole(exchange, behaviour);
      return;
    }
    const { content, request, response } = exchange;
    const { id, body, type } = content;
    const seal = { 'response-seal': `seal-${this.id}` };
    const signed = { 'request-id': id, ...seal };
    const failure = `${this.id} failed ${id}`;
    switch (behaviour) {
      case 'resetsUnframed':
      case 'closesUnframed':
      case 'resetsChunked':
      case 'endsInLength':
      case 'endsInChunk':
      case 'endsInChunkClosing':
      case 'endsBetweenChunks':
      case 'endsBetweenChunksClosing':
        await this.#breakOff(behaviour, exchange);
        return;
      case 'endlessNoise':
      case 'endlessHead':
      case 'endlessInterim':
      case 'endlessRefusal':
      case 'endlessFailure':
      case 'endlessExtension':
      case 'endlessEvent':
      case 'endlessTrailer':
        await this.#pour(behaviour, exchange);
        return;
      case 'answers':
        await this.#answerWhole(exchange);
        return;
      case 'answersInParts': {
        const length = body.length;
        this.given.push({ id, status: 200, body });
        response.writeHead(200, { ...signed, 'content-type': type, 'content-length': length });
        await this.#writeParts(body, (part) => response.write(part));
        response.end();
        return;
      }
      case 'cuts':
        await this.#cut(exchange);
        return;
      case 'refuses':
        response.writeHead(503, { 'not-executed': '1', 'request-id': id }).end();
        return;
      case 'refusesForTime': {
        const headers = { 'not-executed': '1', 'request-id': id, 'retry-after': this.retryAfter };
        response.writeHead(503, headers).end();
        return;
      }
      case 'errors':
        this.#give(exchange, 500, signed, failure);
        return;
      case 'errorsUnsigned':
        this.#give(exchange, 500, { 'request-id': id }, failure);
        return;
      case 'errorsWithoutId':
        this.#give(exchange, 500, seal, failure);
        return;
      case 'errorsAsFull':
        this.#give(exchange, 503, signed, failure);
        return;
      case 'noContent':
        this.#give(exchange, 204, signed, '');
        return;
      case 'notModified':
        this.#give(exchange, 304, signed, '');
        return;
      case 'encodes':
        response.writeHead(200, { ...signed, 'content-type': type, 'content-encoding': 'gzip' });
        response.end(gzipSync(body));
        return;
      case 'resets':
        request.socket.resetAndDestroy();
        return;
      case 'hangs':
        return;
      case 'confuses':
        response.writeHead(200, { ...signed, 'request-id': 'other' }).end('answer of another');
        return;
    }
  }

  /** Sends a framed answer in one piece. */
  #give(
    { content, request, response }: Exchange,
    status: number,
    headers: Readonly<Record<string, string>>,
    body: string,
  ): void {
    const hasBody = request.method !== 'HEAD';
    this.given.push({ id: content.id, status, body: hasBody ? body : '' });
    const hasLength = status !== 204 && status !== 304;
    const framing = hasLength ? { 'content-length': `${body.length}` } : {};
    response.writeHead(status, { ...headers, ...framing }).end(body);
  }

  async #answerWhole(exchange: Exchange, extra?: ExtraBytes): Promise<void> {
    const { content, request, response } = exchange;
    const { id, type, body } = content;
    const { socket } = request;
    const signed = { 'request-id': id, 'response-seal': `seal-${this.id}` };
    if (type === 'text/plain') {
      // In one segment with what comes behind it.
      socket.cork();
      this.#give(exchange, 200, signed, body);
    } else {
      response.writeHead(200, { ...signed, 'content-type': type });
      const { silence } = this;
      for (const event of eventsOf(body)) {
        if (response.destroyed) return;
        response.write(event);
        const isSilent = silence !== undefined && event === eventOf(silence.after);
        await pause(isSilent ? silence.duration : this.eventPause);
      }
      this.given.push({ id, status: 200, body });
      socket.cork();
      response.end();
    }
    if (extra !== undefined) this.#sendExtra(extra, content, socket);
    process.nextTick(() => {
      socket.uncork();
    });
  }

  #sendExtra(extra: ExtraBytes, content: Content, socket: Socket): void {
    const bytes = extraBytes(extra, content);
    switch (extra.when) {
      case 'behind':
        socket.write(bytes);
        return;
      case 'withNext':
        this.#keepPending(socket, bytes);
        return;
      case 'late': {
        this.#keepPending(socket, bytes);
        const spread = (this.#lateAnswers * late.step) % (late.most - late.least);
        this.#lateAnswers += 1;
        setTimeout(() => {
          this.#sendPending(socket);
        }, late.least + spread);
      }
    }
  }

  #keepPending(socket: Socket, bytes: string): void {
    this.#pending.set(socket, bytes);
    socket.once('close', () => this.#pending.delete(socket));
  }

  #sendPending(socket: Socket): void {
    const bytes = this.#pending.get(socket);
    this.#pending.delete(socket);
    if (bytes !== undefined && socket.writable) socket.write(bytes);
  }

  async #cut({ content, request, response }: Exchange): Promise<void> {
    const { id, type, body } = content;
    const signed = { 'request-id': id, 'response-seal': `seal-${this.id}` };
    if (type === 'text/plain') {
      response.writeHead(200, { ...signed, 'content-length': body.length });
      await this.#writeParts(body.slice(0, body.length / 2), (part) => response.write(part));
    } else {
      response.writeHead(200, { ...signed, 'content-type': type });
      const [first = '', second = '', third = ''] = eventsOf(body);
      for (const event of [first, second]) {
        response.write(event);
        await pause(this.eventPause);
      }
      response.write(third.slice(0, -7));
      await pause(this.partPause);
    }
    request.socket.destroy();
  }

  /** In two parts: a router that holds an answer for some time looks at that time when the second one comes. */
  async #writeParts(text: string, write: (part: string) => unknown): Promise<void> {
    const last = Math.min(lastPart, text.length);
    for (const part of [text.slice(0, -last), text.slice(-last)]) {
      if (part !== '') write(part);
      await pause(this.partPause);
    }
  }

  async #breakOff(behaviour: BrokenBehaviour, { content, request }: Exchange): Promise<void> {
    const { socket } = request;
    const { first, rest, ending, isWhole } = brokenAnswer(behaviour, content);
    const { id, body } = content;
    // The head is all of an answer to HEAD; what comes behind it belongs to no answer.
    if (request.method === 'HEAD') this.given.push({ id, status: 200, body: '' });
    else if (isWhole) this.given.push({ id, status: 200, body });
    await this.#writeParts(first, (part) => socket.write(part));
    switch (ending) {
      case 'closed':
        socket.end(rest);
        return;
      case 'reset':
        socket.resetAndDestroy();
    }
  }

  /** Sends without end, as fast as the caller reads. */
  async #pour(behaviour: EndlessBehaviour, { content, request }: Exchange): Promise<void> {
    const { id } = content;
    const { socket } = request;
    const { first, again } = endlessBytes(behaviour, id, this.id);
    const bytes = again.repeat(Math.ceil(16_384 / again.length));
    socket.on('close', () => this.closed.set(id, performance.now()));
    socket.on('error', () => undefined);
    socket.write(first);
    while (!socket.destroyed) if (!socket.write(bytes)) await pause(1);
  }
}

/** Ids of the prompt parts that requests share: all but the last. */
function sharedPartsOf(headers: IncomingMessage['headers']): readonly string[] {
  const parts = String(headers['prompt-prefix'] ?? '').split(',');
  return parts.slice(0, -1).map((part) => part.split(':')[0] ?? '');
}

function eventOf(event: number): string {
  return `id: ${event}\ndata: ${event}\n\n`;
}

function eventsOf(body: string): readonly string[] {
  return body.split(/(?<=\n\n)/);
}
