// Reads and writes catalogue files. People write them, so every problem is reported with its line.

import { validateCatalogue, formatProblem, type ValidationProblem } from '@catkinwheel/protocol';
import type { Catalogue, CatalogueDocument } from '@catkinwheel/state';
import { err, ok, type Result } from 'neverthrow';
import { readFileSync } from 'node:fs';
import { isMap, isNode, isScalar, isSeq, LineCounter, parseDocument, stringify, visit } from 'yaml';
import type { Document, Node } from 'yaml';
import type { Failure } from './outcome.js';

const sha256HexDigits = 64;

/** Reads and checks a catalogue file. */
export function readCatalogue(file: string): Result<CatalogueDocument, Failure> {
  try {
    return parseCatalogue(file, readFileSync(file, 'utf8'));
  } catch (error) {
    const detail = error instanceof Error ? error.message : 'cannot read the file';
    return err({ kind: 'file', detail: `${file}: ${detail}`, problems: [] });
  }
}

/** Checks the text of a catalogue file. Problems have the form `file:line: path: what was expected`. */
export function parseCatalogue(file: string, text: string): Result<CatalogueDocument, Failure> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
  const syntaxErrors = document.errors.map(
    ({ pos, message }) => `${file}:${lines.linePos(pos[0]).line}: ${message}`,
  );
  if (syntaxErrors.length > 0) return err(invalidFile(file, syntaxErrors));
  // YAML reads a hash that consists only of decimal digits as a number, which loses digits.
  visit(document, {
    Scalar: (_, node) => {
      const { source } = node;
      if (typeof node.value === 'number' && source?.length === sha256HexDigits) node.value = source;
    },
  });
  const value: unknown = document.toJS();
  const problems = validateCatalogue(value).map(
    (problem) => `${file}:${lineOf(document, lines, problem)}: ${formatProblem(problem)}`,
  );
  return problems.length > 0 ? err(invalidFile(file, problems)) : ok(value as CatalogueDocument);
}

/** Formats a catalogue as a file that can be edited and applied again. */
export function catalogueText(catalogue: Catalogue): string {
  return stringify(catalogue, { lineWidth: 0 });
}

function invalidFile(file: string, problems: readonly string[]): Failure {
  const count = problems.length === 1 ? '1 problem' : `${problems.length} problems`;
  return { kind: 'file', detail: `${file}: ${count}`, problems };
}

/** Line of the invalid value, or of its nearest ancestor in the file if the value is missing. */
function lineOf(document: Document, lines: LineCounter, { path }: ValidationProblem): number {
  let node: unknown = document.contents;
  let offset = startOffset(node);
  for (const step of path) {
    if (isMap(node)) {
      const pair = node.items.find(({ key }) => isScalar(key) && String(key.value) === step);
      if (pair === undefined) break;
      offset = startOffset(pair.key) ?? offset;
      node = pair.value;
    } else if (isSeq(node)) {
      node = node.items[Number(step)];
      offset = startOffset(node) ?? offset;
    } else {
      break;
    }
  }
  return lines.linePos(offset ?? 0).line;
}

function startOffset(node: unknown): number | undefined {
  return isNode(node) ? (node as Node).range?.[0] : undefined;
}
