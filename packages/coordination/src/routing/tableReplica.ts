// A replica of one table of the store. Row versions come from a single counter, so the replicas of several
// routers can be merged by version without coordination. A store that comes back from an older copy has lost rows and gives
// their versions out again; it begins an era by that. Versions compare within one era only.

/** A row, or the tombstone of a removed one. */
export interface VersionedRow {
  readonly key: string;
  readonly version: number;
  /** Undefined if the row was removed. */
  readonly value: string | undefined;
}

/** A point in the history of the store. */
export interface Revision {
  /** 0 if the store names no eras. */
  readonly era: number;
  /** Version of the latest change; 0 before the first one. */
  readonly version: number;
}

export function isNewerRevision(a: Revision, b: Revision): boolean {
  return a.era > b.era || (a.era === b.era && a.version > b.version);
}

/** An immutable replica of a table as of one revision of the store. */
export class TableReplica {
  static readonly empty = new TableReplica({ era: 0, version: 0 }, new Map());

  readonly #rows: ReadonlyMap<string, VersionedRow>;

  private constructor(
    /** The replica contains all changes up to this revision. Its version is 0 if nothing is known. */
    readonly revision: Revision,
    rows: ReadonlyMap<string, VersionedRow>,
  ) {
    this.#rows = rows;
  }

  /** Existing rows, without tombstones. */
  rows(): readonly VersionedRow[] {
    return [...this.#rows.values()].filter(({ value }) => value !== undefined);
  }

  /** Rows and tombstones newer than `revision`, in no particular order; all of them if it is of another era. */
  since({ era, version }: Revision): readonly VersionedRow[] {
    const isComparable = era === this.revision.era;
    return [...this.#rows.values()].filter((row) => !isComparable || row.version > version);
  }

  /** Applies all changes up to `revision`. Ignores rows that are older than known ones, and changes of another era. */
  merge(changes: readonly VersionedRow[], { era, version }: Revision): TableReplica {
    if (era !== this.revision.era) return this;
    const newer = changes.filter((row) => row.version > (this.#rows.get(row.key)?.version ?? 0));
    if (newer.length === 0 && version <= this.revision.version) return this;
    const rows = new Map(this.#rows);
    for (const row of newer) rows.set(row.key, row);
    return new TableReplica({ era, version: Math.max(version, this.revision.version) }, rows);
  }

  /**
   * Replaces the content by a snapshot of the table as of `revision`, unless that is older than the replica.
   */
  replace(complete: readonly VersionedRow[], revision: Revision): TableReplica {
    if (isNewerRevision(this.revision, revision)) return this;
    const { era, version } = revision;
    const present = new Set(complete.map(({ key }) => key));
    const removed = this.rows()
      .filter(({ key }) => !present.has(key))
      .map(({ key }) => ({ key, version, value: undefined }));
    if (era === this.revision.era) return this.merge([...complete, ...removed], revision);
    return new TableReplica(
      revision,
      new Map([...complete, ...removed].map((row) => [row.key, row])),
    );
  }
}
