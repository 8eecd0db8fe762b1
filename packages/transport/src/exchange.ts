// One HTTP exchange with a server. It turns undici's callbacks into parts that the reader pulls
// one by one, and tracks whether the first byte of the request may have been sent.

import { StringDecoder } from 'node:string_decoder';
import type { ResponseHead, ResponsePart } from '@catkinwheel/protocol';
import type { Failure } from '@catkinwheel/state';
import { mayHaveRun, notRun } from '@catkinwheel/state';
import { createParser, type EventSourceParser } from 'eventsource-parser';
import { errors, type Dispatcher } from 'undici';
import { fieldsFromServer } from './headers.js';

/** Bytes that are buffered for the reader before the connection is paused. */
const highWaterMark = 64 * 1024;
/** Number of collected pieces that are joined into one, since a piece of a few bytes has a large memory overhead. */
const maxCollectedPieces = 64;
/** Size in bytes from which on copying a piece costs more than a part of its own. */
const largePiece = 256;
/** Maximum number of interim (1xx) responses before the final one. */
const maxInterimResponses = 16;
/**
 * Maximum of bytes received without a header or a part of the body. Above the bytes that the socket buffers before they are
 * parsed, and far above the framing of a chunk.
 */
const maxUnusedBytes = 256 * 1024;
/** Maximum length of an event in characters. */
const maxEventLength = 1024 * 1024;

type Headers = Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>[2];

/** The bytes received on a connection since it was opened. */
export interface ReceivedBytes {
  readonly total: number;
  /** Called when bytes have arrived, before they are parsed. */
  onBytes: () => void;
}

/** Whether a response with this header belongs to the request. */
export type ResponseMatcher = (status: number, headers: Headers) => boolean;

