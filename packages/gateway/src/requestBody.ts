// Reads the complete body of a caller's request before a server is chosen, since it may have to be sent twice.

import type { IncomingMessage } from 'node:http';
import type { BodyBudget } from './bodyBudget.js';

type Body = Buffer | 'gone' | 'aborted' | 'tooLarge' | 'noMemory';

/**
 * Reads the body. `gone`: the caller left before its end; `aborted`: `signal` was aborted before its end, and the rest is not
 * read; `tooLarge`: it has more than `limit` bytes; `noMemory`: the budget had no room for it, and it was read and dropped, so
 * that the caller gets the response and the connection goes on. The size of a body that is returned has to be released to the
 * budget.
 */
export function readBody(
  request: IncomingMessage,
  limit: number,
  budget: BodyBudget,
  signal: AbortSignal,
): Promise<Body> {
  return new Promise((resolve) => {
    let chunks: Buffer[] = [];
    let size = 0;
    let reserved = 0;
    let hasRoom = budget.has(Number(request.headers['content-length'] ?? 0));
    const release = (): void => {
      budget.release(reserved);
      reserved = 0;
      chunks = [];
    };
    const finish = (result: Body): void => {
      request.off('data', onData).off('end', onEnd).off('close', onGone);
      signal.removeEventListener('abort', onAbort);
      if (typeof result === 'string') release();
      resolve(result);
    };
    const onData = (chunk: Buffer): void => {
      size += chunk.length;
      if (size > limit) {
        finish('tooLarge');
        return;
      }
      hasRoom &&= budget.reserve(chunk.length);
      if (hasRoom) {
        reserved += chunk.length;
        chunks.push(chunk);
      } else release();
    };
    const onEnd = (): void => {
      if (!request.complete) finish('gone');
      else finish(hasRoom ? Buffer.concat(chunks, size) : 'noMemory');
    };
    const onGone = (): void => {
      finish('gone');
    };
    const onAbort = (): void => {
      finish('aborted');
    };
    if (request.destroyed) onGone();
    else if (signal.aborted) onAbort();
    else {
      signal.addEventListener('abort', onAbort);
      request.on('data', onData).on('end', onEnd).on('close', onGone);
      // `close` follows an error, which without a listener would end this process, also when the wait is over.
      request.on('error', () => undefined);
    }
  });
}
