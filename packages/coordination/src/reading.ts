// Reads the pieces of an answer from one connection to a server: decides which are forwarded to the caller
// and when the answer is complete. It has no input or output, so that the rules are easy to test.

import type { Head, Piece } from '@catkinwheel/protocol';
import { requestIdField } from '@catkinwheel/protocol';
import type { Failure, Service } from '@catkinwheel/state';
import { mayHaveRun, notRun } from '@catkinwheel/state';
import { Answer } from './answer.js';
import type { Transcript } from './transcript.js';

/** The connection to read from. */
export interface Source {
  readonly attempt: string;
  readonly service: Service;
  /** Whether the connection resumes a stream of the attempt. */
  readonly isResumed: boolean;
}

/** Progress of an answer: incomplete, complete, or failed on this connection. */
export type Standing = 'open' | 'whole' | Failure;

const nothing: readonly Piece[] = [];

/** Reads the pieces of one connection. */
export class Reading {
  readonly #source: Source;
  readonly #transcript: Transcript;
  #answer: Answer | undefined;
  #hasEndMark = false;
  #hasBody = false;
  #standing: Standing = 'open';

  private constructor(source: Source, transcript: Transcript) {
    this.#source = source;
    this.#transcript = transcript;
  }

  static create(source: Source, transcript: Transcript): Reading {
    return new Reading(source, transcript);
  }

  get standing(): Standing {
    return this.#standing;
  }

  /** The answer as far as it was received; undefined before its head was accepted. */
  get answer(): Answer | undefined {
    return this.#answer;
  }

  /** Whether a byte of the answer's body or its end has arrived. */
  get hasBody(): boolean {
    return this.#hasBody;
  }

  /** Handles the next piece of the connection and returns the pieces for the caller, without `end`. */
  accept(piece: Piece): readonly Piece[] {
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
        // A connection that breaks after the end mark does not affect the answer.
        this.#standing = this.#hasEndMark ? 'whole' : piece.failure;
        return nothing;
    }
  }

  #head(head: Head): readonly Piece[] {
    const refused = this.#refusal(head);
    if (refused === undefined) this.#answer = Answer.create(head);
    else this.#standing = refused;
    return nothing;
  }

  /** Why an answer with this head cannot be forwarded; undefined if it can. */
  #refusal(head: Head): Failure | undefined {
    const { attempt, service, isResumed } = this.#source;
    if (head.headers[requestIdField] !== attempt) {
      return mayHaveRun('answerMismatch', 'the server answered with the id of another request');
    }
    const mustContinue = isResumed || this.#transcript.hasHead;
    if (head.status === 503 && !isResumed) return refusedBy(service, head);
    if (mustContinue && (head.status !== 200 || !head.events)) {
      return mayHaveRun('streamLost', 'the server cannot continue the stream');
    }
    return undefined;
  }

  #bytes(piece: Extract<Piece, { kind: 'bytes' }>): readonly Piece[] {
    const answer = this.#answer;
    if (answer === undefined) return nothing;
    this.#hasBody = true;
    answer.add(piece.bytes);
    return answer.isHeld ? nothing : this.#withHead(answer, [piece]);
  }

  #events(data: readonly string[]): readonly Piece[] {
    if (this.#answer === undefined || this.#hasEndMark) return nothing;
    this.#hasBody = true;
    const kept: string[] = [];
    for (const event of data) {
      const kind = this.#transcript.note(event);
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

  #end(): readonly Piece[] {
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
      this.#transcript.noteAnswer(Buffer.from(answer.body).toString());
    }
    return this.#withHead(answer, answer.isHeld ? answer.held() : nothing);
  }

  #withHead(answer: Answer, pieces: readonly Piece[]): readonly Piece[] {
    if (this.#transcript.hasHead) return pieces;
    this.#transcript.noteHead(answer.head);
    return [answer.head, ...pieces];
  }
}

/**
 * The failure of a refused request. By its protocol, an engine that refuses a request has not started it;
 * a plain service gives no such guarantee.
 */
function refusedBy(service: Service, head: Head): Failure {
  const detail = 'the server refused the request';
  const retryAfter = Number(head.headers['retry-after']);
  if (service.kind === 'plain' || Number.isNaN(retryAfter)) {
    return mayHaveRun('serverRefused', detail);
  }
  return notRun('serverRefused', detail, retryAfter * 1_000);
}
