// Runs codecs with a `Result` as outcome, and parses the paths in their error messages.

import { err, ok, type Result } from 'neverthrow';
import type { Codec } from 'purify-ts';
import { pathSeparator } from './codec.js';

/** An invalid value in a document. */
export interface ValidationProblem {
  /** Property names and list indexes (as decimal numbers) from the root to the value. */
  readonly path: readonly string[];
  /** What was expected there, as one clause. */
  readonly detail: string;
}

/** Decodes `input`; the error starts with the path of the first invalid value. */
export function decode<T>(codec: Codec<T>, input: unknown): Result<T, string> {
  return decodeAt([], codec, input).mapErr(formatProblem);
}

/** Decodes the part of a document at `path`. */
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

/** Longest error of `decodeForeign` in characters; the rest would repeat the input. */
const maxErrorLength = 500;

/**
 * Decodes input that another program wrote, with one of purify's own codecs. Their errors print the invalid value, which throws
 * if the value is nested too deeply.
 */
export function decodeForeign<T>(codec: Codec<T>, input: unknown): Result<T, string> {
  try {
    return codec.decode(input).caseOf<Result<T, string>>({
      Left: (error) => err(error.slice(0, maxErrorLength)),
      Right: (value) => ok(value),
    });
  } catch (error) {
    return err(`cannot be decoded: ${String(error)}`);
  }
}

/** Formats a problem as one line, such as `teams.a.weight: expected a number above 0`. */
export function formatProblem({ path, detail }: ValidationProblem): string {
  return path.length === 0 ? detail : `${path.join('.')}: ${detail}`;
}
