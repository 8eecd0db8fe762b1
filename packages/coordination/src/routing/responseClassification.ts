// Classifies responses of servers by their head. A server may respond to a request twice, the second time late, on a
// connection that is kept for further requests: the late response arrives in place of the next request's, and only
// the request id in it tells them apart. Some servers return responses that are not their own. A response
// that does not name its request is used for none.

/** Properties of a response that are known from its head. */
export interface ResponseFacts {
  readonly status: number;
  /** The request whose id is in the response. */
  readonly namedRequest: 'thisRequest' | 'anotherRequest' | 'noRequest';
  /** Whether it bears a server's signature. */
  readonly isSigned: boolean;
  /** Whether the server declares that it has not run the request and will not. */
  readonly declaresNotRun: boolean;
  /** Whether callers take the status to mean that the request has not run. */
  readonly statusImpliesNotRun: boolean;
  /**
   * Whether the body has a content encoding. Callers ask for none, so an encoded body is not from a server.
   */
  readonly isEncoded: boolean;
}

/** What may be done with a response. */
export type ResponseClass =
  /** It may be forwarded to the caller. */
  | { readonly kind: 'accepted' }
  /** The server did not run the request. */
  | { readonly kind: 'notRun' }
  /** It is the response to this request but must not be forwarded to the caller. */
  | { readonly kind: 'unusable'; readonly detail: string };

/** State of the request when the head of a response arrives. */
export interface RequestState {
  /** Whether a part of a response was forwarded to the caller. */
  readonly hasRelayedPart: boolean;
  /** Whether the request may be sent to another server. */
  readonly mayRetry: boolean;
}

/**
 * Whether the response is to another request, or unattributable. Its connection must not be reused, since the
 * server may be one response ahead on it.
 */
export function belongsToOtherRequest({ status, namedRequest, isSigned }: ResponseFacts): boolean {
  return namedRequest !== 'thisRequest' || (isSuccess(status) && !isSigned);
}

/** Decides by its head what may be done with a response that belongs to this request. */
export function classifyResponse(
  facts: ResponseFacts,
  { hasRelayedPart, mayRetry }: RequestState,
): ResponseClass {
  const { status, declaresNotRun, statusImpliesNotRun, isEncoded } = facts;
  // A refusal whose status does not tell callers that the request has not run is forwarded if no other server is
  // tried.
  if (declaresNotRun && (statusImpliesNotRun || mayRetry)) return { kind: 'notRun' };
  if (isEncoded) return { kind: 'unusable', detail: 'an encoded body' };
  if (statusImpliesNotRun)
    return { kind: 'unusable', detail: `status ${status} of a request that may have run` };
  if (!isSuccess(status) && hasRelayedPart) return { kind: 'unusable', detail: `status ${status}` };
  if (status >= 500 && mayRetry) return { kind: 'unusable', detail: `status ${status}` };
  return { kind: 'accepted' };
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
