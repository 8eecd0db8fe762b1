// What one connection to a server brings in: it decides which pieces belong to the caller and when the
// answer is whole. It holds no connection itself, so that every rule here is a plain function call.

import type { ResponseHead, ResponsePart } from '@catkinwheel/protocol';
import { requestIdHeader } from '@catkinwheel/protocol';
import type { Failure, Service } from '@catkinwheel/state';
import { mayHaveRun, notRun } from '@catkinwheel/state';
import { BufferedResponse } from './bufferedResponse.js';
import type { StreamProgress } from './streamProgress.js';

/** What is read, and for which attempt. */
export interface Source {
  readonly attempt: string;
  readonly service: Service;
  /** Whether the connection resumes a stream of the attempt. */
  readonly isResumed: boolean;
}

/** Where a connection stands: more to come, the answer whole, or not to be had from it. */
export type ReadState = 'open' | 'whole' | Failure;

const nothing: readonly ResponsePart[] = [];

/** Reads the pieces of one connection. */
export class ResponseReader {
  readonly #source: Source;
  readonly #transcript: StreamProgress;
  #answer: BufferedResponse | undefined;
  #hasEndMark = false;
  #hasBody = false;
  #standing: ReadState = 'open';

  private constructor(source: Source, transcript: StreamProgress) {
    this.#source = source;
    this.#transcript = transcript;
  }

  static create(source: Source, transcript: StreamProgress): ResponseReader {
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

  /** Takes the next piece of the connection and returns what the caller is due, without `end`. */
  accept(piece: ResponsePart): readonly ResponsePart[] {
    switch (piece.kind) {
      case 'head':
        return this.#head(piece);
      case 'bytes':
        return this.#bytes(piece);
      case 'events':
        return this.#events(piece.data);
      case 'alive':
        return this.#transcript.hasHead ? [piece] : nothing;
      case 'end':
        return this.#end();
      case 'failed':
        // A connection that breaks behind the end mark takes nothing away from the answer.
        this.#standing = this.#hasEndMark ? 'whole' : piece.failure;
        return nothing;
    }
  }

  #head(head: ResponseHead): readonly ResponsePart[] {
    const refused = this.#refusal(head);
    if (refused === undefined) this.#answer = BufferedResponse.create(head);
    else this.#standing = refused;
    return nothing;
  }

  /** Why an answer with this head cannot be handed on. */
  #refusal(head: ResponseHead): Failure | undefined {
    const { attempt, service, isResumed } = this.#source;
    if (head.headers[requestIdHeader] !== attempt) {
      return mayHaveRun('answerMismatch', 'the server answered with the id of another request');
    }
    const mustContinue = isResumed || this.#transcript.hasHead;
    if (head.status === 503 && !isResumed) return refusedBy(service, head);
    if (mustContinue && (head.status !== 200 || !head.events)) {
      return mayHaveRun('streamLost', 'the server cannot continue the stream');
    }
    return undefined;
  }

  #bytes(piece: Extract<ResponsePart, { kind: 'bytes' }>): readonly ResponsePart[] {
    const answer = this.#answer;
    if (answer === undefined) return nothing;
    this.#hasBody = true;
    answer.add(piece.bytes);
    return answer.isBuffered ? nothing : this.#withHead(answer, [piece]);
  }

  #events(data: readonly string[]): readonly ResponsePart[] {
    if (this.#answer === undefined || this.#hasEndMark) return nothing;
    this.#hasBody = true;
    const kept: string[] = [];
    for (const event of data) {
      const kind = this.#transcript.recordEvent(event);
      if (kind !== 'repeated') kept.push(event);
      if (kind === 'endMark') {
        this.#hasEndMark = true;
        break;
      }
    }
    return kept.length === 0
      ? nothing
      : this.#withHead(this.#answer, [{ kind: 'events', data: kept }]);
  }

  #end(): readonly ResponsePart[] {
    const answer = this.#answer;
    if (answer === undefined) {
      this.#standing = mayHaveRun('truncatedAnswer', 'the answer has no head');
      return nothing;
    }
    if (answer.head.events) {
      this.#standing = this.#hasEndMark
        ? 'whole'
        : mayHaveRun('truncatedAnswer', 'the stream has no end mark');
      return nothing;
    }
    this.#hasBody = true;
    this.#standing = 'whole';
    if (this.#source.service.kind === 'model' && answer.body !== undefined) {
      this.#transcript.recordUsage(Buffer.from(answer.body).toString());
    }
    return this.#withHead(answer, answer.isBuffered ? answer.bufferedParts() : nothing);
  }

  #withHead(answer: BufferedResponse, pieces: readonly ResponsePart[]): readonly ResponsePart[] {
    if (this.#transcript.hasHead) return pieces;
    this.#transcript.recordHead(answer.head);
    return [answer.head, ...pieces];
  }
}

/** By its protocol an engine that refuses has not begun; a plain service promises nothing of the kind. */
function refusedBy(service: Service, head: ResponseHead): Failure {
  const detail = 'the server refused the request';
  const retryAfter = Number(head.headers['retry-after']);
  if (service.kind === 'plain' || Number.isNaN(retryAfter)) {
    return mayHaveRun('serverRefused', detail);
  }
  return notRun('serverRefused', detail, retryAfter * 1_000);
}
