// Reads the head of a connection's first request before the HTTP parser does, so that a saturated router can decide by its
// route who serves it. Parsing and serving the request costs several times as much.

import type { Socket } from 'node:net';
import type { PromptSize } from '@catkinwheel/coordination/routing';
import { decodeKey, decodePromptSize, headerNames } from '@catkinwheel/platform';
import type { Milliseconds } from '@catkinwheel/state';

/** A head that is not complete by then is left to the HTTP parser, which enforces the header timeout. */
const readTimeout: Milliseconds = 300;
/** In bytes, as the HTTP parser. */
const maxHeadBytes = 16 * 1024;
/** Bytes of a body that are read while the request waits; the end of its connection comes after them. */
const maxHeldBytes = 64 * 1024;
const leavingEvents = ['end', 'error', 'close'] as const;
const headEnd = '\r\n\r\n';

/** The first request of a connection, which is read further until its bytes are taken. */
export interface FirstRequest {
  /** Pauses the connection. Returns all bytes read so far, which may include a part of the body. */
  readonly takeBytes: () => Buffer;
  /** Undefined if the head is incomplete, malformed, or expects an interim response. */
  readonly head: FirstHead | undefined;
}

/** The fields of a head by which a router decides who serves the request. */
export interface FirstHead {
  readonly path: string;
  readonly headers: { readonly host: string };
  /** The request id, empty if the request has none. */
  readonly id: string;
  /** API key, which identifies the team; undefined if the caller sent none. */
  readonly key: string | undefined;
  /** Undefined for requests to services without a model. */
  readonly size: PromptSize | undefined;
}

/**
 * Reads the first request of a connection up to the end of its head, and what comes after that until its bytes are taken, so that the
 * end of the connection is seen meanwhile. Resolves with undefined if the caller leaves before the end of the head.
 */
export function readFirstRequest(socket: Socket): Promise<FirstRequest | undefined> {
  return new Promise((resolve) => {
    let chunks: readonly Buffer[] = [];
    let size = 0;
    let isDecided = false;
    const bytes = (): Buffer => Buffer.concat(chunks, size);
    const takeBytes = (): Buffer => {
      socket.off('data', onData);
      socket.pause();
      return bytes();
    };
    const finish = (result: FirstRequest | undefined): void => {
      clearTimeout(timer);
      for (const event of leavingEvents) socket.off(event, onLeft);
      isDecided = true;
      resolve(result);
    };
    const onData = (chunk: Buffer): void => {
      chunks = [...chunks, chunk];
      size += chunk.length;
      if (isDecided) {
        if (size > maxHeldBytes) socket.pause();
        return;
      }
      const read = bytes();
      const end = read.indexOf(headEnd);
      if (end < 0 && size < maxHeadBytes) return;
      const head = end < 0 ? undefined : parseHead(read.toString('latin1', 0, end));
      finish({ takeBytes, head });
    };
    const onLeft = (): void => {
      socket.off('data', onData);
      socket.destroy();
      finish(undefined);
    };
    const timer = setTimeout(() => {
      finish({ takeBytes, head: undefined });
    }, readTimeout);
    socket.on('data', onData);
    for (const event of leavingEvents) socket.on(event, onLeft);
  });
}

function parseHead(text: string): FirstHead | undefined {
  const path = /^\S+ (\S+) HTTP\/1\.1(?:\r\n|$)/.exec(text)?.[1];
  const host = fieldOf(text, 'host');
  if (path === undefined || host === undefined || fieldOf(text, 'expect') !== undefined)
    return undefined;
  const id = fieldOf(text, headerNames.requestId) ?? '';
  const key = decodeKey(fieldOf(text, headerNames.authorization));
  return {
    path,
    headers: { host },
    id,
    key,
    size: decodePromptSize(fieldOf(text, headerNames.tokens)),
  };
}

/** The value of the field `name`, which contains letters and hyphens only; undefined if it is missing. */
function fieldOf(text: string, name: string): string | undefined {
  return new RegExp(`\\r\\n${name}:[ \\t]*([^\\r\\n]*)`, 'i').exec(text)?.[1]?.trim();
}
