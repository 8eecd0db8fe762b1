// The ways in which a stand-in server treats a request: those that the platform's page on servers lists, and answers
// that are allowed but rare.

/** How a server treats one request. */
export type Behaviour = HeadBehaviour | BrokenBehaviour | EndlessBehaviour | ExtraBytes;

/** Framed answers, and requests that get none. */
export type HeadBehaviour =
  | 'answers'
  /** The same in two parts. */
  | 'answersInParts'
  /** 503 with the promise that it has not run. */
  | 'refuses'
  /** The same, with the time after which it wants requests again. */
  | 'refusesForTime'
  /** 500 after it ran. */
  | 'errors'
  /** 500 after it ran, without a seal. */
  | 'errorsUnsigned'
  /** 500 after it ran, without the id of the request. */
  | 'errorsWithoutId'
  /** 503 after it ran, without the promise that it has not. */
  | 'errorsAsFull'
  /** 204. */
  | 'noContent'
  /** 304, which is no success and has no body. */
  | 'notModified'
  /** 200 with a body in an encoding that nobody asked for. */
  | 'encodes'
  /** Runs it and resets the connection. */
  | 'resets'
  /** Ends the connection in the middle of the answer. */
  | 'cuts'
  /** Answers in the name of another request. */
  | 'confuses'
  /** Runs it and never answers. */
  | 'hangs';

/** Answers whose end is told by that of the connection, or that end before it. */
export type BrokenBehaviour =
  /** Without length; the connection is reset before the end. */
  | 'resetsUnframed'
  /** Without length; the connection is closed in order at the end. */
  | 'closesUnframed'
  /** Chunks with `Connection: close`; the connection is reset before the last one. */
  | 'resetsChunked'
  /** The connection is closed in order before the declared length, after `Connection: close`. */
  | 'endsInLength'
  /** The connection is closed in order within a chunk. */
  | 'endsInChunk'
  /** The same after `Connection: close`. */
  | 'endsInChunkClosing'
  /** The connection is closed in order between two chunks. */
  | 'endsBetweenChunks'
  /** The same after `Connection: close`. */
  | 'endsBetweenChunksClosing';

/** Bytes that go on until the caller closes; where they stand in the answer. */
export type EndlessBehaviour =
  /** Bytes of no protocol. */
  | 'endlessNoise'
  /** Fields of a head. */
  | 'endlessHead'
  /** Interim answers before the final one. */
  | 'endlessInterim'
  /** The body of a refusal that promises that the request has not run. */
  | 'endlessRefusal'
  /** The body of a failure. */
  | 'endlessFailure'
  /** The extension of a chunk. */
  | 'endlessExtension'
  /** One event of a stream. */
  | 'endlessEvent'
  /** Fields behind the last chunk. */
  | 'endlessTrailer';

/** A whole answer, and bytes behind it on a connection that stays open. */
export interface ExtraBytes {
  readonly kind: 'extra';
  /** A second answer, 500, 503 that promises that the request has not run, or bytes of no protocol. */
  readonly content: 'answer' | 'error' | 'refusal' | 'noise';
  /** Whether the second answer names the request that it belongs to. */
  readonly hasId: boolean;
  /**
   * In one segment with the answer, some 30 to 200 ms later or with the next request if that is sooner, or always
   * between the next request and its answer.
   */
  readonly when: 'behind' | 'late' | 'withNext';
}

/** For logs and names of tests. */
export function textOf(behaviour: Behaviour): string {
  if (typeof behaviour === 'string') return behaviour;
  const { content, hasId, when } = behaviour;
  return `extra ${content}${hasId ? '' : ' without id'} ${when}`;
}
