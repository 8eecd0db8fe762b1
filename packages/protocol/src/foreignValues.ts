// Codecs of values that other programs write, for `decodeForeign`. They accept what the parts behind a decoder can bear: a number
// that is infinite, negative or a fraction passes as a `number`, and fails or misleads far from where it was read.

import { Codec, Left, Right } from 'purify-ts';
import { isIPv4 } from 'node:net';

/** Longest duration of a timer in milliseconds; `setTimeout` fires at once if it is longer. */
export const maxTimerDuration = 2 ** 31 - 1;
/** Largest count of tokens; sums of many such counts are still exact. */
export const maxTokenCount = 2 ** 31 - 1;

/** A finite number. */
export const finite = checkedNumber('a finite number', () => true);
/** A measured or computed quantity of 0 or more. */
export const amount = checkedNumber(
  `a number from 0 to ${Number.MAX_SAFE_INTEGER}`,
  (value) => value >= 0 && value <= Number.MAX_SAFE_INTEGER,
);
/** A count, a version or a point in time in whole milliseconds. */
export const wholeNumber = checkedNumber(
  'a whole number of 0 or more',
  (value) => Number.isSafeInteger(value) && value >= 0,
);
export const tokenCount = checkedNumber(
  `a whole number from 0 to ${maxTokenCount}`,
  (value) => Number.isSafeInteger(value) && value >= 0 && value <= maxTokenCount,
);

/** The IPv4 address of a VM, which is connected to and told to callers. */
export const vmAddress: Codec<string> = Codec.custom({
  decode: (input) =>
    typeof input === 'string' && isIPv4(input) ? Right(input) : Left('expected an IPv4 address'),
  encode: (input) => input,
});

function checkedNumber(expected: string, accepts: (value: number) => boolean): Codec<number> {
  return Codec.custom({
    decode: (input) =>
      typeof input === 'number' && Number.isFinite(input) && accepts(input)
        ? Right(input)
        : Left(`expected ${expected}`),
    encode: (input) => input,
  });
}
