// Positional encoding: messages between routers are sent as lists of values in a fixed order. Field
// names made up more than half of the control traffic, and both sides always have the same protocol
// version.

import { Codec, Left, Right, type Either } from 'purify-ts';
import { finiteNumber, prefixPath, describeInput, type Fields } from './codec.js';

/** Steps per unit to which amounts are rounded; a finer resolution would change no decision. */
const stepsPerUnit = 1000;

/** A finite number, rounded to thousandths when it is encoded. */
export const roundedNumber: Codec<number> = Codec.custom<number>({
  decode: finiteNumber.decode,
  encode: (value) => Math.round(value * stepsPerUnit) / stepsPerUnit,
});

/**
 * An object that is encoded as the list of its values, in the order of `fields`. Error messages
 * contain the names.
 */
export function tuple<T extends object>(fields: Fields<T>): Codec<T> {
  const keys = Object.keys(fields) as (keyof T & string)[];
  return Codec.custom<T>({
    decode: (input): Either<string, T> => {
      if (!Array.isArray(input)) return Left(`: expected a list, found ${describeInput(input)}`);
      if (input.length !== keys.length) {
        return Left(`: expected ${keys.length} values, found ${input.length}`);
      }
      const value: Partial<T> = {};
      for (const [index, key] of keys.entries()) {
        const item = fields[key].decode(input[index]);
        if (item.isLeft()) return Left(prefixPath(key, item.extract()));
        value[key] = item.extract() as T[typeof key];
      }
      return Right(value as T);
    },
    encode: (value) => keys.map((key) => fields[key].encode(value[key])),
  });
}

/** A list of values that `codec` encodes one by one. */
export function encodedList<T>(codec: Codec<T>): Codec<readonly T[]> {
  return Codec.custom<readonly T[]>({
    decode: (input) => {
      if (!Array.isArray(input)) return Left(`: expected a list, found ${describeInput(input)}`);
      const values: T[] = [];
      for (const [index, element] of input.entries()) {
        const item = codec.decode(element);
        if (item.isLeft()) return Left(prefixPath(index, item.extract()));
        values.push(item.extract() as T);
      }
      return Right(values);
    },
    encode: (values) => values.map((value) => codec.encode(value)),
  });
}

/** A union of object types that `tuple` encodes, discriminated by the first value, the kind. */
export function taggedTuple<T extends { readonly kind: string }>(codecs: {
  readonly [K in T['kind']]: Codec<Extract<T, { readonly kind: K }>>;
}): Codec<T> {
  const options = new Map<unknown, Codec<T>>(
    Object.entries(codecs as unknown as Readonly<Record<string, Codec<T>>>),
  );
  const names = [...options.keys()].join(', ');
  return Codec.custom<T>({
    decode: (input) => {
      if (!Array.isArray(input)) return Left(`: expected a list, found ${describeInput(input)}`);
      const kind: unknown = input[0];
      const codec = options.get(kind);
      if (codec !== undefined) return codec.decode(input);
      return Left(`kind: expected one of ${names}, found ${describeInput(kind)}`);
    },
    encode: (value): unknown => options.get(value.kind)?.encode(value),
  });
}
