// Reads the parts of a response from one connection to a server: decides which are forwarded to the caller
// and when the response is complete. It has no input or output, so that the rules are easy to test.

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

/** Progress of a response: incomplete, complete, or failed on this connection. */
export type ReadState = 'open' | 'complete' | Failure;

const noParts: readonly ResponsePart[] = [];

/** Reads the response parts of one connection. */
export class ResponseReader {
  readonly #source: ConnectionSource;
  readonly #progress: StreamProgress;
  #response: BufferedResponse | undefined;
  #hasEndMarker = false;
  #hasBody = false;
  #state: ReadState = 'open';

  private constructor(source: ConnectionSource, progress: StreamProgress) {
    this.#source = source;
    this.#progress = progress;
  }

  static create(source: ConnectionSource, progress: StreamProgress): ResponseReader {
    return new ResponseReader(source, progress);
  }

  get state(): ReadState {
    return this.#state;
  }

  /** The response as far as it was received; undefined before its head was accepted. */
  get response(): BufferedResponse | undefined {
    return this.#response;
  }

  /** Whether a byte of the response's body or its end has arrived. */
  get hasBody(): boolean {
    return this.#hasBody;
  }

  /** Handles the next part from the connection and returns the parts for the caller, without `end`. */
  accept(part: ResponsePart): readonly ResponsePart[] {
    switch (part.kind) {
      case 'head':
        return this.#head(part);
      case 'bytes':
        return this.#bytes(part);
      case 'events':
        return this.#events(part.data);
      case 'alive':
        return this.#progress.hasHead ? [part] : noParts;
      case 'end':
        return this.#end();
      case 'failed':
        // A connection that breaks after the end mark does not affect the response.
        this.#state = this.#hasEndMarker ? 'complete' : part.failure;
        return noParts;
    }
  }

  #head(head: ResponseHead): readonly ResponsePart[] {
    const refusal = this.#headFailure(head);
    if (refusal === undefined) this.#response = BufferedResponse.create(head);
    else this.#state = refusal;
    return noParts;
  }

  /** Why a response with this head cannot be forwarded; undefined if it can. */
  #headFailure(head: ResponseHead): Failure | undefined {
    const { attempt, service, isResumed } = this.#source;
    if (head.headers[requestIdHeader] !== attempt) {
      return mayHaveRun('answerMismatch', 'the server answered with the id of another request');
    }
    const isContinuation = isResumed || this.#progress.hasHead;
    if (head.status === 503 && !isResumed) return refusalBy(service, head);
    if (isContinuation && (head.status !== 200 || !head.events)) {
      return mayHaveRun('streamLost', 'the server cannot continue the stream');
    }
    return undefined;
  }

  #bytes(part: Extract<ResponsePart, { kind: 'bytes' }>): readonly ResponsePart[] {
    const response = this.#response;
    if (response === undefined) return noParts;
    this.#hasBody = true;
    response.add(part.bytes);
    return response.isBuffered ? noParts : this.#withHead(response, [part]);
  }

  #events(data: readonly string[]): readonly ResponsePart[] {
    if (this.#response === undefined || this.#hasEndMarker) return noParts;
    this.#hasBody = true;
    const newEvents: string[] = [];
    for (const event of data) {
      const kind = this.#progress.recordEvent(event);
      if (kind !== 'repeated') newEvents.push(event);
      if (kind === 'endMark') {
        this.#hasEndMarker = true;
        break;
      }
    }
    return newEvents.length === 0
      ? noParts
      : this.#withHead(this.#response, [{ kind: 'events', data: newEvents }]);
  }

  #end(): readonly ResponsePart[] {
    const response = this.#response;
    if (response === undefined) {
      this.#state = mayHaveRun('truncatedAnswer', 'the answer has no head');
      return noParts;
    }
    if (response.head.events) {
      this.#state = this.#hasEndMarker
        ? 'complete'
        : mayHaveRun('truncatedAnswer', 'the stream has no end mark');
      return noParts;
    }
    this.#hasBody = true;
    this.#state = 'complete';
    if (this.#source.service.kind === 'model' && response.body !== undefined) {
      this.#progress.recordUsage(Buffer.from(response.body).toString());
    }
    return this.#withHead(response, response.isBuffered ? response.bufferedParts() : noParts);
  }

  #withHead(response: BufferedResponse, parts: readonly ResponsePart[]): readonly ResponsePart[] {
    if (this.#progress.hasHead) return parts;
    this.#progress.recordHead(response.head);
    return [response.head, ...parts];
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
