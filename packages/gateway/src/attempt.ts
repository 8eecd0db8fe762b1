// How one try of a request at one server ended, what that says about the server, and what the log tells.

import type { ServerOutcome } from '@catkinwheel/coordination/routing';
import { isMisdirected } from '@catkinwheel/platform';

/** Why an attempt was ended by this router. */
export type Cause = 'callerGone' | 'deadline' | 'silence';

/** How one attempt at a server ended. */
export type Attempt =
  /** The caller has the whole answer. */
  | { readonly kind: 'delivered'; readonly status: number }
  /** No byte left. */
  | { readonly kind: 'unsent'; readonly detail: string }
  /** The server promises that the request has not run. */
  | { readonly kind: 'notRun'; readonly status: number }
  /** The request may have run; nothing of the answer was handed on. */
  | { readonly kind: 'failed'; readonly detail: string }
  /** The answer broke off after a part of it was handed on. */
  | { readonly kind: 'cut'; readonly detail: string }
  | { readonly kind: 'ended'; readonly cause: Cause };

/** What the log tells of one attempt. */
export interface Trace {
  readonly server: string;
  readonly predicted: number;
  readonly missing: number;
  readonly at: number;
  readonly first: number | undefined;
  readonly took: number;
  /** Bytes of a body that went to the caller. */
  readonly handedOn: number;
  readonly result: string;
}

/** What the server is judged by; undefined if the caller or its time ended the attempt. */
export function resultOf(attempt: Attempt): ServerOutcome | undefined {
  switch (attempt.kind) {
    case 'delivered':
      return attempt.status >= 500 ? 'failed' : 'answered';
    case 'unsent':
      return 'unreachable';
    case 'notRun':
      return isMisdirected(attempt.status) ? 'misdirected' : 'refused';
    case 'failed':
    case 'cut':
      return 'failed';
    case 'ended':
      return attempt.cause === 'silence' ? 'failed' : undefined;
  }
}

/** The attempt in a few words. */
export function describe(attempt: Attempt): string {
  switch (attempt.kind) {
    case 'delivered':
    case 'notRun':
      return `${attempt.kind} ${attempt.status}`;
    case 'ended':
      return `ended by ${attempt.cause}`;
    case 'unsent':
    case 'failed':
    case 'cut':
      return `${attempt.kind}: ${attempt.detail}`;
  }
}
