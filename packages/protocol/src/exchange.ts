// One request on its way from a caller to a server, and the answer on its way back. The front, the
// execution and the back end share these values, so that a body is passed on without being copied.

import type { Cost, EntryName, Failure } from '@catkinwheel/state';

/** Header fields by lower-case name, without hop-by-hop fields. */
export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;

/** A request as a server receives it. */
export interface ServerRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body: Uint8Array | null;
}

/** An accepted request of a caller. */
export interface Call {
  /** Id of the request, named in every answer. */
  readonly id: string;
  readonly entry: EntryName;
  readonly request: ServerRequest;
  /** Whether the caller asked for a stream of events. */
  readonly stream: boolean;
  /** The caller's `Idempotency-Key`. */
  readonly key: string | null;
  /** The caller's rough expectation of the cost, if any. */
  readonly hint: Cost | undefined;
}

/** One try of a request at one server. */
export interface Attempt {
  /** Unique id, sent as `x-request-id` and echoed by the server. */
  readonly id: string;
  readonly request: ServerRequest;
  /** `events`: an event stream is handed on as events; `bytes`: every body is handed on as it is. */
  readonly body: 'events' | 'bytes';
}

/** Status and header fields of an answer. */
export interface ResponseHead {
  readonly kind: 'head';
  readonly status: number;
  readonly headers: HeaderFields;
  /** Whether the body follows as `events` pieces. */
  readonly events: boolean;
}

/** A part of an answer: one head, then bytes or events, then exactly one `end` or `failed`. */
export type ResponsePart =
  | ResponseHead
  | { readonly kind: 'bytes'; readonly bytes: Uint8Array }
  /** Data of events that arrived together. */
  | { readonly kind: 'events'; readonly data: readonly string[] }
  /** The server sent a comment: the connection works, but there is nothing to hand on. */
  | { readonly kind: 'alive' }
  /** The answer is whole. */
  | { readonly kind: 'end' }
  | { readonly kind: 'failed'; readonly failure: Failure };

/** Data of the event that marks a stream as whole. */
export const streamEndMarker = '[DONE]';

/** Header field that carries the id of a request or attempt. */
export const requestIdHeader = 'x-request-id';

/** Fields that concern one connection (RFC 9110, section 7.6.1, and those of RFC 2616 still in use). */
export const hopByHopFields: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
