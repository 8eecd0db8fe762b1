// Reads bodies that other programs send, whole and up to a limit. A faulty program may send without end, and what is kept of
// one body takes memory from all other requests of the process.

/** Size in bytes of the blocks that a body is copied to. */
const blockSize = 16 * 1024;

/** A body that has more bytes than its reader accepts. */
export class BodySizeError extends Error {
  override readonly name = 'BodySizeError';

  private constructor(readonly limit: number) {
    super(`the body exceeds ${limit} bytes`);
  }

  static create(limit: number): BodySizeError {
    return new BodySizeError(limit);
  }
}

/**
 * Reads a body as UTF-8 text. Rejects with a `BodySizeError` as soon as it has more than `limit` bytes; a stream is destroyed
 * then. Needs at most three times `limit` bytes of memory, however small the pieces are.
 */
export async function readText(body: AsyncIterable<Uint8Array>, limit: number): Promise<string> {
  // Pieces are copied: one of a few bytes may keep the whole network buffer that it came in.
  const blocks: Buffer[] = [];
  let size = 0;
  for await (const piece of body) {
    if (size + piece.byteLength > limit) throw BodySizeError.create(limit);
    for (let offset = 0; offset < piece.byteLength;) {
      const used = size % blockSize;
      if (used === 0) blocks.push(Buffer.allocUnsafe(blockSize));
      const part = piece.subarray(offset, offset + blockSize - used);
      blocks.at(-1)?.set(part, used);
      offset += part.byteLength;
      size += part.byteLength;
    }
  }
  return Buffer.concat(blocks, size).toString('utf8');
}

/** Reads a body as JSON. Rejects as `readText` does, and with a `SyntaxError` if the text is not JSON. */
export async function readJson(body: AsyncIterable<Uint8Array>, limit: number): Promise<unknown> {
  return JSON.parse(await readText(body, limit)) as unknown;
}
