// Whether the caller of a connection is still there. A caller that closes its connection while its request waits is told from one
// that waits by the end of what it sends.

import type { Socket } from 'node:net';

/** Whether the caller has left, as far as its connection has been read. */
export function hasLeft({ destroyed, readableEnded }: Socket): boolean {
  return destroyed || readableEnded;
}
