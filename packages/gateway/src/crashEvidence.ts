// The wire form of what routers tell one another about prompt parts under which servers end. Times are sent as ages or
// remaining durations, since the clocks of routers differ.

import type { CrashEvidence } from '@catkinwheel/coordination/routing';
import type { Milliseconds } from '@catkinwheel/state';
import { amount, wholeNumber } from '@catkinwheel/protocol';
import { Codec, array, boolean, nullable, optional, string, tuple, type GetType } from 'purify-ts';

/** Part, its position in the prompt, and requests with it. */
const partCodec = tuple([string, wholeNumber, wholeNumber]);
/** Reporting router, server, its start time, age of the report, whether the end is confirmed, implicated parts. */
const crashCodec = tuple([
  string,
  string,
  nullable(wholeNumber),
  amount,
  boolean,
  array(partCodec),
]);

export const evidenceCodec = Codec.interface({
  crashes: array(crashCodec),
  /** Addresses of the servers of `crashes`, in the same order; routers of earlier versions send none. */
  addresses: optional(array(string)),
  /** Parts that are sound, with the ages of the proofs. */
  sound: array(tuple([string, amount])),
  /** Blocked parts, with the remaining times. */
  blocked: array(tuple([string, amount])),
});

type Message = GetType<typeof evidenceCodec>;

/** Undefined if there is nothing to tell. */
export function encodeEvidence(evidence: CrashEvidence, now: Milliseconds): Message | undefined {
  const { crashes, sound, blocked } = evidence;
  if (crashes.length === 0 && sound.length === 0 && blocked.length === 0) return undefined;
  return {
    crashes: crashes.map(({ reporter, server, at, isConfirmed, parts }) => [
      reporter,
      server.id,
      server.born ?? null,
      Math.round(now - at),
      isConfirmed,
      parts.map(({ id, depth, requests }) => [id, depth, requests]),
    ]),
    addresses: crashes.map(({ server }) => server.address),
    sound: sound.map(([part, age]) => [part, Math.round(age)]),
    blocked: blocked.map(([part, remaining]) => [part, Math.round(remaining)]),
  };
}

export function decodeEvidence(message: Message, now: Milliseconds): CrashEvidence {
  return {
    crashes: message.crashes.map(([reporter, id, born, age, isConfirmed, parts], index) => ({
      reporter,
      server: { id, address: message.addresses?.[index] ?? '', born: born ?? undefined },
      at: now - age,
      isConfirmed,
      parts: parts.map(([part, depth, requests]) => ({ id: part, depth, requests })),
    })),
    sound: message.sound,
    blocked: message.blocked,
  };
}
