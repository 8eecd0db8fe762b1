// Buffers request bodies completely, since a retry needs them again. Their size and the time to
// send them are limited, so that large or slow requests cannot exhaust the router's memory.

import type { IncomingMessage } from 'node:http';
import type { Failure, Milliseconds } from '@catkinwheel/state';
import { notRun } from '@catkinwheel/state';
import { err, ok, type Result } from 'neverthrow';

/** Limits on the bodies that callers send. */
export interface BodyLimits {
  /** Maximum size of a body in bytes. */
  readonly bytes: number;
  /** Maximum total size in bytes of the bodies that this router buffers at the same time. */
  readonly totalBytes: number;
  /** Maximum time from the header to the end of the body. */
  readonly timeout: Milliseconds;
}

/** Reads bodies and counts the bytes that are buffered for requests in flight. */
export class BodyReader {
  readonly #limits: BodyLimits;
  #bufferedBytes = 0;

  private constructor(limits: BodyLimits) {
    this.#limits = limits;
  }

  static create(limits: BodyLimits): BodyReader {
    return new BodyReader(limits);
  }

  /** Bytes of bodies that are buffered at present. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /**
   * The complete body, or null if there is none. Its size must be passed to `release` in the end.
   */
  async read(incoming: IncomingMessage): Promise<Result<Buffer | null, Failure>> {
    const declaredLength = Number(incoming.headers['content-length'] ?? 0);
    if (declaredLength > this.#limits.bytes) return err(this.#tooLarge());
    if (declaredLength === 0 && incoming.headers['transfer-encoding'] === undefined)
      return ok(null);
    return new Promise((resolve) => {
      this.#collect(incoming, resolve);
    });
  }

  /** Subtracts a body of this size, which is no longer buffered. */
  release(bytes: number): void {
    this.#bufferedBytes -= bytes;
  }

  #collect(
    incoming: IncomingMessage,
    resolve: (result: Result<Buffer | null, Failure>) => void,
  ): void {
    const chunks: Buffer[] = [];
    let size = 0;
    const settle = (result: Result<Buffer | null, Failure>): void => {
      clearTimeout(timer);
      incoming.off('data', onData).off('end', onEnd).off('close', onClose).off('error', onClose);
      if (result.isErr()) this.#bufferedBytes -= size;
      resolve(result);
    };
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk);
      size += chunk.byteLength;
      this.#bufferedBytes += chunk.byteLength;
      if (size > this.#limits.bytes) settle(err(this.#tooLarge()));
      else if (this.#bufferedBytes > this.#limits.totalBytes) settle(err(memoryLimitReached));
    };
    const onEnd = (): void => {
      settle(ok(chunks.length === 1 ? (chunks[0] ?? null) : Buffer.concat(chunks)));
    };
    const onClose = (): void => {
      settle(
        err(notRun('callerGone', 'the caller closed the connection before the end of its request')),
      );
    };
    const timer = setTimeout(() => {
      settle(
        err(
          notRun(
            'slowCaller',
            `the request body was not complete within ${this.#limits.timeout} ms`,
          ),
        ),
      );
    }, this.#limits.timeout);
    incoming.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose);
  }

  #tooLarge(): Failure {
    return notRun('bodyTooLarge', `the request body exceeds ${this.#limits.bytes} bytes`);
  }
}

/** Callers may retry after one second. */
const memoryLimitReached = notRun(
  'routerMemoryLimit',
  'the router has reached its memory limit for request bodies',
  1_000,
);
