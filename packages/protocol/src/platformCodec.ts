// Codecs of the platform's answers and of transactions that a peer relays.

import type { Codec } from 'purify-ts';
import { anyValue, nonNegativeInteger, strictObject, list, name, oneOf, text } from './codec.js';
import type { VersionCheck, Commit, Put, Row, Transaction, Vm } from './platform.js';

export const transactionCodec: Codec<Transaction> = strictObject<Transaction>({
  checks: list(strictObject<VersionCheck>({ key: name, version: nonNegativeInteger })),
  puts: list(strictObject<Put>({ key: name, value: anyValue })),
  deletes: list(name),
});

export const commitCodec: Codec<Commit> = strictObject<Commit>({ version: nonNegativeInteger });

export const rowsCodec: Codec<readonly Row[]> = list(
  strictObject<Row>({ key: name, version: nonNegativeInteger, value: anyValue }),
);

/** The platform's answer to a read. */
export const rowsAnswerCodec: Codec<{ readonly rows: readonly Row[] }> = strictObject({
  rows: rowsCodec,
});

/** The keys whose version did not match. */
export const conflictsCodec: Codec<{ readonly conflicts: readonly string[] }> = strictObject({
  conflicts: list(text),
});

export const vmsCodec: Codec<readonly Vm[]> = list(
  strictObject<Vm>({ vm: name, dataCentre: name, state: oneOf('live', 'leaving') }),
);
