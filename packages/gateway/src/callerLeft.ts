// Detects callers that left while their connections waited in the accept queue, so that the router does no work for them.

import type { IncomingMessage } from 'node:http';
import { hasCallerLeft } from '@catkinwheel/coordination/routing';
import { nextTurn } from './eventLoopTurn.js';

/** Whether the caller left before its request was read. Must be called in the event-loop iteration that read the request. */
export function callerLeft({ socket }: IncomingMessage): Promise<boolean> {
  return hasCallerLeft(nextTurn, () => socket.destroyed || socket.readableEnded);
}
