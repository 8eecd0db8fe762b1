// Table writes that take effect at most once. A write whose response was lost may or may not have taken effect;
// which of the two is found out by reading the row back.

import type { Commit, PlatformFailure, Transaction } from '@catkinwheel/protocol';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { err, ok, type Result } from 'neverthrow';
import type { Table } from './ports.js';

/** The row that shows whether a transaction was committed. The transaction checks the row's version. */
export interface CommitMarker {
  readonly key: string;
  /** Unique id of this write, found as the property `write` of the value that it puts. */
  readonly write: string;
}

const maxAttempts = 6;
const initialDelay: Milliseconds = 50;
const maxDelay: Milliseconds = 800;

/**
 * Commits a transaction at most once. After a lost response it reads the marker row back; if that still has
 * the checked version, the same transaction is sent again, which cannot take effect twice because of
 * the check. Fails with `unknown` only if the platform stays unreachable after a lost response.
 */
export async function writeOnce(
  table: Table,
  clock: Clock,
  transaction: Transaction,
  marker: CommitMarker,
): Promise<Result<Commit, PlatformFailure>> {
  const base = transaction.checks.find(({ key }) => key === marker.key)?.version;
  if (base === undefined) throw new Error(`the transaction does not check ${marker.key}`);
  let lostResponse: PlatformFailure | undefined;
  let delay = initialDelay;
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const result = await table.transact(transaction);
    if (result.isOk()) return result;
    if (result.error.kind === 'unknown') lostResponse = result.error;
    if (lostResponse === undefined) return result;
    const found = await readBack(table, marker, base);
    if (found.kind === 'committed') return ok(found.commit);
    if (found.kind === 'other') return err({ kind: 'conflict', keys: [marker.key] });
    // A check of another row failed and the marker row is unchanged, so neither this attempt nor the lost
    // one took effect: a lost transaction that had been committed would show in the marker row.
    if (found.kind === 'absent' && result.error.kind === 'conflict') return result;
    await clock.sleep(delay);
    delay = Math.min(delay * 2, maxDelay);
  }
  return err(
    lostResponse ?? { kind: 'unknown', detail: 'whether the write took effect is not known' },
  );
}

type ReadBackResult =
  | { readonly kind: 'committed'; readonly commit: Commit }
  /** Another writer changed the row. */
  | { readonly kind: 'other' }
  /** The row still has the version that the transaction checks. */
  | { readonly kind: 'absent' }
  | { readonly kind: 'unreadable' };

async function readBack(table: Table, marker: CommitMarker, base: number): Promise<ReadBackResult> {
  const rows = await table.rows(marker.key);
  if (rows.isErr()) return { kind: 'unreadable' };
  const row = rows.value.find(({ key }) => key === marker.key);
  if ((row?.version ?? 0) === base) return { kind: 'absent' };
  const write = (row?.value as { readonly write?: unknown } | null | undefined)?.write;
  return row !== undefined && write === marker.write
    ? { kind: 'committed', commit: { version: row.version } }
    : { kind: 'other' };
}
