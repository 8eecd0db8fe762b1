// Reads the complete body of a caller's request before a server is chosen, since it may have to be sent twice.

import { on } from 'node:events';
import type { IncomingMessage } from 'node:http';
import type { BodyBudget } from './bodyBudget.js';

/**
 * Reads the body. `gone`: the caller left before its end; `aborted`: `signal` was aborted before its end, and the rest is not
 * read; `tooLarge`: it has more than `limit` bytes; `noMemory`: the budget had no room for it, and it was read and dropped, so
 * that the caller gets the response and the connection goes on. The size of a body that is returned has to be released to the
 * budget.
 */
export async function readBody(
  request: IncomingMessage,
  limit: number,
  budget: BodyBudget,
  signal: AbortSignal,
): Promise<Buffer | 'gone' | 'aborted' | 'tooLarge' | 'noMemory'> {
  if (request.destroyed) return 'gone';
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
    const pieces = on(request, 'data', { signal, close: ['end', 'close'] });
    for await (const [chunk] of pieces as AsyncIterable<readonly [Buffer]>) {
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
    // The wait was aborted, or the connection failed while the caller sent its request, so that no response is due.
    release();
    return signal.aborted ? 'aborted' : 'gone';
  }
  const isWhole = request.complete && request.readableEnded;
  if (isWhole && hasRoom) return Buffer.concat(chunks, size);
  release();
  return isWhole ? 'noMemory' : 'gone';
}
