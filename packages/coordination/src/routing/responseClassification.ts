// Load pattern: servers answer some requests twice, the second time late, while their connections are kept for further
// requests; others answer with what is no answer of theirs. The late answer comes where that of the next request is due,
// and only the id in it tells the two apart. What does not name its request belongs to none.

/** What the head of an answer tells. */
export interface ResponseFacts {
  readonly status: number;
  /** The request that the answer names. */
  readonly namedRequest: 'thisRequest' | 'anotherRequest' | 'noRequest';
  /** Whether it has a server's signature. */
  readonly isSigned: boolean;
  /** Whether the server promises that the request has not run and will not. */
  readonly declaresNotRun: boolean;
  /** Whether callers take the status as that promise. */
  readonly statusImpliesNotRun: boolean;
  /** Whether the body is encoded. Callers ask for none that is, so no server's body is. */
  readonly isEncoded: boolean;
}

/** What may be done with an answer. */
export type ResponseClass =
  /** It may be handed on. */
  | { readonly kind: 'accepted' }
  /** The server did not run the request. */
  | { readonly kind: 'notRun' }
  /** It is this request's, but its caller must not get it. */
  | { readonly kind: 'unusable'; readonly detail: string };

/** Where the request stands when the head of an answer comes. */
export interface Standpoint {
  /** Whether a part of an answer was handed on. */
  readonly hasRelayedPart: boolean;
  /** Whether the request may be sent to a further server. */
  readonly mayRetry: boolean;
}

/**
 * Whether the answer is that of another request, or of none. Its connection cannot be used any more, since the server may be an
 * answer ahead on it.
 */
export function belongsToOtherRequest({
  status,
  namedRequest: names,
  isSigned,
}: ResponseFacts): boolean {
  return names !== 'thisRequest' || (isSuccess(status) && !isSigned);
}

/** Decides by its head what may be done with an answer that is not foreign. */
export function classifyResponse(
  facts: ResponseFacts,
  { hasRelayedPart: isOpen, mayRetry: mayRepeat }: Standpoint,
): ResponseClass {
  const { status, declaresNotRun: isNotRun, statusImpliesNotRun: isPromise, isEncoded } = facts;
  // A refusal that is no promise to callers is the last server's own answer if no other server is tried.
  if (isNotRun && (isPromise || mayRepeat)) return { kind: 'notRun' };
  if (isEncoded) return { kind: 'unusable', detail: 'an encoded body' };
  if (isPromise)
    return { kind: 'unusable', detail: `status ${status} of a request that may have run` };
  if (!isSuccess(status) && isOpen) return { kind: 'unusable', detail: `status ${status}` };
  if (status >= 500 && mayRepeat) return { kind: 'unusable', detail: `status ${status}` };
  return { kind: 'accepted' };
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