/**
 * The undici handler of one request. The exchange ends when `parts` is read to its end or closed
 * early.
 */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #parsesEvents: boolean;
  readonly #isHeadRequest: boolean;
  readonly #signal: AbortSignal;
  readonly #onCancel: () => void;
  readonly #isMatching: ResponseMatcher;
  readonly #onAbort = (): void => {
    this.#fail(new Error('cancelled'));
    this.#onCancel();
  };
  #controller: Dispatcher.DispatchController | undefined;
  #queue: ResponsePart[] = [];
  #wake: (() => void) | undefined;
  #parser: EventSourceParser | undefined;
  #decoder: StringDecoder | undefined;
  /** Events of the pieces that are being parsed. */
  #events: string[] = [];
  /** Pieces of the body that the reader has not taken yet, and the small ones after them that are still to be joined. */
  #pieces: Buffer[] = [];
  #smallPieces: Buffer[] = [];
  #queuedBytes = 0;
  #interimResponses = 0;
  #received: ReceivedBytes | undefined;
  /** Bytes received on the connection when the last part of the response was. */
  #usedBytes = 0;
  #mayBeSent = false;
  #isEnded = false;

  private constructor(
    method: string,
    parsesEvents: boolean,
    signal: AbortSignal,
    onCancel: () => void,
    isMatching: ResponseMatcher,
  ) {
    this.#onCancel = onCancel;
    this.#isMatching = isMatching;
    this.#isHeadRequest = method === 'HEAD';
    this.#parsesEvents = parsesEvents;
    this.#signal = signal;
    signal.addEventListener('abort', this.#onAbort, { once: true });
  }

  /**
   * Aborting `signal` closes the connection and calls `onCancel`. A response for which `isMatching`
   * is false belongs to another request: the exchange fails, and its connection is closed.
   */
  static create(
    method: string,
    parsesEvents: boolean,
    signal: AbortSignal,
    onCancel: () => void,
    isMatching: ResponseMatcher,
  ): Exchange {
    return new Exchange(method, parsesEvents, signal, onCancel, isMatching);
  }

  /** Sets where the bytes on the exchange's connection are counted. To be called before the request is sent. */
  count(received: ReceivedBytes): void {
    this.#received = received;
  }

  /** Ends the exchange with the verdict `notRun`, unless a byte of the request may have been sent. */
  withdraw(): void {
    if (!this.#mayBeSent) this.#fail(new Error('withdrawn'));
  }

  /** The parts of the response; the last one is `end` or `failed`. */
  async *parts(): AsyncGenerator<ResponsePart, void, void> {
    try {
      if (this.#signal.aborted) this.#onAbort();
      for (;;) {
        const part = this.#takePart();
        if (part === undefined) {
          await this.#waitForPart();
          continue;
        }
        yield part;
        if (part.kind === 'end' || part.kind === 'failed') return;
      }
    } finally {
      this.#signal.removeEventListener('abort', this.#onAbort);
      this.#close(new Error('the reader stopped'));
    }
  }

  /**
   * undici calls this immediately before it writes the request; until then no byte has been sent.
   */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#mayBeSent) {
      // undici is about to repeat the request on another connection.
      controller.abort(new Error('the request was already sent'));
      return;
    }
    this.#controller = controller;
    if (this.#isEnded) controller.abort(new Error('cancelled'));
    else this.#mayBeSent = true;
    this.#recordUse();
    if (this.#received !== undefined)
      this.#received.onBytes = () => {
        this.#checkUnused();
      };
  }

  onResponseStart(_: Dispatcher.DispatchController, status: number, headers: Headers): void {
    if (this.#isEnded) return;
    this.#recordUse();
    if (status < 200) {
      this.#interimResponses += 1;
      if (this.#interimResponses > maxInterimResponses)
        this.#end(mayHaveRun('truncatedAnswer', 'the server sent too many interim responses'));
      return;
    }
    if (!this.#isMatching(status, headers)) {
      // The next response on this connection may be off by one too, so the connection is closed.
      this.#end(mayHaveRun('answerMismatch', 'the response belongs to another request'));
      return;
    }
    const hasNoBody = this.#isHeadRequest || status === 204 || status === 304;
    if (!hasNoBody && !isFramed(headers)) {
      this.#end(
        mayHaveRun('truncatedAnswer', 'the response has neither a length nor chunked coding'),
      );
      return;
    }
    const type = headers['content-type'];
    const events =
      this.#parsesEvents && typeof type === 'string' && type.startsWith('text/event-stream');
    if (events) this.#startEvents();
    const head: ResponseHead = { kind: 'head', status, headers: fieldsFromServer(headers), events };
    this.#push(head);
    // undici would wait for the declared length, although such a response has no body.
    if (hasNoBody) this.onResponseEnd();
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isEnded) return;
    this.#recordUse();
    this.#collect(chunk);
    this.#queuedBytes += chunk.byteLength;
    if (this.#queuedBytes >= highWaterMark) controller.pause();
  }

  onResponseEnd(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#push({ kind: 'end' });
  }

  onResponseError(_: Dispatcher.DispatchController | null, error: Error): void {
    this.#fail(error);
  }

  #recordUse(): void {
    this.#usedBytes = this.#received?.total ?? 0;
  }

  /** Ends the exchange if the server sends bytes that belong to neither a header nor a body. */
  #checkUnused(): void {
    const unused = (this.#received?.total ?? 0) - this.#usedBytes;
    if (unused <= maxUnusedBytes || this.#controller?.paused === true) return;
    this.#end(
      mayHaveRun('truncatedAnswer', `the server sent ${unused} bytes without a header or a body`),
    );
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
      maxBufferSize: maxEventLength,
    });
  }

  /**
   * Small pieces are collected into one part until the reader takes it: a part, and a pass of the
   * event parser, cost far more than a piece of a few bytes.
   */
  #collect(piece: Buffer): void {
    const isLarge = piece.byteLength >= largePiece;
    if (isLarge) this.#joinSmallPieces();
    (isLarge ? this.#pieces : this.#smallPieces).push(piece);
    if (this.#smallPieces.length >= maxCollectedPieces) this.#joinSmallPieces();
    this.#wake?.();
  }

  /**
   * The next part in the order of arrival. The collected pieces arrived before the queued parts, except
   * for the header.
   */
  #takePart(): ResponsePart | undefined {
    if (this.#queue[0]?.kind === 'head' || !this.#hasPieces) return this.#queue.shift();
    const bytes = this.#takePieces();
    return this.#parser === undefined ? { kind: 'bytes', bytes } : this.#parse(this.#parser, bytes);
  }

  get #hasPieces(): boolean {
    return this.#pieces.length > 0 || this.#smallPieces.length > 0;
  }

  #joinSmallPieces(): void {
    if (this.#smallPieces.length > 0) this.#pieces.push(joined(this.#smallPieces));
    this.#smallPieces = [];
  }

  /** The first piece if it is large, otherwise all pieces before the first large one. */
  #takePieces(): Buffer {
    this.#joinSmallPieces();
    const large = this.#pieces.findIndex(({ byteLength }) => byteLength >= largePiece);
    const count = large < 0 ? this.#pieces.length : Math.max(1, large);
    const bytes = joined(this.#pieces.splice(0, count));
    this.#queuedBytes -= bytes.byteLength;
    return bytes;
  }

  #parse(parser: EventSourceParser, bytes: Buffer): ResponsePart {
    parser.feed(this.#decoder?.write(bytes) ?? '');
    const data = this.#events;
    this.#events = [];
    return data.length === 0 ? { kind: 'alive' } : { kind: 'events', data };
  }

  #fail(error: Error): void {
    const detail = describeError(error);
    if (this.#mayBeSent) this.#end(mayHaveRun('connectionLost', detail));
    else if (error instanceof errors.InvalidArgumentError) this.#end(notRun('badRequest', detail));
    else this.#end(notRun('connectFailed', detail));
  }

  /**
   * Parts received before the failure stay in the queue, so that a stream is resumed after them.
   */
  #end(failure: Failure): void {
    if (this.#isEnded) return;
    this.#push({ kind: 'failed', failure });
    this.#close(new Error(failure.detail));
  }

  #close(reason: Error): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#controller?.abort(reason);
  }

  #push(part: ResponsePart): void {
    this.#queue.push(part);
    this.#wake?.();
  }

  async #waitForPart(): Promise<void> {
    if (this.#controller?.paused === true) this.#controller.resume();
    if (this.#queue.length > 0 || this.#hasPieces) return;
    await new Promise<void>((resolve) => {
      this.#wake = resolve;
    });
    this.#wake = undefined;
  }
}

/**
 * Whether the end of the body can be distinguished from the end of the connection. Any transfer
 * coding other than `chunked`, also in combination with it, would have to be decoded here, since
 * `transfer-encoding` is not forwarded.
 */
function isFramed(headers: Headers): boolean {
  const coding = headers['transfer-encoding'];
  if (coding === undefined) return headers['content-length'] !== undefined;
  return typeof coding === 'string' && coding.trim().toLowerCase() === 'chunked';
}

/** First line and code of an error, without the addresses that further lines may contain. */
function describeError(error: Error): string {
  const code = 'code' in error && typeof error.code === 'string' ? ` (${error.code})` : '';
  return `${error.message.split('\n', 1)[0] ?? error.name}${code}`;
}

function joined(pieces: readonly Buffer[]): Buffer {
  const [first] = pieces;
  return first !== undefined && pieces.length === 1 ? first : Buffer.concat(pieces);
}
