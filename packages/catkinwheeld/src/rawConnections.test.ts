// Servers and callers that read and write raw bytes on their connections, so that tests can send malformed
// framing and check every byte.
import assert from 'node:assert/strict';
import { connect, createServer, type Socket } from 'node:net';
import { closeAfterTests, headers, listen } from './datapathFakes.test.js';

/** Handles one request of a server; `count` starts at 1. */
export type RequestHandler = (socket: Socket, request: string, count: number) => void;

/** Starts a server whose `handler` writes raw bytes for each request; resolves with `host:port`. */
export async function startServer(handler: RequestHandler): Promise<string> {
  let count = 0;
  const server = createServer((socket) => {
    closeAfterTests(() => socket.destroy());
    socket.on('error', () => undefined);
    let seen = '';
    socket.on('data', (chunk) => {
      seen += chunk.toString();
      const end = seen.indexOf('\r\n\r\n') + 4;
      const length = Number(/content-length: (\d+)/i.exec(seen)?.[1] ?? 0);
      if (end === 3 || seen.length < end + length) return;
      const request = seen;
      seen = '';
      count += 1;
      handler(socket, request, count);
    });
  });
  return listen(server);
}

const idIn = (request: string): string => /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';

/** Head of a response with the id of its request. */
export function responseHead(request: string, fields = '', status = '200 OK'): string {
  return `HTTP/1.1 ${status}\r\nx-request-id: ${idIn(request)}\r\n${fields}\r\n`;
}

/** A complete response with a content-length. */
export const completeResponse = (request: string, body: string): string =>
  `${responseHead(request, `content-length: ${body.length}\r\n`)}${body}`;
/** One chunk of a body. */
export const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
export const delay = (time: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, time));

/** A caller with one connection; records every byte received and how the connection ended. */
export class Caller {
  readonly socket: Socket;
  #received = Buffer.alloc(0);
  #state: 'open' | 'closed' | 'reset' = 'open';

  private constructor(port: number) {
    this.socket = connect({ port, host: '127.0.0.1' });
    closeAfterTests(() => this.socket.destroy());
    this.socket.on('data', (bytes) => {
      this.#received = Buffer.concat([this.#received, bytes]);
    });
    this.socket.on('error', () => {
      this.#state = 'reset';
    });
    this.socket.on('close', () => {
      if (this.#state === 'open') this.#state = 'closed';
    });
  }

  static create(url: string): Caller {
    return new Caller(Number(new URL(url).port));
  }

  get state(): 'open' | 'closed' | 'reset' {
    return this.#state;
  }

  /** All bytes received. */
  get text(): string {
    return this.#received.toString('latin1');
  }

  send(method: string, path: string, body = '', version = '1.1'): void {
    const fields = `Host: x\r\nAuthorization: ${headers.authorization}\r\n`;
    const length = method === 'POST' ? `Content-Length: ${body.length}\r\n` : '';
    this.socket.write(`${method} ${path} HTTP/${version}\r\n${fields}${length}\r\n${body}`);
  }

  /** Resolves once `isDone` or the connection has ended, and fails after 3 s. */
  async until(isDone: () => boolean): Promise<void> {
    const deadline = Date.now() + 3_000;
    while (!isDone() && this.#state === 'open') {
      if (Date.now() > deadline)
        throw new Error(`condition not met within 3 s; received: ${this.text.slice(-2_000)}`);
      await delay(5);
    }
  }

  /**
   * The responses to requests with these methods, then the state of the connection. A response is its
   * status and its body, or the reason of a refusal; `(cut)` marks a truncated one, and an extra item
   * `stray ...` bytes that belong to no response.
   */
  responses(...methods: readonly string[]): readonly string[] {
    return [...readResponses(this.text, methods), this.#state];
  }
}

/** Separates responses by their framing alone, as a caller that reuses its connection must. */
function readResponses(text: string, methods: readonly string[]): readonly string[] {
  const responses: string[] = [];
  let rest = text;
  for (const method of methods) {
    while (/^HTTP\/1\.1 1\d\d /.test(rest)) rest = rest.slice(rest.indexOf('\r\n\r\n') + 4);
    const split = rest.indexOf('\r\n\r\n');
    if (!rest.startsWith('HTTP/1.1 ') || split === -1) break;
    const fields = rest.slice(0, split);
    const body = bodyOf(method, fields, rest.slice(split + 4));
    responses.push(`${fields.slice(9, 12)} ${body.text}`);
    rest = body.rest;
  }
  return rest === '' ? responses : [...responses, `stray ${rest}`];
}

interface Body {
  readonly text: string;
  readonly rest: string;
}

function bodyOf(method: string, fields: string, rest: string): Body {
  const status = fields.slice(9, 12);
  const isProblem = /content-type: application\/problem/i.test(fields);
  const declared = /^content-length: (\d+)$/im.exec(fields)?.[1];
  const hasNoBody = method === 'HEAD' || status === '204' || status === '304';
  if (hasNoBody) return { text: `length ${declared ?? 'none'}`, rest };
  if (/^transfer-encoding: chunked$/im.test(fields)) {
    assert.equal(declared, undefined, 'both content-length and chunked');
    return chunkedBody(rest);
  }
  if (declared === undefined) return { text: `${rest} (to the end)`, rest: '' };
  const length = Number(declared);
  const body = rest.slice(0, length);
  const text = isProblem ? /"reason":"(\w+)"/.exec(body)?.[1] : abbreviate(body);
  const cut = body.length < length ? ' (cut)' : '';
  return { text: `${text ?? ''}${cut}`, rest: rest.slice(length) };
}

function chunkedBody(bytes: string): Body {
  let body = '';
  let rest = bytes;
  for (;;) {
    const match = /^([0-9a-f]+)\r\n/i.exec(rest);
    const size = parseInt(match?.[1] ?? '', 16);
    const from = match?.[0].length ?? 0;
    if (match === null || rest.length < from + size + 2) {
      return { text: `${abbreviate(body)} (cut)`, rest: '' };
    }
    body += rest.slice(from, from + size);
    rest = rest.slice(from + size + 2);
    if (size === 0) return { text: abbreviate(body), rest };
  }
}

/** Abbreviates long bodies of one repeated letter to the letter and their length. */
function abbreviate(body: string): string {
  const [letter = ''] = body;
  const isLong = body.length > 1_000 && body === letter.repeat(body.length);
  return isLong ? `${letter}*${body.length}` : body;
}
