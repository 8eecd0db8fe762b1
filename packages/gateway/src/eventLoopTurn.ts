// Lets this process read what has come before it decides by time: timers of a process that stood still run before its reads.

import { setImmediate as immediate } from 'node:timers/promises';

/** Resolves after the reads of the next event-loop iteration. */
export async function nextTurn(): Promise<void> {
  // The first one resolves in the current iteration, after its reads.
  await immediate();
  await immediate();
}
