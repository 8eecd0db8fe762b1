// Reads the complete body of a caller's request before a server is chosen, since it may have to be sent twice.

import type { IncomingMessage } from 'node:http';
import type { BodyBudget } from './bodyBudget.js';

/**
 * Reads the body. `gone`: the caller left before its end; `tooLarge`: it has more than `limit` bytes; `noMemory`: the budget
 * had no room for it, and it was read and dropped, so that the caller gets the response and the connection goes on. The size
 * of a body that is returned has to be released to the budget.
 */
export async function readBody(
  request: IncomingMessage,
  limit: number,
  budget: BodyBudget,
): Promise<Buffer | 'gone' | 'tooLarge' | 'noMemory'> {
  let chunks: Buffer[] = [];
  let size = 0;
  let reserved = 0;
  let hasRoom = budget.has(Number(request.headers['content-length'] ?? 0));
  const release = (): void => {
    budget.release(reserved);
    reserved = 0;
    chunks = [];
  };
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > limit) {
        release();
        return 'tooLarge';
      }
      hasRoom &&= budget.reserve(chunk.length);
      if (hasRoom) {
        reserved += chunk.length;
        chunks.push(chunk);
      } else release();
    }
  } catch {
    // The caller left while it sent its request, so no response is due.
    release();
    return 'gone';
  }
  if (request.complete && hasRoom) return Buffer.concat(chunks, size);
  release();
  return request.complete ? 'noMemory' : 'gone';
}
