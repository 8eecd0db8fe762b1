// Hands an answer to its caller at the caller's pace. Only a whole answer may look like one: a stream
// that failed ends with an error event and without its end mark, any other body is cut off.

import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { ResponseHead, ResponsePart } from '@catkinwheel/protocol';
import type { Failure, Milliseconds } from '@catkinwheel/state';
import { callerFields } from './headers.js';
import { problemOf, sendProblem } from './problem.js';

/** Time after which a caller that reads nothing is taken as gone. */
const stallTimeout: Milliseconds = 30_000;

/** Time for which the rest of a refused request is read. */
const discardTime: Milliseconds = 2_000;

export interface DeliveryOptions {
  readonly requestId: string;
  readonly response: ServerResponse;
  /** Other routers to name in an error. */
  readonly routers: () => readonly string[];
}

/** The answer to one caller. */
export class Delivery {
  readonly #options: DeliveryOptions;
  readonly #response: ServerResponse;
  readonly #gone = new AbortController();
  #isEvents = false;
  #endsWithConnection = false;

  private constructor(options: DeliveryOptions) {
    this.#options = options;
    this.#response = options.response;
    const { socket } = this.#response.req;
    const onClose = (): void => {
      socket.off('close', onClose);
      if (!this.#response.writableFinished) this.#gone.abort();
    };
    this.#response.once('close', onClose);
    // An answer that waits behind another one on its connection is not told of the close.
    socket.once('close', onClose);
  }

  static create(options: DeliveryOptions): Delivery {
    return new Delivery(options);
  }

  /** Aborts when the caller leaves before its answer is whole. */
  get gone(): AbortSignal {
    return this.#gone.signal;
  }

  /** Hands on all pieces; reads on to the end when the caller has left. */
  async run(pieces: AsyncGenerator<ResponsePart, void, void>): Promise<void> {
    for await (const piece of pieces) {
      if (this.#isClosed) continue;
      const wrote = this.#write(piece);
      if (!wrote) await this.#drained();
    }
    await this.#flushed();
  }

  /** Closes the connection behind this answer. */
  closeAfterwards(): void {
    this.#response.setHeader('connection', 'close');
  }

  /** Ends the answer with an error. */
  fail(failure: Failure): void {
    const { requestId, routers } = this.#options;
    if (!this.#response.headersSent) {
      sendProblem(this.#response, failure, requestId, routers());
      discardRest(this.#response.req);
    } else if (this.#isEvents) {
      const problem = JSON.stringify(problemOf(failure, requestId, routers()));
      this.#response.end(`event: error\ndata: ${problem}\n\n`);
    } else {
      this.#cut();
    }
  }

  /** Closes the connection, so that the answer does not look whole. */
  #cut(): void {
    // A body without a length and without chunks, as for HTTP 1.0, is whole once its connection is closed.
    if (this.#endsWithConnection) this.#response.socket?.resetAndDestroy();
    this.#response.destroy();
  }

  get #isClosed(): boolean {
    return this.#response.destroyed || this.gone.aborted;
  }

  /** False if the caller does not keep up. */
  #write(piece: ResponsePart): boolean {
    switch (piece.kind) {
      case 'head':
        this.#head(piece);
        return true;
      case 'bytes':
        return this.#response.write(piece.bytes);
      case 'events':
        return this.#response.write(piece.data.map(frame).join(''));
      case 'alive':
        return this.#response.write(':\n\n');
      case 'end':
        this.#response.end();
        return true;
      case 'failed':
        this.fail(piece.failure);
        return true;
    }
  }

  #head(head: ResponseHead): void {
    this.#isEvents = head.events;
    const fields = callerFields(head);
    this.#response.writeHead(head.status, fields as OutgoingHttpHeaders);
    this.#endsWithConnection =
      fields['content-length'] === undefined && !this.#response.chunkedEncoding;
  }

  /** Resolves once the last byte was handed to the system, or the connection is closed. */
  #flushed(): Promise<void> {
    const response = this.#response;
    if (response.writableFinished || this.#isClosed) return Promise.resolve();
    return new Promise((resolve) => {
      const settle = (): void => {
        this.gone.removeEventListener('abort', settle);
        resolve();
      };
      response.once('close', settle);
      this.gone.addEventListener('abort', settle);
    });
  }

  #drained(): Promise<void> {
    return new Promise((resolve) => {
      const response = this.#response;
      const settle = (): void => {
        clearTimeout(timer);
        response.off('drain', settle).off('close', settle);
        this.gone.removeEventListener('abort', settle);
        resolve();
      };
      const timer = setTimeout(() => {
        this.#cut();
      }, stallTimeout);
      response.on('drain', settle).on('close', settle);
      this.gone.addEventListener('abort', settle);
    });
  }
}

/**
 * Reads what is left of a refused request, so that its caller can read the refusal: closing a
 * connection with unread bytes makes the system discard what the caller has not read yet.
 */
function discardRest(incoming: IncomingMessage): void {
  if (incoming.complete) return;
  const timer = setTimeout(() => incoming.destroy(), discardTime);
  incoming.once('close', () => {
    clearTimeout(timer);
  });
  incoming.resume();
}

function frame(data: string): string {
  if (!data.includes('\n')) return `data: ${data}\n\n`;
  return `${data
    .split('\n')
    .map((line) => `data: ${line}\n`)
    .join('')}\n`;
}
