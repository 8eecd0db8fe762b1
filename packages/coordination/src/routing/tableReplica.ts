// A replica of one table of the store. Row versions come from a single counter, so the replicas of several
// routers can be merged by version without coordination.

/** A row, or the tombstone of a removed one. */
export interface VersionedRow {
  readonly key: string;
  readonly version: number;
  /** Undefined if the row was removed. */
  readonly value: string | undefined;
}

/** An immutable replica of a table as of one version of the store. */
export class TableReplica {
  static readonly empty = new TableReplica(0, new Map());

  readonly #rows: ReadonlyMap<string, VersionedRow>;

  private constructor(
    /** The replica contains all changes up to this version of the store. 0 if nothing is known. */
    readonly version: number,
    rows: ReadonlyMap<string, VersionedRow>,
  ) {
    this.#rows = rows;
  }

  /** Existing rows, without tombstones. */
  rows(): readonly VersionedRow[] {
    return [...this.#rows.values()].filter(({ value }) => value !== undefined);
  }

  /** Rows and tombstones newer than `version`, in no particular order. */
  since(version: number): readonly VersionedRow[] {
    return [...this.#rows.values()].filter((row) => row.version > version);
  }

  /** Applies all changes up to `version`. Ignores rows that are older than known ones. */
  merge(changes: readonly VersionedRow[], version: number): TableReplica {
    const newer = changes.filter((row) => row.version > (this.#rows.get(row.key)?.version ?? 0));
    if (newer.length === 0 && version <= this.version) return this;
    const rows = new Map(this.#rows);
    for (const row of newer) rows.set(row.key, row);
    return new TableReplica(Math.max(version, this.version), rows);
  }

  /**
   * Replaces the content by a snapshot of the table as of `version`, unless that is older than the replica.
   */
  replace(complete: readonly VersionedRow[], version: number): TableReplica {
    if (version < this.version) return this;
    const present = new Set(complete.map(({ key }) => key));
    const removed = this.rows()
      .filter(({ key }) => !present.has(key))
      .map(({ key }) => ({ key, version, value: undefined }));
    return this.merge([...complete, ...removed], version);
  }
}
