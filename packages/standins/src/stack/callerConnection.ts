// A caller's connection that keeps every byte it gets. Libraries for HTTP drop a connection that brings more than the
// declared body, so that what a router leaves on a kept connection cannot be seen through them.

import { connect, type Socket } from 'node:net';
import { once } from 'node:events';
import type { Milliseconds } from '@catkinwheel/state';

/** What a request gets on the connection. */
export type Answer =
  | {
      readonly kind: 'whole';
      readonly status: number;
      /** By lower-case name. */
      readonly headers: Readonly<Record<string, string>>;
      readonly body: string;
    }
  /** The connection ended before the answer was whole. */
  | { readonly kind: 'broken'; readonly status: number | undefined; readonly bytes: string }
  /** Bytes that are no answer in the protocol. */
  | { readonly kind: 'unreadable'; readonly bytes: string }
  /** Nothing more came in time. */
  | { readonly kind: 'silent' };

export interface PlainRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Framing of a body. */
type Framing =
  | { readonly kind: 'length'; readonly length: number }
  | { readonly kind: 'chunks' }
  | { readonly kind: 'close' };

interface Head {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly framing: Framing;
}

type Parsed = Answer | 'incomplete';

const headEnd = '\r\n\r\n';
/** Bytes received last that are kept for reports. */
const keptBytes = 256;

/** One connection, used for one request after the other. */
export class CallerConnection {
  #received = Buffer.alloc(0);
  #last = Buffer.alloc(0);
  /** How the connection ended; a reset cannot complete an answer without length. */
  #ending: 'none' | 'closed' | 'reset' = 'none';

  private constructor(private readonly socket: Socket) {
    socket.on('data', (bytes) => {
      this.#received = Buffer.concat([this.#received, bytes]);
      this.#last = Buffer.concat([this.#last, bytes]).subarray(-keptBytes);
    });
    for (const event of ['end', 'close', 'error'] as const)
      socket.on(event, () => {
        if (this.#ending === 'none') this.#ending = event === 'error' ? 'reset' : 'closed';
        // Wakes the reader of the answer, as data does.
        socket.emit('more');
      });
    socket.on('data', () => socket.emit('more'));
  }

  /** Rejects if the address cannot be reached. */
  static async open(address: string): Promise<CallerConnection> {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port), noDelay: true });
    await once(socket, 'connect');
    return new CallerConnection(socket);
  }

  /** Whether the router has closed the connection. */
  get isClosed(): boolean {
    return this.#ending !== 'none';
  }

  /** Bytes that belong to no answer that was asked for. */
  get excess(): string {
    return this.#received.toString('latin1');
  }

  /** The bytes received last, whether or not they belong to an answer. */
  get last(): string {
    return this.#last.toString('latin1');
  }

  /** Sends a request and reads its answer, which begins with the first byte that was not read before. */
  async ask(request: PlainRequest, within: Milliseconds = 5_000): Promise<Answer> {
    this.write(bytesOf(request));
    return this.#read(request.method, within);
  }

  /** Sends requests without waiting for answers, then `rest` as it is. Reads the answers in their order. */
  async pipeline(
    requests: readonly PlainRequest[],
    rest = '',
    within: Milliseconds = 5_000,
  ): Promise<readonly Answer[]> {
    this.write(requests.map(bytesOf).join('') + rest);
    const answers: Answer[] = [];
    for (const { method } of requests) answers.push(await this.#read(method, within));
    return answers;
  }

  /** Sends bytes as they are. */
  write(bytes: string): void {
    this.socket.write(bytes);
  }

  async #read(method: string, within: Milliseconds): Promise<Answer> {
    const timeout = AbortSignal.timeout(within);
    for (;;) {
      const parsed = this.#parse(method);
      if (parsed !== 'incomplete') return parsed;
      try {
        await once(this.socket, 'more', { signal: timeout });
      } catch (error) {
        if (!timeout.aborted) throw error;
        return { kind: 'silent' };
      }
    }
  }

  close(): void {
    this.socket.destroy();
  }

  /** Takes the first answer off the bytes received. */
  #parse(method: string): Parsed {
    const text = this.#received.toString('latin1');
    const end = text.indexOf(headEnd);
    const statusLine = text.split('\r\n', 1)[0] ?? '';
    const isStatus = /^HTTP\/1\.1 \d{3} /.test(statusLine);
    if (text.includes('\r\n') && !isStatus) return { kind: 'unreadable', bytes: statusLine };
    const broken = (status?: number): Parsed =>
      this.isClosed ? { kind: 'broken', status, bytes: text } : 'incomplete';
    if (end < 0) return broken();
    const head = headOf(text.slice(0, end), method);
    const { status, headers, framing } = head;
    const start = end + headEnd.length;
    const found = bodyOf(text, start, framing, this.#ending === 'closed');
    if (found === 'unreadable') return { kind: 'unreadable', bytes: text.slice(start) };
    if (found === 'incomplete') return broken(status);
    this.#received = this.#received.subarray(found.next);
    return { kind: 'whole', status, headers, body: found.body };
  }
}

function bytesOf({ method, path, headers, body = '' }: PlainRequest): string {
  const fields = { ...headers, ...(body === '' ? {} : { 'content-length': `${body.length}` }) };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`;
}

function headOf(text: string, method: string): Head {
  const [statusLine = '', ...lines] = text.split('\r\n');
  const status = Number(statusLine.split(' ')[1]);
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { status, headers, framing: framingOf(status, headers, method) };
}

function framingOf(
  status: number,
  headers: Readonly<Record<string, string>>,
  method: string,
): Framing {
  const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
  if (hasNoBody) return { kind: 'length', length: 0 };
  if (headers['transfer-encoding'] === 'chunked') return { kind: 'chunks' };
  const length = headers['content-length'];
  return length === undefined ? { kind: 'close' } : { kind: 'length', length: Number(length) };
}

type Body = { readonly body: string; readonly next: number } | 'incomplete' | 'unreadable';

function bodyOf(text: string, start: number, framing: Framing, hasEnded: boolean): Body {
  switch (framing.kind) {
    case 'length': {
      const next = start + framing.length;
      return text.length < next ? 'incomplete' : { body: text.slice(start, next), next };
    }
    case 'close':
      return hasEnded ? { body: text.slice(start), next: text.length } : 'incomplete';
    case 'chunks':
      return chunksOf(text, start);
  }
}

function chunksOf(text: string, start: number): Body {
  let body = '';
  for (let at = start; ;) {
    const line = text.indexOf('\r\n', at);
    if (line < 0) return 'incomplete';
    const size = text.slice(at, line);
    if (!/^[0-9a-f]+$/i.test(size)) return 'unreadable';
    const from = line + 2;
    const to = from + Number.parseInt(size, 16);
    if (text.length < to + 2) return 'incomplete';
    if (text.slice(to, to + 2) !== '\r\n') return 'unreadable';
    body += text.slice(from, to);
    at = to + 2;
    if (to === from) return { body, next: at };
  }
}
