// Codecs of the platform's responses, and of transactions that are relayed through a peer.

import type { Codec } from 'purify-ts';
import { anything, count, exact, list, name, oneOf, text } from './codec.js';
import type { Check, Commit, Put, Row, Transaction, Vm } from './platform.js';

export const transactionCodec: Codec<Transaction> = exact<Transaction>({
  checks: list(exact<Check>({ key: name, version: count })),
  puts: list(exact<Put>({ key: name, value: anything })),
  deletes: list(name),
});

export const commitCodec: Codec<Commit> = exact<Commit>({ version: count });

export const rowsCodec: Codec<readonly Row[]> = list(
  exact<Row>({ key: name, version: count, value: anything }),
);

/** The platform's response to a read. */
export const rowsAnswerCodec: Codec<{ readonly rows: readonly Row[] }> = exact({
  rows: rowsCodec,
});

/** The keys of the checks that failed. */
export const conflictsCodec: Codec<{ readonly conflicts: readonly string[] }> = exact({
  conflicts: list(text),
});

export const vmsCodec: Codec<readonly Vm[]> = list(
  exact<Vm>({ vm: name, dataCentre: name, state: oneOf('live', 'leaving') }),
);
