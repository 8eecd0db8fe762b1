// Rules for retries. Whether a failure allows another attempt depends only on its reason and on whether
// anything was sent.

import type { Failure, Reason } from '@catkinwheel/state';

/** Failures before the first byte could be sent; any request, idempotent or not, may be retried after them. */
const unsentReasons: ReadonlySet<Reason> = new Set(['permitExpired', 'noServer', 'connectFailed']);

/** Whether no byte of the attempt can have been sent. */
export function isUnsent({ reason, verdict }: Failure): boolean {
  return unsentReasons.has(reason) && verdict === 'notRun';
}

/** Failures after which an idempotent request may be retried. */
export const retryableReasons: ReadonlySet<Reason> = new Set([
  'connectFailed',
  'serverRefused',
  'connectionLost',
  'silentConnection',
  'answerMismatch',
  'truncatedAnswer',
  'streamLost',
  'revoked',
]);

/** Failures of the fleet's own permits, not of a server. The move to another permit is not counted as a retry. */
export const moveReasons: ReadonlySet<Reason> = new Set(['permitExpired', 'noServer', 'revoked']);
