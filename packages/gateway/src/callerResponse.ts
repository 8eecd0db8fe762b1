// The answer that a caller gets: that of a server, handed on as it comes, or one of this router's own.

import type { ServerResponse } from 'node:http';
import { headerNames } from '@catkinwheel/platform';
import type { ResponseHead } from '@catkinwheel/protocol';

/** An answer to one request. */
export class CallerResponse {
  #handedOn = 0;
  #declared: number | undefined;

  private constructor(
    private readonly response: ServerResponse,
    private readonly id: string,
    private readonly ending: AbortSignal,
  ) {}

  /** `id` is that of the request, empty if it has none; `ending` aborts when no more is to be handed on. */
  static create(response: ServerResponse, id: string, ending: AbortSignal): CallerResponse {
    return new CallerResponse(response, id, ending);
  }

  /** Whether the head is sent; the answer can only be completed or broken off then. */
  get isOpen(): boolean {
    return this.response.headersSent;
  }

  /** Status of the head that was sent. */
  get status(): number | undefined {
    return this.isOpen ? this.response.statusCode : undefined;
  }

  /** Length in bytes that the head of a server's answer declared; undefined if it declared none. */
  get declared(): number | undefined {
    return this.#declared;
  }

  /** Bytes of a server's body that went to the caller. */
  get handedOn(): number {
    return this.#handedOn;
  }

  /** Sends the head of a server's answer; a stream that is continued keeps that of its first server. */
  open(head: ResponseHead): void {
    if (this.isOpen) return;
    const length = head.headers['content-length'];
    this.#declared = length === undefined ? undefined : Number(length);
    this.response.writeHead(head.status, head.headers as Record<string, string | string[]>);
  }

  /** Hands bytes on; resolves when the caller has room for more, has left, or gets no more. */
  async write(bytes: Uint8Array): Promise<void> {
    const { response, ending } = this;
    this.#handedOn += bytes.byteLength;
    // A response that is closed never drains, and does not close again.
    if (response.destroyed || response.write(bytes) || ending.aborted) return;
    await new Promise<void>((resolve) => {
      const done = (): void => {
        response.off('drain', done).off('close', done);
        ending.removeEventListener('abort', done);
        resolve();
      };
      response.once('drain', done).once('close', done);
      ending.addEventListener('abort', done);
    });
  }

  /** Completes the answer. */
  end(bytes?: Uint8Array): void {
    this.#handedOn += bytes?.byteLength ?? 0;
    this.response.end(bytes);
  }

  /** Breaks the answer off, so that it does not look whole. */
  breakOff(): void {
    const { req, socket } = this.response;
    // Answers to HTTP/1.0 have no chunks: one without a length ends with its connection.
    if (req.httpVersion === '1.0') socket?.resetAndDestroy();
    else this.response.destroy();
  }

  /** Sends an answer of this router's own; `closes` ends the connection after it. */
  reply(
    status: number,
    reason: string,
    headers: Readonly<Record<string, string>>,
    closes: boolean,
  ): void {
    if (this.response.destroyed) return;
    const body = JSON.stringify({ error: reason });
    if (closes) this.response.setHeader('connection', 'close');
    this.response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(this.id === '' ? {} : { [headerNames.requestId]: this.id }),
      ...headers,
    });
    this.response.end(body);
  }
}
