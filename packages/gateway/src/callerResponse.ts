// The response to a caller: a server's response, forwarded as it arrives, or one of this router's own.

import type { ServerResponse } from 'node:http';
import { headerNames } from '@catkinwheel/platform';
import type { ResponseHead } from '@catkinwheel/protocol';

/** Writes the response to one request. */
export class CallerResponse {
  #forwardedBytes = 0;
  #declaredLength: number | undefined;

  private constructor(
    private readonly response: ServerResponse,
    private readonly id: string,
    private readonly abortSignal: AbortSignal,
    private readonly announceClose: () => boolean,
  ) {}

  /**
   * `id` is the request id, empty if the request has none; `abortSignal` aborts when nothing more is to be forwarded;
   * `announceClose` is asked once, when the head is sent, whether the response closes its connection.
   */
  static create(
    response: ServerResponse,
    id: string,
    abortSignal: AbortSignal,
    announceClose: () => boolean,
  ): CallerResponse {
    return new CallerResponse(response, id, abortSignal, announceClose);
  }

  /** Whether the head was sent; after that the response can only be completed or aborted. */
  get isOpen(): boolean {
    return this.response.headersSent;
  }

  /** Status of the head that was sent. */
  get status(): number | undefined {
    return this.isOpen ? this.response.statusCode : undefined;
  }

  /** Content length of the forwarded response in bytes; undefined if its head declares none. */
  get declared(): number | undefined {
    return this.#declaredLength;
  }

  /** Body bytes that were forwarded from servers. */
  get handedOn(): number {
    return this.#forwardedBytes;
  }

  /** Sends the head of a server's response, once: a continued stream keeps the head of its first server. */
  open(head: ResponseHead): void {
    if (this.isOpen) return;
    const length = head.headers['content-length'];
    this.#declaredLength = length === undefined ? undefined : Number(length);
    if (this.announceClose()) this.response.setHeader('connection', 'close');
    this.response.writeHead(head.status, head.headers as Record<string, string | string[]>);
  }

  /** Forwards bytes; resolves when the connection can take more, the caller has left, or nothing more is to be forwarded. */
  async write(bytes: Uint8Array): Promise<void> {
    const { response, abortSignal } = this;
    this.#forwardedBytes += bytes.byteLength;
    // A closed response emits neither `drain` nor another `close`.
    if (response.destroyed || response.write(bytes) || abortSignal.aborted) return;
    await new Promise<void>((resolve) => {
      const done = (): void => {
        response.off('drain', done).off('close', done);
        abortSignal.removeEventListener('abort', done);
        resolve();
      };
      response.once('drain', done).once('close', done);
      abortSignal.addEventListener('abort', done);
    });
  }

  /** Completes the response. */
  end(bytes?: Uint8Array): void {
    this.#forwardedBytes += bytes?.byteLength ?? 0;
    this.response.end(bytes);
  }

  /** Aborts the response, so that it does not look complete. */
  abort(): void {
    const { req, socket } = this.response;
    // HTTP/1.0 has no chunked encoding: a response without a length ends with its connection, which is therefore reset.
    if (req.httpVersion === '1.0') socket?.resetAndDestroy();
    else this.response.destroy();
  }

  /** Sends an error response of this router's own; `closes` closes the connection after it in any case. */
  reply(
    status: number,
    reason: string,
    headers: Readonly<Record<string, string>>,
    closes: boolean,
  ): void {
    if (this.response.destroyed) return;
    const body = JSON.stringify({ error: reason });
    if (closes || this.announceClose()) this.response.setHeader('connection', 'close');
    this.response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(this.id === '' ? {} : { [headerNames.requestId]: this.id }),
      ...headers,
    });
    this.response.end(body);
  }
}
