// Group commit: the table service allows few transactions per second, so independent row writes share one.

import { err, ok, type Result } from 'neverthrow';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { PlatformFailure, Table } from './ports.js';

/** Maximum time for which a write waits for others to share its transaction. */
const maxGroupDelay: Milliseconds = 5;
/** Maximum rows in one transaction. */
export const maxGroupSize = 32;

/** A conditional write of one row. */
export interface RowWrite {
  readonly key: string;
  /** Version that the row must have; 0 if it must be absent. */
  readonly version: number;
  /** The new value; undefined deletes the row. */
  readonly value: unknown;
}

/** The new version of the row, or why it was not written. */
export type RowResult = Result<number, PlatformFailure>;

interface PendingWrite {
  readonly write: RowWrite;
  readonly resolve: (result: RowResult) => void;
}

/**
 * Writes rows in groups of at most 32 rows, collected for at most 5 ms. A conflict on one row does not
 * affect the others.
 */
export class GroupCommit {
  readonly #table: Table;
  readonly #clock: Clock;
  #queue: PendingWrite[] = [];
  #groupFull = new AbortController();
  #isCollecting = false;

  private constructor(table: Table, clock: Clock) {
    this.#table = table;
    this.#clock = clock;
  }

  static create(table: Table, clock: Clock): GroupCommit {
    return new GroupCommit(table, clock);
  }

  /** Never rejects. */
  write(write: RowWrite): Promise<RowResult> {
    return new Promise((resolve) => {
      this.#queue.push({ write, resolve });
      if (this.#queue.length >= maxGroupSize) this.#groupFull.abort();
      if (!this.#isCollecting) void this.#collect();
    });
  }

  async #collect(): Promise<void> {
    this.#isCollecting = true;
    while (this.#queue.length > 0) {
      await this.#clock.sleep(maxGroupDelay, this.#groupFull.signal);
      this.#groupFull = new AbortController();
      void this.#commit(this.#takeGroup());
    }
    this.#isCollecting = false;
  }

  /** Takes the oldest writes; a second write of a key waits for the next group. */
  #takeGroup(): readonly PendingWrite[] {
    const keys = new Set<string>();
    const group: PendingWrite[] = [];
    const rest: PendingWrite[] = [];
    for (const pending of this.#queue) {
      const fits = group.length < maxGroupSize && !keys.has(pending.write.key);
      (fits ? group : rest).push(pending);
      keys.add(pending.write.key);
    }
    this.#queue = rest;
    return group;
  }

  async #commit(group: readonly PendingWrite[]): Promise<void> {
    let rest = group;
    while (rest.length > 0) {
      const result = await this.#transact(rest.map(({ write }) => write));
      if (result.isOk() || result.error.kind !== 'conflict') {
        for (const { resolve } of rest) resolve(result);
        return;
      }
      const failure = result.error;
      const conflicts = new Set(failure.keys);
      const conflicting = rest.filter(({ write }) => conflicts.has(write.key));
      // If none of the conflicting keys is in the group, it is unclear which writes failed, so all of them
      // get the conflict and are read back.
      const settled = conflicting.length === 0 ? rest : conflicting;
      for (const { resolve } of settled) resolve(err(failure));
      rest = rest.filter((pending) => !settled.includes(pending));
    }
  }

  async #transact(writes: readonly RowWrite[]): Promise<RowResult> {
    const commit = await this.#table.transact({
      checks: writes.map(({ key, version }) => ({ key, version })),
      puts: writes
        .filter(({ value }) => value !== undefined)
        .map(({ key, value }) => ({ key, value })),
      deletes: writes.filter(({ value }) => value === undefined).map(({ key }) => key),
    });
    return commit.isOk() ? ok(commit.value.version) : err(commit.error);
  }
}
