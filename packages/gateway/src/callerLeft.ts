// Detects callers that left while their connections waited in the accept queue, so that the router does no work for them.

import type { IncomingMessage } from 'node:http';
import { setImmediate as immediate } from 'node:timers/promises';
import { hasCallerLeft } from '@catkinwheel/coordination/routing';

/** Whether the caller left before its request was read. Must be called in the event-loop iteration that read the request. */
export function callerLeft({ socket }: IncomingMessage): Promise<boolean> {
  return hasCallerLeft(nextTurn, () => socket.destroyed || socket.readableEnded);
}

/** Resolves after the reads of the next event-loop iteration. */
async function nextTurn(): Promise<void> {
  // The first one resolves in the current iteration, after its reads.
  await immediate();
  await immediate();
}
