// Bridges codecs to results, and their error texts to paths.

import { err, ok, type Result } from 'neverthrow';
import type { Codec } from 'purify-ts';
import { pathSeparator } from './codec.js';

/** A wrong value in a document. */
export interface ValidationProblem {
  /** Property names and list indexes (as decimal numbers) from the root to the value. */
  readonly path: readonly string[];
  /** What was expected there, as one clause. */
  readonly detail: string;
}

/** Decodes `input`; the error starts with the path of the first wrong value. */
export function decode<T>(codec: Codec<T>, input: unknown): Result<T, string> {
  return decodeAt([], codec, input).mapErr(formatProblem);
}

/** Decodes a part of a document that is found at `path`. */
export function decodeAt<T>(
  path: readonly string[],
  codec: Codec<T>,
  input: unknown,
): Result<T, ValidationProblem> {
  return codec.decode(input).caseOf<Result<T, ValidationProblem>>({
    Left: (error) => {
      const last = error.lastIndexOf(pathSeparator) + 1;
      const end = error.indexOf(':', last);
      const steps = error.slice(0, end).split(pathSeparator);
      return err({
        path: [...path, ...steps.filter((step) => step !== '')],
        detail: error.slice(end + 1).trim(),
      });
    },
    Right: (value) => ok(value),
  });
}

/** The problem as one line, such as `teams.a.weight: expected a number above 0`. */
export function formatProblem({ path, detail }: ValidationProblem): string {
  return path.length === 0 ? detail : `${path.join('.')}: ${detail}`;
}
