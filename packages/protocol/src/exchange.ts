// Types of a proxied request and its response. The listener for callers, the execution and the
// client of servers share these objects, so that bodies are passed on without a copy.

import type { Cost, EntryName, Failure } from '@catkinwheel/state';

/** Header fields by lower-case name, hop-by-hop fields excluded. */
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
  /** Id of the request, contained in every response. */
  readonly id: string;
  readonly entry: EntryName;
  readonly request: ServerRequest;
  /** Whether the caller asked for a stream of events. */
  readonly stream: boolean;
  /** The caller's `Idempotency-Key`. */
  readonly key: string | null;
  /**
   * Estimate of the cost from the bound that the caller set on the response; undefined if it set
   * none.
   */
  readonly hint: Cost | undefined;
}

/** One attempt to run a request on one server. */
export interface Attempt {
  /** Unique id, sent as `x-request-id` and echoed by the server. */
  readonly id: string;
  readonly request: ServerRequest;
  /**
   * `events`: an event stream is parsed and forwarded as events; `bytes`: any body is forwarded
   * unchanged.
   */
  readonly body: 'events' | 'bytes';
}

/** Status and header fields of a response. */
export interface ResponseHead {
  readonly kind: 'head';
  readonly status: number;
  readonly headers: HeaderFields;
  /** Whether the body follows as parts of kind `events`. */
  readonly events: boolean;
}

/** A part of a response: one `head`, then bytes or events, then exactly one `end` or `failed`. */
export type ResponsePart =
  | ResponseHead
  | { readonly kind: 'bytes'; readonly bytes: Uint8Array }
  /** Data of one or more events that arrived together. */
  | { readonly kind: 'events'; readonly data: readonly string[] }
  /**
   * The server sent a comment or a part of an event: the connection works, but there is nothing to
   * forward.
   */
  | { readonly kind: 'alive' }
  /** The response is complete. */
  | { readonly kind: 'end' }
  | { readonly kind: 'failed'; readonly failure: Failure };

/** Data of the event that ends a complete stream. */
export const streamEndMarker = '[DONE]';

/** Header field that carries the id of a request or attempt. */
export const requestIdHeader = 'x-request-id';

/**
 * Header fields that apply to one connection only (RFC 9110, section 7.6.1, and those of RFC 2616
 * still in use).
 */
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
