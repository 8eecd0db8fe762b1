// Reads the pieces of an answer from one connection to a server: decides which are forwarded to the caller
// and when the answer is complete. It has no input or output, so that the rules are easy to test.

import type { ResponseHead, ResponsePart } from '@catkinwheel/protocol';
import { requestIdHeader } from '@catkinwheel/protocol';
import type { Failure, Service } from '@catkinwheel/state';
import { mayHaveRun, notRun } from '@catkinwheel/state';
import { BufferedResponse } from './bufferedResponse.js';
import type { StreamProgress } from './streamProgress.js';

/** The connection to read from. */
export interface ConnectionSource {
  readonly attempt: string;
  readonly service: Service;
  /** Whether the connection resumes a stream of the attempt. */
  readonly isResumed: boolean;
}

/** Progress of an answer: incomplete, complete, or failed on this connection. */
export type ReadState = 'open' | 'whole' | Failure;

const noParts: readonly ResponsePart[] = [];

/** Reads the pieces of one connection. */
export class ResponseReader {
  readonly #source: ConnectionSource;
  readonly #transcript: StreamProgress;
  #answer: BufferedResponse | undefined;
  #hasEndMark = false;
  #hasBody = false;
  #standing: ReadState = 'open';

  private constructor(source: ConnectionSource, transcript: StreamProgress) {
    this.#source = source;
    this.#transcript = transcript;
  }

  static create(source: ConnectionSource, transcript: StreamProgress): ResponseReader {
    return new ResponseReader(source, transcript);
  }

  get state(): ReadState {
    return this.#standing;
  }

  /** The answer as far as it was received; undefined before its head was accepted. */
  get answer(): BufferedResponse | undefined {
    return this.#answer;
  }

  /** Whether a byte of the answer's body or its end has arrived. */
  get hasBody(): boolean {
    return this.#hasBody;
  }

  /** Handles the next piece of the connection and returns the pieces for the caller, without `end`. */
  accept(piece: ResponsePart): readonly ResponsePart[] {
    switch (piece.kind) {
      case 'head':
        return this.#head(piece);
      case 'bytes':
        return this.#bytes(piece);
      case 'events':
        return this.#events(piece.data);
      case 'alive':
        return this.#transcript.hasHead ? [piece] : noParts;
      case 'end':
        return this.#end();
      case 'failed':
        // A connection that breaks after the end mark does not affect the answer.
        this.#standing = this.#hasEndMark ? 'whole' : piece.failure;
        return noParts;
    }
  }

  #head(head: ResponseHead): readonly ResponsePart[] {
    const refusal = this.#headFailure(head);
    if (refusal === undefined) this.#answer = BufferedResponse.create(head);
    else this.#standing = refusal;
    return noParts;
  }

  /** Why an answer with this head cannot be forwarded; undefined if it can. */
  #headFailure(head: ResponseHead): Failure | undefined {
    const { attempt, service, isResumed } = this.#source;
    if (head.headers[requestIdHeader] !== attempt) {
      return mayHaveRun('answerMismatch', 'the server answered with the id of another request');
    }
    const isContinuation = isResumed || this.#transcript.hasHead;
    if (head.status === 503 && !isResumed) return refusalBy(service, head);
    if (isContinuation && (head.status !== 200 || !head.events)) {
      return mayHaveRun('streamLost', 'the server cannot continue the stream');
    }
    return undefined;
  }

  #bytes(piece: Extract<ResponsePart, { kind: 'bytes' }>): readonly ResponsePart[] {
    const answer = this.#answer;
    if (answer === undefined) return noParts;
    this.#hasBody = true;
    answer.add(piece.bytes);
    return answer.isBuffered ? noParts : this.#withHead(answer, [piece]);
  }

  #events(data: readonly string[]): readonly ResponsePart[] {
    if (this.#answer === undefined || this.#hasEndMark) return noParts;
    this.#hasBody = true;
    const newEvents: string[] = [];
    for (const event of data) {
      const kind = this.#transcript.recordEvent(event);
      if (kind !== 'repeated') newEvents.push(event);
      if (kind === 'endMark') {
        this.#hasEndMark = true;
        break;
      }
    }
    return newEvents.length === 0
      ? noParts
      : this.#withHead(this.#answer, [{ kind: 'events', data: newEvents }]);
  }

  #end(): readonly ResponsePart[] {
    const answer = this.#answer;
    if (answer === undefined) {
      this.#standing = mayHaveRun('truncatedAnswer', 'the answer has no head');
      return noParts;
    }
    if (answer.head.events) {
      this.#standing = this.#hasEndMark
        ? 'whole'
        : mayHaveRun('truncatedAnswer', 'the stream has no end mark');
      return noParts;
    }
    this.#hasBody = true;
    this.#standing = 'whole';
    if (this.#source.service.kind === 'model' && answer.body !== undefined) {
      this.#transcript.recordUsage(Buffer.from(answer.body).toString());
    }
    return this.#withHead(answer, answer.isBuffered ? answer.bufferedParts() : noParts);
  }

  #withHead(answer: BufferedResponse, pieces: readonly ResponsePart[]): readonly ResponsePart[] {
    if (this.#transcript.hasHead) return pieces;
    this.#transcript.recordHead(answer.head);
    return [answer.head, ...pieces];
  }
}

/**
 * The failure of a refused request. By its protocol, an engine that refuses a request has not started it;
 * a plain service gives no such guarantee.
 */
function refusalBy(service: Service, head: ResponseHead): Failure {
  const detail = 'the server refused the request';
  const retryAfter = Number(head.headers['retry-after']);
  if (service.kind === 'plain' || Number.isNaN(retryAfter)) {
    return mayHaveRun('serverRefused', detail);
  }
  return notRun('serverRefused', detail, retryAfter * 1_000);
}
