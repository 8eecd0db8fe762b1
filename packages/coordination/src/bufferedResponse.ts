// An answer on its way to the caller. As long as nothing of it was handed on, a failure may still be
// retried and may still become a clean error, so a small answer is held back until it is whole.

import type { ResponseHead, ResponsePart } from '@catkinwheel/protocol';

/** Largest body in bytes that is held back, and that a claim row records. */
export const maxBufferedBytes = 64 * 1024;

/** Collects the plain answer of one attempt. */
export class BufferedResponse {
  readonly head: ResponseHead;
  readonly #isHeld: boolean;
  #parts: Uint8Array[] = [];
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

  /** Whether pieces are kept back until the answer is whole. */
  get isBuffered(): boolean {
    return this.#isHeld;
  }

  /** Bytes received so far. */
  get size(): number {
    return this.#size;
  }

  /** The body so far, or undefined if it is larger than `heldBytes`. */
  get body(): Uint8Array | undefined {
    if (this.#size > maxBufferedBytes) return undefined;
    return this.#parts.length === 1 ? this.#parts[0] : Buffer.concat(this.#parts);
  }

  add(bytes: Uint8Array): void {
    this.#size += bytes.byteLength;
    if (this.#size <= maxBufferedBytes) this.#parts.push(bytes);
    else this.#parts = [];
  }

  /** The body in pieces; for held answers. */
  bufferedParts(): readonly ResponsePart[] {
    return this.#parts.map((bytes) => ({ kind: 'bytes', bytes }));
  }
}
