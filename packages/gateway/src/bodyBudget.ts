// The memory that request bodies may take in one router. Bodies are buffered, since a request may have to be sent twice, and
// many large ones at once would end the router with the requests of all its callers.

/**
 * Fraction of the process's memory for bodies. The deploy file allows the heap about half of it, the program takes an eighth,
 * and a body is held twice while its pieces are joined.
 */
const memoryFraction = 0.16;

/** Bytes of bodies that are buffered, with a limit. */
export class BodyBudget {
  #used = 0;

  private constructor(private readonly limit: number) {}

  /** `memory` is the memory that the process may use, in bytes. */
  static create(memory: number): BodyBudget {
    return new BodyBudget(memoryFraction * memory);
  }

  /** Whether `bytes` more could be reserved now. */
  has(bytes: number): boolean {
    return this.#used + bytes <= this.limit;
  }

  /** Reserves `bytes`, which have to be released in the end; returns false, and reserves nothing, beyond the limit. */
  reserve(bytes: number): boolean {
    if (!this.has(bytes)) return false;
    this.#used += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#used -= bytes;
  }
}
