// Callers that left while their connections waited to be accepted: the router must not work for them.

import type { IncomingMessage } from 'node:http';
import { setImmediate as immediate } from 'node:timers/promises';
import { hasCallerLeft } from '@catkinwheel/coordination/routing';

/** Whether the caller had left before its request was read; to be asked in the turn of the event loop that read it. */
export function callerLeft({ socket }: IncomingMessage): Promise<boolean> {
  return hasCallerLeft(nextTurn, () => socket.destroyed || socket.readableEnded);
}

/** Ends after the reads of the next turn of the event loop. */
async function nextTurn(): Promise<void> {
  // The first of these ends in the present turn, after its reads.
  await immediate();
  await immediate();
}
