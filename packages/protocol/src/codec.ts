// Building blocks for decoding. A party that speaks another dialect is refused with the path of the
// first wrong value; guessing at its meaning could break a promise to a caller.

import { Codec, Left, Right, type Either } from 'purify-ts';

/** A codec for each property of T. */
export type Fields<T> = { readonly [P in keyof T]-?: Codec<T[P]> };

/** What a value is, for error texts. */
export function describe(value: unknown): string {
  if (value === null) return 'null';
  if (value === undefined) return 'nothing';
  if (Array.isArray(value)) return 'a list';
  return typeof value === 'object' ? 'an object' : `${typeof value} ${JSON.stringify(value)}`;
}

/** Separates the steps of a path within an error text, since names may contain any printable one. */
export const pathSeparator = '\u001f';

/** The error of a part, with the step that leads to it in front. */
export function at(step: string | number, error: string): string {
  return error.startsWith(':') ? `${step}${error}` : `${step}${pathSeparator}${error}`;
}

/** A codec for values that satisfy `accepts`; other values fail with `expected` in the text. */
export function value<T>(expected: string, accepts: (input: unknown) => input is T): Codec<T> {
  return Codec.custom<T>({
    decode: (input) =>
      accepts(input) ? Right(input) : Left(`: expected ${expected}, found ${describe(input)}`),
    encode: (input) => input,
  });
}

export const text = value('a string', (input) => typeof input === 'string');
export const name = value(
  'a name (1 to 200 characters)',
  (input): input is string => typeof input === 'string' && input.length > 0 && input.length <= 200,
);
export const flag = value('true or false', (input) => typeof input === 'boolean');
export const amount = value('a finite number', (input): input is number => Number.isFinite(input));
export const nonNegativeInteger = value(
  'a whole number of 0 or more',
  (input): input is number => Number.isSafeInteger(input) && (input as number) >= 0,
);
export const positive = value(
  'a number above 0',
  (input): input is number => Number.isFinite(input) && (input as number) > 0,
);
export const positiveCount = value(
  'a whole number of 1 or more',
  (input): input is number => Number.isSafeInteger(input) && (input as number) >= 1,
);
export const anyValue = value('anything', (input): input is unknown => input !== undefined);

/** One of the given strings. */
export function oneOf<T extends string>(...options: readonly T[]): Codec<T> {
  return value(options.map((option) => JSON.stringify(option)).join(' or '), (input): input is T =>
    (options as readonly unknown[]).includes(input),
  );
}

export function nullable<T>(codec: Codec<T>): Codec<T | null> {
  return Codec.custom<T | null>({
    decode: (input) => (input === null ? Right(null) : codec.decode(input)),
    encode: (input): unknown => (input === null ? null : codec.encode(input)),
  });
}

export function list<T>(codec: Codec<T>): Codec<readonly T[]> {
  return Codec.custom<readonly T[]>({
    decode: (input) => {
      if (!Array.isArray(input)) return Left(`: expected a list, found ${describe(input)}`);
      for (let index = 0; index < input.length; index++) {
        const item = codec.decode(input[index]);
        if (item.isLeft()) return Left(at(index, item.extract()));
      }
      return Right(input as readonly T[]);
    },
    encode: (input) => input,
  });
}

/** An object from names to values. */
export function table<T>(codec: Codec<T>): Codec<Readonly<Record<string, T>>> {
  return Codec.custom<Readonly<Record<string, T>>>({
    decode: (input) => {
      if (!isObject(input)) return Left(`: expected an object, found ${describe(input)}`);
      for (const key of Object.keys(input)) {
        if (key === '__proto__') return Left(at(key, ': not allowed as a name'));
        const item = codec.decode(input[key]);
        if (item.isLeft()) return Left(at(key, item.extract()));
      }
      return Right(input as Record<string, T>);
    },
    encode: (input) => input,
  });
}

/**
 * An object with exactly these properties. Decoding returns the input itself, without a copy, since
 * messages are decoded by the dozen in one turn of the event loop.
 */
export function strictObject<T extends object>(fields: Fields<T>): Codec<T> {
  const keys = Object.keys(fields) as (keyof T & string)[];
  const known = new Set<string>(keys);
  const surplus = `: unknown field, expected ${keys.join(', ')}`;
  return Codec.custom<T>({
    decode: (input): Either<string, T> => {
      if (!isObject(input)) return Left(`: expected an object, found ${describe(input)}`);
      // Unknown fields come first, since a misspelled name also leaves the right one missing.
      for (const key in input) if (!known.has(key)) return Left(at(key, surplus));
      for (const key of keys) {
        const item = fields[key].decode(input[key]);
        if (item.isLeft()) return Left(at(key, item.extract()));
      }
      return Right(input as T);
    },
    encode: (input) => input,
  });
}

/** Objects of several kinds, told apart by their property `kind`. */
export function kinds<T extends { readonly kind: string }>(codecs: {
  readonly [K in T['kind']]: Codec<Extract<T, { readonly kind: K }>>;
}): Codec<T> {
  const options = new Map<unknown, Codec<T>>(
    Object.entries(codecs as unknown as Readonly<Record<string, Codec<T>>>),
  );
  const names = [...options.keys()].join(', ');
  return Codec.custom<T>({
    decode: (input) => {
      if (!isObject(input)) return Left(`: expected an object, found ${describe(input)}`);
      const codec = options.get(input.kind);
      if (codec !== undefined) return codec.decode(input);
      return Left(`kind: expected one of ${names}, found ${describe(input.kind)}`);
    },
    encode: (input) => input,
  });
}

function isObject(input: unknown): input is Readonly<Record<string, unknown>> {
  return typeof input === 'object' && input !== null && !Array.isArray(input);
}
