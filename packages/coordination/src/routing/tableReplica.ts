// A copy of one table of the store. Row versions come from a single counter, so copies of several
// routers merge by version without any agreement between them.

/** A row, or the mark that it was removed. */
export interface VersionedRow {
  readonly key: string;
  readonly version: number;
  /** Undefined if the row was removed. */
  readonly value: string | undefined;
}

/** An immutable copy of a table as of one version of the store. */
export class TableReplica {
  static readonly empty = new TableReplica(0, new Map());

  readonly #rows: ReadonlyMap<string, VersionedRow>;

  private constructor(
    /** Every change up to this version of the store is contained. 0 if nothing is known. */
    readonly version: number,
    rows: ReadonlyMap<string, VersionedRow>,
  ) {
    this.#rows = rows;
  }

  /** Rows that exist. */
  rows(): readonly VersionedRow[] {
    return [...this.#rows.values()].filter(({ value }) => value !== undefined);
  }

  /** Rows and removals after `version`, in no particular order. */
  since(version: number): readonly VersionedRow[] {
    return [...this.#rows.values()].filter((row) => row.version > version);
  }

  /** Applies all changes up to `version`. Older versions of known rows are ignored. */
  merge(changes: readonly VersionedRow[], version: number): TableReplica {
    const news = changes.filter((row) => row.version > (this.#rows.get(row.key)?.version ?? 0));
    if (news.length === 0 && version <= this.version) return this;
    const rows = new Map(this.#rows);
    for (const row of news) rows.set(row.key, row);
    return new TableReplica(Math.max(version, this.version), rows);
  }

  /** Replaces the content by a complete reading of the table as of `version`. */
  replace(complete: readonly VersionedRow[], version: number): TableReplica {
    if (version < this.version) return this;
    const present = new Set(complete.map(({ key }) => key));
    const removed = this.rows()
      .filter(({ key }) => !present.has(key))
      .map(({ key }) => ({ key, version, value: undefined }));
    return this.merge([...complete, ...removed], version);
  }
}
