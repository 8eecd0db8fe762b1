// Table row of a claim on an idempotency key. It decides whether the request may run; its state only moves
// forward: claimed, sending, done.

import {
  array,
  Codec,
  exactly,
  type GetType,
  nullable,
  number,
  oneOf,
  record,
  string,
} from 'purify-ts';
import { decodeForeign } from '@catkinwheel/protocol';
import type { EntryName } from '@catkinwheel/state';

const recordedAnswer = Codec.interface({
  status: number,
  headers: record(string, oneOf([string, array(string)])),
  /** The body in base64; null if it was too large to be recorded. */
  body: nullable(string),
});

const claimRow = Codec.interface({
  state: oneOf([exactly('claimed'), exactly('sending'), exactly('done')]),
  router: string,
  incarnation: string,
  /** Id of the request that holds the claim. */
  request: string,
  /** SHA-256 of method, path and body, in hexadecimal. */
  hash: string,
  /** Wall clock of the writer at the claim in ms since 1970; used only for the expiry after a day. */
  at: number,
  /** Set when `done`; null there if the response was lost. */
  answer: nullable(recordedAnswer),
});

export type RecordedResponse = GetType<typeof recordedAnswer>;
export type ClaimRow = GetType<typeof claimRow>;

/** Decodes the value of a claim row; undefined if it is malformed. */
export function decodeClaimRow(value: unknown): ClaimRow | undefined {
  return decodeForeign(claimRow, value).unwrapOr(undefined);
}

/** Table key of the claim on `key` in `entry`. */
export function claimKey(entry: EntryName, key: string): string {
  return `claim/${entry}/${encodeURIComponent(key)}`;
}
