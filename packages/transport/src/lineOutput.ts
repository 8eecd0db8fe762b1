// Lines on standard output and standard error. What reads them may be stuck or gone, which must neither end nor delay the process.

import type { Writable } from 'node:stream';

/** Bytes that are buffered for a slow reader; lines beyond are lost. */
const maxBufferedBytes = 1024 * 1024;

/** Writes lines to a stream. Never blocks on a pipe and never throws. */
export class LineOutput {
  #lost = 0;
  #isClosed = false;

  private constructor(private readonly stream: Writable) {
    // Each failed write also has its own callback, which counts its line.
    stream.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EPIPE') this.#isClosed = true;
    });
  }

  static create(stream: Writable): LineOutput {
    return new LineOutput(stream);
  }

  /** Lines that were not written since the start, since the reader was stuck or gone. */
  get lost(): number {
    return this.#lost;
  }

  /** Writes a line, to which it adds the line break, or counts it as lost. */
  write(line: string): void {
    if (this.#isClosed || this.stream.writableLength > maxBufferedBytes) {
      this.#lost += 1;
      return;
    }
    this.stream.write(`${line}\n`, (error) => {
      if (error != null) this.#lost += 1;
    });
  }
}

export const standardOutput = LineOutput.create(process.stdout);
export const standardError = LineOutput.create(process.stderr);
