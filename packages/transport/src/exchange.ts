// One HTTP exchange with a server: it turns undici's callbacks into pieces that are pulled one by one,
// and knows exactly whether the first byte of the request may have left.

import { StringDecoder } from 'node:string_decoder';
import type { ResponseHead, ResponsePart } from '@catkinwheel/protocol';
import type { Failure } from '@catkinwheel/state';
import { mayHaveRun, notRun } from '@catkinwheel/state';
import { createParser, type EventSourceParser } from 'eventsource-parser';
import { errors, type Dispatcher } from 'undici';
import { answerFields } from './headers.js';

/** Bytes that wait for their reader before the connection is paused. */
const highWater = 64 * 1024;
/** Interim answers before the final one; more of them are no answer. */
const interimLimit = 16;
/** Longest event of a stream in characters. */
const eventLimit = 1024 * 1024;

type Headers = Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>[2];

/** Whether an answer with this head is that to the request. */
export type ResponseMatcher = (status: number, headers: Headers) => boolean;

/** The handler of one request. Reading `pieces` to its end or closing it early ends the exchange. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #parsesEvents: boolean;
  readonly #isHeadRequest: boolean;
  readonly #signal: AbortSignal;
  readonly #onCancel: () => void;
  readonly #isOurs: ResponseMatcher;
  readonly #onAbort = (): void => {
    this.#fail(new Error('cancelled'));
    this.#onCancel();
  };
  #controller: Dispatcher.DispatchController | undefined;
  #queue: ResponsePart[] = [];
  #wake: (() => void) | undefined;
  #parser: EventSourceParser | undefined;
  #decoder: StringDecoder | undefined;
  #events: string[] = [];
  #queuedBytes = 0;
  #interims = 0;
  #mayHaveLeft = false;
  #isOver = false;

  private constructor(
    method: string,
    parsesEvents: boolean,
    signal: AbortSignal,
    onCancel: () => void,
    isOurs: ResponseMatcher,
  ) {
    this.#onCancel = onCancel;
    this.#isOurs = isOurs;
    this.#isHeadRequest = method === 'HEAD';
    this.#parsesEvents = parsesEvents;
    this.#signal = signal;
    signal.addEventListener('abort', this.#onAbort, { once: true });
  }

  /**
   * Aborting `signal` closes the connection and calls `onCancel`. An answer for which `isOurs` is false is that of
   * another request; it is refused, and its connection closed.
   */
  static create(
    method: string,
    parsesEvents: boolean,
    signal: AbortSignal,
    onCancel: () => void,
    isOurs: ResponseMatcher,
  ): Exchange {
    return new Exchange(method, parsesEvents, signal, onCancel, isOurs);
  }

  /** The pieces of the answer; the last one is `end` or `failed`. */
  async *pieces(): AsyncGenerator<ResponsePart, void, void> {
    try {
      if (this.#signal.aborted) this.#onAbort();
      for (;;) {
        const piece = this.#take();
        if (piece === undefined) {
          await this.#nextPiece();
          continue;
        }
        yield piece;
        if (piece.kind === 'end' || piece.kind === 'failed') return;
      }
    } finally {
      this.#signal.removeEventListener('abort', this.#onAbort);
      this.#close(new Error('the reader left'));
    }
  }

  /** undici calls this directly before it writes the request; without it no byte has left. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#mayHaveLeft) {
      // undici would send the request again on another connection.
      controller.abort(new Error('the request was sent before'));
      return;
    }
    this.#controller = controller;
    if (this.#isOver) controller.abort(new Error('cancelled'));
    else this.#mayHaveLeft = true;
  }

  onResponseStart(_: Dispatcher.DispatchController, status: number, headers: Headers): void {
    if (this.#isOver) return;
    if (status < 200) {
      this.#interims += 1;
      if (this.#interims > interimLimit)
        this.#end(mayHaveRun('truncatedAnswer', 'interim answers without end'));
      return;
    }
    if (!this.#isOurs(status, headers)) {
      // What the server sends next may be one answer behind too, so the connection is not kept.
      this.#end(mayHaveRun('answerMismatch', 'the server answered another request'));
      return;
    }
    const isEmpty = this.#isHeadRequest || status === 204 || status === 304;
    if (!isEmpty && !isFramed(headers)) {
      this.#end(mayHaveRun('truncatedAnswer', 'the answer declares neither length nor chunks'));
      return;
    }
    const type = headers['content-type'];
    const events =
      this.#parsesEvents && typeof type === 'string' && type.startsWith('text/event-stream');
    if (events) this.#startEvents();
    const head: ResponseHead = { kind: 'head', status, headers: answerFields(headers), events };
    this.#push(head);
    // undici waits for the bytes of a declared length, though such an answer has none.
    if (isEmpty) this.onResponseEnd();
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isOver) return;
    if (this.#parser === undefined) this.#push({ kind: 'bytes', bytes: chunk });
    else this.#feed(this.#parser, chunk);
    this.#queuedBytes += chunk.byteLength;
    if (this.#queuedBytes >= highWater) controller.pause();
  }

  onResponseEnd(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#push({ kind: 'end' });
  }

  onResponseError(_: Dispatcher.DispatchController | null, error: Error): void {
    this.#fail(error);
  }

  #startEvents(): void {
    this.#decoder = new StringDecoder('utf8');
    this.#parser = createParser({
      onEvent: ({ data }) => {
        this.#events.push(data);
      },
      onError: (error) => {
        if (error.type === 'max-buffer-size-exceeded') this.#fail(error);
      },
      maxBufferSize: eventLimit,
    });
  }

  #feed(parser: EventSourceParser, chunk: Buffer): void {
    parser.feed(this.#decoder?.write(chunk) ?? '');
    // Events wait in one piece until the reader comes; each piece costs more than an event.
    if (this.#events.length === 0) this.#push({ kind: 'alive' });
    else this.#wake?.();
  }

  /** The next piece that arrived; events come before whatever was received behind them. */
  #take(): ResponsePart | undefined {
    if (this.#queue[0]?.kind === 'head' || this.#events.length === 0) {
      const piece = this.#queue.shift();
      if (this.#queue.length === 0 && this.#events.length === 0) this.#queuedBytes = 0;
      return piece;
    }
    const data = this.#events;
    this.#events = [];
    this.#queuedBytes = 0;
    return { kind: 'events', data };
  }

  #fail(error: Error): void {
    const detail = describe(error);
    if (this.#mayHaveLeft) this.#end(mayHaveRun('connectionLost', detail));
    else if (error instanceof errors.InvalidArgumentError) this.#end(notRun('badRequest', detail));
    else this.#end(notRun('connectFailed', detail));
  }

  /** Pieces received before stay in the queue, so that a stream resumes behind them. */
  #end(failure: Failure): void {
    if (this.#isOver) return;
    this.#push({ kind: 'failed', failure });
    this.#close(new Error(failure.detail));
  }

  #close(reason: Error): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#controller?.abort(reason);
  }

  #push(piece: ResponsePart): void {
    this.#queue.push(piece);
    this.#wake?.();
  }

  async #nextPiece(): Promise<void> {
    if (this.#controller?.paused === true) this.#controller.resume();
    if (this.#queue.length > 0 || this.#events.length > 0) return;
    await new Promise<void>((resolve) => {
      this.#wake = resolve;
    });
    this.#wake = undefined;
  }
}

/**
 * Whether the end of the body can be told from the end of the connection. Another transfer coding than
 * chunks, even below them, would also have to be undone here, since its field goes no further.
 */
function isFramed(headers: Headers): boolean {
  const coding = headers['transfer-encoding'];
  if (coding === undefined) return headers['content-length'] !== undefined;
  return typeof coding === 'string' && coding.trim().toLowerCase() === 'chunked';
}

/** Name and code of an error without the addresses it may contain. */
function describe(error: Error): string {
  const code = 'code' in error && typeof error.code === 'string' ? ` (${error.code})` : '';
  return `${error.message.split('\n', 1)[0] ?? error.name}${code}`;
}
