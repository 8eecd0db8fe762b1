// The outcome of one attempt at a server, what it says about the server's health, and how it is logged.

import type { ColdShare, Grant, ServerOutcome } from '@catkinwheel/coordination/routing';
import { isMisdirected } from '@catkinwheel/platform';

/** Why this router ended an attempt. */
export type AbortCause = 'callerGone' | 'deadline' | 'stopping';

/**
 * How one attempt at a server ended. `isDisconnected`: the server ended the connection, or something between did, before
 * the response was complete.
 */
export type AttemptOutcome =
  /** The caller has the complete response. */
  | { readonly kind: 'delivered'; readonly status: number }
  /** The request cannot be written as HTTP, to whichever server. */
  | { readonly kind: 'unsendable'; readonly detail: string }
  /** No byte of the request was sent. */
  | { readonly kind: 'unsent'; readonly detail: string }
  /** The server promises that the request has not run. */
  | { readonly kind: 'notRun'; readonly status: number }
  /** The request may have run; nothing of the response was forwarded. */
  | { readonly kind: 'failed'; readonly detail: string; readonly isDisconnected: boolean }
  /** The response broke off after a part of it was forwarded. */
  | { readonly kind: 'cut'; readonly detail: string; readonly isDisconnected: boolean }
  /** The server was silent, and another one takes over. */
  | { readonly kind: 'replaced'; readonly by: Grant }
  | { readonly kind: 'ended'; readonly cause: AbortCause };

/** The log entry of one attempt. Times in ms. */
export interface AttemptLogEntry {
  readonly server: string;
  /** Start time of the server that the router knew, in ms since 1970; left out if its registration had none. */
  readonly born: number | undefined;
  /** The share of its rate that the request took, if the router treated the server as cold. */
  readonly cold: ColdShare | undefined;
  /** Predicted time to the first event or the response. */
  readonly predicted: number;
  /** Prompt tokens that the server does not have cached. */
  readonly missing: number;
  /** When the attempt began, after the arrival of the request. */
  readonly at: number;
  /** Time to the first forwarded bytes. */
  readonly first: number | undefined;
  readonly took: number;
  /** Body bytes that were forwarded to the caller. */
  readonly handedOn: number;
  /** Whether the server said in its response that it is leaving; omitted if not. */
  readonly leaving: true | undefined;
  readonly result: string;
}

/** The result that counts for the server's health; undefined if the attempt says nothing about it. */
export function serverOutcomeOf(attempt: AttemptOutcome): ServerOutcome | undefined {
  switch (attempt.kind) {
    case 'delivered':
      return attempt.status >= 500 ? 'failed' : 'answered';
    case 'unsendable':
      return undefined;
    case 'unsent':
      return 'unreachable';
    case 'notRun':
      return isMisdirected(attempt.status) ? 'misdirected' : 'refused';
    case 'failed':
    case 'cut':
      return attempt.isDisconnected ? 'disconnected' : 'failed';
    case 'replaced':
      return 'failed';
    case 'ended':
      return undefined;
  }
}

/** The outcome as text for the log. */
export function describeOutcome(attempt: AttemptOutcome): string {
  switch (attempt.kind) {
    case 'delivered':
    case 'notRun':
      return `${attempt.kind} ${attempt.status}`;
    case 'replaced':
      return 'replaced after silence';
    case 'ended':
      return `ended by ${attempt.cause}`;
    case 'unsendable':
    case 'unsent':
    case 'failed':
    case 'cut':
      return `${attempt.kind}: ${attempt.detail}`;
  }
}
