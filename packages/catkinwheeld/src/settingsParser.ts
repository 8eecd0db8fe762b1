// Validates a YAML document against a schema; errors give the line of a wrong value and what was expected.

import { isMap, isScalar, isSeq, LineCounter, parseDocument } from 'yaml';
import type { Node, YAMLMap } from 'yaml';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** An error in a settings file. */
export interface SettingsError {
  readonly file: string;
  /** Line number from 1. */
  readonly line: number;
  /** Dotted path of the setting; empty for the whole document. */
  readonly path: string;
  readonly message: string;
}

/** A single value; `read` returns undefined for an invalid one, and the error states `expected`. */
export interface Scalar<T> {
  readonly kind: 'scalar';
  readonly expected: string;
  readonly read: (value: unknown) => T | undefined;
  readonly fallback?: T;
  readonly optional?: true;
}

export interface List<T> {
  readonly kind: 'list';
  readonly item: Scalar<T>;
}

export interface Section {
  readonly kind: 'section';
  readonly fields: Readonly<Record<string, Field>>;
  readonly optional?: true;
}

export type Field = Scalar<unknown> | List<unknown> | Section;

/** Type of the values that a schema accepts. */
export type Value<F> =
  F extends Scalar<infer T>
    ? F extends { optional: true }
      ? T | undefined
      : T
    : F extends List<infer T>
      ? readonly T[]
      : F extends { kind: 'section'; fields: infer S }
        ? | { readonly [K in keyof S]: Value<S[K]> }
          | (F extends { optional: true } ? undefined : never)
        : never;

/** Formats an error as `file:line: path: message`. */
export function formatSettingsError(error: SettingsError): string {
  const subject = error.path === '' ? '' : ` ${error.path}:`;
  return `${error.file}:${error.line}:${subject} ${error.message}`;
}

/** Parses `text` and validates it against `schema`. All errors of the file are reported together. */
export function parseSettings<S extends Section>(
  file: string,
  text: string,
  schema: S,
): Result<Value<S>, readonly SettingsError[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, uniqueKeys: true });
  const reader = new SettingsReader(file, lines);
  if (document.errors.length > 0) {
    for (const error of document.errors) {
      reader.report(error.pos[0], '', error.message.split('\n')[0] ?? error.message);
    }
    return err(reader.errors);
  }
  const value = reader.section(document.contents, schema, '', 0);
  return reader.errors.length > 0 ? err(reader.errors) : ok(value as Value<S>);
}

class SettingsReader {
  readonly errors: SettingsError[] = [];
  readonly #file: string;
  readonly #lines: LineCounter;

  constructor(file: string, lines: LineCounter) {
    this.#file = file;
    this.#lines = lines;
  }

  report(offset: number, path: string, message: string): void {
    const line = Math.max(1, this.#lines.linePos(offset).line);
    this.errors.push({ file: this.#file, line, path, message });
  }

  section(node: unknown, schema: Section, path: string, parent: number): unknown {
    const offset = offsetOf(node, parent);
    if (isMissing(node)) {
      if (schema.optional === true) return undefined;
      node = undefined;
    } else if (!isMap(node)) {
      this.report(offset, path, 'expected a mapping');
      return undefined;
    }
    const map = node as YAMLMap | undefined;
    this.#reportUnknownKeys(map, schema, path);
    const entries = Object.entries(schema.fields).map(([name, field]) => {
      const child = map?.get(name, true);
      return [name, this.#field(child, field, joinPath(path, name), offset)];
    });
    return Object.fromEntries(entries) as unknown;
  }

  #reportUnknownKeys(map: YAMLMap | undefined, schema: Section, path: string): void {
    for (const pair of map?.items ?? []) {
      const name = isScalar(pair.key) ? String(pair.key.value) : '';
      if (Object.hasOwn(schema.fields, name)) continue;
      const known = Object.keys(schema.fields).join(', ');
      this.report(
        offsetOf(pair.key, 0),
        joinPath(path, name),
        `unknown setting; expected one of ${known}`,
      );
    }
  }

  #field(node: unknown, field: Field, path: string, parent: number): unknown {
    switch (field.kind) {
      case 'section':
        return this.section(node, field, path, parent);
      case 'list':
        return this.#list(node, field, path, parent);
      case 'scalar':
        return this.#scalar(node, field, path, parent);
    }
  }

  #list(node: unknown, field: List<unknown>, path: string, parent: number): unknown {
    if (isMissing(node)) return [];
    if (!isSeq(node)) {
      this.report(offsetOf(node, parent), path, `expected a list of ${field.item.expected}`);
      return [];
    }
    return node.items.map((item, index) =>
      this.#scalar(item, field.item, `${path}[${index}]`, offsetOf(node, parent)),
    );
  }

  #scalar(node: unknown, field: Scalar<unknown>, path: string, parent: number): unknown {
    if (isMissing(node)) {
      if (field.optional === true || field.fallback !== undefined) return field.fallback;
      this.report(parent, path, `missing; expected ${field.expected}`);
      return undefined;
    }
    const raw = isScalar(node) ? node.value : undefined;
    const value = raw === undefined ? undefined : field.read(raw);
    if (value === undefined) {
      const shown = isScalar(node) ? JSON.stringify(node.value) : 'a collection';
      this.report(
        offsetOf(node, parent),
        path,
        `${shown} is not valid; expected ${field.expected}`,
      );
    }
    return value;
  }
}

function isMissing(node: unknown): boolean {
  return node === undefined || node === null || (isScalar(node) && node.value === null);
}

function offsetOf(node: unknown, fallback: number): number {
  const range = (node as Node | null | undefined)?.range;
  return range?.[0] ?? fallback;
}

function joinPath(path: string, name: string): string {
  return path === '' ? name : `${path}.${name}`;
}
