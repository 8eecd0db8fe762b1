// What holds wherever requests of many teams wait for something that is short: servers, or the processor time of a router.

import type { Milliseconds } from '@catkinwheel/state';

/**
 * A queue that has not been empty for this time is a standing one: it comes from more requests than can be served, not from a
 * burst that is soon worked off (M. Maurer, Fail at Scale, ACM Queue 13.8, after the CoDel queue management).
 */
export const standingQueueTime: Milliseconds = 300;
/** Callers that are refused come back after this multiple of the time for which the queue has been standing. */
export const returnFactor = 2;
const minRetryDelay: Milliseconds = 300;
const maxRetryDelay: Milliseconds = 4_000;
/**
 * A team that has received less than this fraction of what the best-served team has got is owed service. Half of what another
 * team gets is the least that is fair; the rest is for service that is reported late.
 */
const owedFraction = 0.6;

/** Whether a team that has received so many tokens in the whole fleet is owed service. */
export function isOwedService(received: number, mostReceived: number): boolean {
  return received < owedFraction * mostReceived;
}

/** The retry delay that is sent to a caller which would have had to wait for so long. */
export function retryDelay(wait: Milliseconds): Milliseconds {
  return Math.min(maxRetryDelay, Math.max(minRetryDelay, wait));
}
