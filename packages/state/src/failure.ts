// Every failure says whether the request may have run, because a caller's next step depends on it.

import type { Milliseconds } from './clock.js';

/**
 * Whether a request was executed by a server.
 * `notRun`: certainly not. `mayHaveRun`: unknown. `ran`: certainly, although its answer may be lost.
 */
export type Verdict = 'notRun' | 'mayHaveRun' | 'ran';

/** Why a request was refused, retried or failed. Each reason has its own counter. */
export type Reason =
  | 'badRequest'
  | 'unauthenticated'
  | 'forbidden'
  | 'unknownEntry'
  | 'bodyTooLarge'
  | 'slowCaller'
  | 'queueLimit'
  | 'queueBytesLimit'
  | 'routerMemoryLimit'
  | 'deadline'
  | 'callerGone'
  | 'noCatalogue'
  | 'isolated'
  | 'leaving'
  | 'noServer'
  | 'connectFailed'
  | 'serverRefused'
  | 'connectionLost'
  | 'silentConnection'
  | 'answerMismatch'
  | 'truncatedAnswer'
  | 'streamLost'
  | 'revoked'
  | 'permitExpired'
  | 'retriesExhausted'
  | 'retryBudget'
  | 'platformUnavailable'
  | 'claimConflict'
  | 'keyReused'
  | 'claimUnresolved'
  | 'answerNotRecorded'
  | 'internal';

/** A failed operation on a request. */
export interface Failure {
  readonly verdict: Verdict;
  readonly reason: Reason;
  /** One sentence for a person, without secrets. */
  readonly detail: string;
  /** Time after which a retry may succeed. */
  readonly retryAfter?: Milliseconds;
}

/** A failure of a request that was certainly not executed. */
export function notRun(reason: Reason, detail: string, retryAfter?: Milliseconds): Failure {
  return retryAfter === undefined
    ? { verdict: 'notRun', reason, detail }
    : { verdict: 'notRun', reason, detail, retryAfter };
}

/** A failure of a request that a server may have executed. */
export function mayHaveRun(reason: Reason, detail: string): Failure {
  return { verdict: 'mayHaveRun', reason, detail };
}
