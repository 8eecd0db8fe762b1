// Reads the complete body of a caller's request before a server is chosen, since it may have to be sent twice.

import type { IncomingMessage } from 'node:http';

/** Reads the body. `gone`: the caller left before its end; `tooLarge`: it has more than `limit` bytes. */
export async function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Buffer | 'gone' | 'tooLarge'> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > limit) return 'tooLarge';
      chunks.push(chunk);
    }
  } catch {
    // The caller left while it sent its request, so no response is due.
    return 'gone';
  }
  return request.complete ? Buffer.concat(chunks) : 'gone';
}
