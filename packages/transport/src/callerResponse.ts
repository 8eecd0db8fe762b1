// Sends a response to its caller with back-pressure. An incomplete response must not look complete:
// a failed event stream ends with an error event and without the end marker, and any other body
// breaks off.

import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { ResponseHead, ResponsePart } from '@catkinwheel/protocol';
import type { Failure, Milliseconds } from '@catkinwheel/state';
import { fieldsForCaller } from './headers.js';
import { problemOf, sendProblem } from './problemDetails.js';

/** Time without progress after which the connection of a caller that does not read is closed. */
const stallTimeout: Milliseconds = 30_000;

/** Maximum time for which the rest of a refused request is read and discarded. */
const discardTimeout: Milliseconds = 2_000;

export interface CallerResponseOptions {
  readonly requestId: string;
  readonly response: ServerResponse;
  /** Addresses of other routers, for error messages. */
  readonly routers: () => readonly string[];
}

/** Sends the response to one request. */
export class CallerResponse {
  readonly #options: CallerResponseOptions;
  readonly #response: ServerResponse;
  readonly #callerGone = new AbortController();
  #isEventStream = false;
  #endsWithConnection = false;

  private constructor(options: CallerResponseOptions) {
    this.#options = options;
    this.#response = options.response;
    const { socket } = this.#response.req;
    const onClose = (): void => {
      socket.off('close', onClose);
      if (!this.#response.writableFinished) this.#callerGone.abort();
    };
    this.#response.once('close', onClose);
    // With pipelined requests, Node emits no `close` on a response that is queued behind another
    // one.
    socket.once('close', onClose);
  }

  static create(options: CallerResponseOptions): CallerResponse {
    return new CallerResponse(options);
  }

  /** Aborts when the caller closes the connection before its response is complete. */
  get callerGone(): AbortSignal {
    return this.#callerGone.signal;
  }

  /** Sends all parts. If the caller has disconnected, they are still read to the end. */
  async run(parts: AsyncGenerator<ResponsePart, void, void>): Promise<void> {
    for await (const part of parts) {
      if (this.#isClosed) continue;
      const wrote = this.#write(part);
      if (!wrote) await this.#waitForDrain();
    }
    await this.#waitForFlush();
  }

  /** Closes the connection after this response. */
  closeConnectionAfterwards(): void {
    this.#response.setHeader('connection', 'close');
  }

  /** Ends the response with an error. */
  fail(failure: Failure): void {
    const { requestId, routers } = this.#options;
    if (!this.#response.headersSent) {
      sendProblem(this.#response, failure, requestId, routers());
      discardRest(this.#response.req);
    } else if (this.#isEventStream) {
      const problem = JSON.stringify(problemOf(failure, requestId, routers()));
      this.#response.end(`event: error\ndata: ${problem}\n\n`);
    } else {
      this.#breakOff();
    }
  }

  /** Closes the connection in such a way that the response does not look complete. */
  #breakOff(): void {
    // A body with neither length nor chunks, as for HTTP 1.0, counts as complete when its
    // connection closes normally, so the connection is reset.
    if (this.#endsWithConnection) this.#response.socket?.resetAndDestroy();
    this.#response.destroy();
  }

  get #isClosed(): boolean {
    return this.#response.destroyed || this.callerGone.aborted;
  }

  /** False if the write buffer is full. */
  #write(part: ResponsePart): boolean {
    switch (part.kind) {
      case 'head':
        this.#head(part);
        return true;
      case 'bytes':
        return this.#response.write(part.bytes);
      case 'events':
        return this.#response.write(part.data.map(serializeEvent).join(''));
      case 'alive':
        return this.#response.write(':\n\n');
      case 'end':
        this.#response.end();
        return true;
      case 'failed':
        this.fail(part.failure);
        return true;
    }
  }

  #head(head: ResponseHead): void {
    this.#isEventStream = head.events;
    const fields = fieldsForCaller(head);
    this.#response.writeHead(head.status, fields as OutgoingHttpHeaders);
    this.#endsWithConnection =
      fields['content-length'] === undefined && !this.#response.chunkedEncoding;
  }

  /** Resolves once the last byte is passed to the operating system, or the connection is closed. */
  #waitForFlush(): Promise<void> {
    const response = this.#response;
    if (response.writableFinished || this.#isClosed) return Promise.resolve();
    return new Promise((resolve) => {
      const settle = (): void => {
        this.callerGone.removeEventListener('abort', settle);
        resolve();
      };
      response.once('close', settle);
      this.callerGone.addEventListener('abort', settle);
    });
  }

  #waitForDrain(): Promise<void> {
    return new Promise((resolve) => {
      const response = this.#response;
      const settle = (): void => {
        clearTimeout(timer);
        response.off('drain', settle).off('close', settle);
        this.callerGone.removeEventListener('abort', settle);
        resolve();
      };
      const timer = setTimeout(() => {
        this.#breakOff();
      }, stallTimeout);
      response.on('drain', settle).on('close', settle);
      this.callerGone.addEventListener('abort', settle);
    });
  }
}

/**
 * Reads and discards the rest of a refused request, so that its caller can read the refusal: if a
 * connection is closed with unread input, TCP resets it, and the caller may lose data that it has
 * not read yet.
 */
function discardRest(incoming: IncomingMessage): void {
  if (incoming.complete) return;
  const timer = setTimeout(() => incoming.destroy(), discardTimeout);
  incoming.once('close', () => {
    clearTimeout(timer);
  });
  incoming.resume();
}

function serializeEvent(data: string): string {
  if (!data.includes('\n')) return `data: ${data}\n\n`;
  return `${data
    .split('\n')
    .map((line) => `data: ${line}\n`)
    .join('')}\n`;
}
