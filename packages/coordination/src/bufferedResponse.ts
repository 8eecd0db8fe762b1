// Collects a response on its way to the caller. As long as nothing was forwarded, a failed attempt can still
// be retried or become a proper error response, so a small response is buffered until it is complete.

import type { ResponseHead, ResponsePart } from '@catkinwheel/protocol';

/** Maximum body in bytes that is buffered, and that a claim row records. */
export const maxBufferedBytes = 64 * 1024;

/** Collects the plain response of one attempt. */
export class BufferedResponse {
  readonly head: ResponseHead;
  readonly #isHeld: boolean;
  #chunks: Uint8Array[] = [];
  #size = 0;

  private constructor(head: ResponseHead, isBuffered: boolean) {
    this.head = head;
    this.#isHeld = isBuffered;
  }

  static create(head: ResponseHead): BufferedResponse {
    const length = head.headers['content-length'];
    return new BufferedResponse(
      head,
      typeof length === 'string' && Number(length) <= maxBufferedBytes,
    );
  }

  /** Whether parts are buffered until the response is complete. */
  get isBuffered(): boolean {
    return this.#isHeld;
  }

  /** Bytes received so far. */
  get size(): number {
    return this.#size;
  }

  /** The body so far, or undefined if it is larger than the maximum. */
  get body(): Uint8Array | undefined {
    if (this.#size > maxBufferedBytes) return undefined;
    return this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks);
  }

  add(bytes: Uint8Array): void {
    this.#size += bytes.byteLength;
    if (this.#size <= maxBufferedBytes) this.#chunks.push(bytes);
    else this.#chunks = [];
  }

  /** The body in parts; only for buffered responses. */
  bufferedParts(): readonly ResponsePart[] {
    return this.#chunks.map((bytes) => ({ kind: 'bytes', bytes }));
  }
}
