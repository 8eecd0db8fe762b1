// The catalogue as stored in the platform: a head row that names the revision, one row for each recent
// change, and periodic snapshots in the object store.

import {
  catalogueChangeCodec,
  catalogueCodec,
  codecs,
  decode,
  type ChangeRecord,
  type Commit,
  type PlatformFailure,
  type Row,
} from '@catkinwheel/protocol';
import type { Catalogue, Clock, CommittedChange, Revision } from '@catkinwheel/state';
import { applyChange } from '@catkinwheel/state';
import { err, ok, type Result } from 'neverthrow';
import type { Codec } from 'purify-ts';
import type { ObjectStore, Table } from './ports.js';
import { writeOnce } from './writeOnce.js';

const headKey = 'catalogue/head';
const changePrefix = 'catalogue/change/';
/** Digits of a revision in a key, so that rows are listed in order. */
const revisionDigits = 12;
/** Digits left out of a key to read change rows in blocks of 100 revisions. */
const blockDigits = 2;
/** Changes since the last snapshot at which a new one is written. */
const snapshotInterval: Revision = 64;
/** Change rows kept in the table. */
const retainedChanges: Revision = 1000;
/** Changes without a snapshot after which changes are refused until a snapshot can be written. */
const maxSnapshotGap: Revision = 900;
/** Maximum changes that a router catches up on from change rows and not from the snapshot. */
const maxDirectChanges: Revision = 128;
/** Maximum length of a change as JSON; a larger one is stored in its snapshot only, to keep rows small. */
const maxChangeLength = 256 * 1024;

/** Location of a snapshot. */
interface SnapshotLocation {
  readonly revision: Revision;
  readonly key: string;
}

interface HeadValue {
  readonly revision: Revision;
  /** Unique id of the write that made this revision. */
  readonly write: string;
  readonly snapshot: SnapshotLocation | null;
}

/** The head row with its version; version 0 and revision 0 before the first change. */
export interface HeadRow extends HeadValue {
  readonly version: number;
}

interface ChangeValue extends ChangeRecord {
  readonly write: string;
}

const headCodec: Codec<HeadValue> = codecs.strictObject<HeadValue>({
  revision: codecs.nonNegativeInteger,
  write: codecs.name,
  snapshot: codecs.nullable(
    codecs.strictObject<SnapshotLocation>({
      revision: codecs.nonNegativeInteger,
      key: codecs.name,
    }),
  ),
});

const changeCodec: Codec<ChangeValue> = codecs.strictObject<ChangeValue>({
  revision: codecs.nonNegativeInteger,
  change: codecs.nullable(catalogueChangeCodec),
  author: codecs.text,
  at: codecs.text,
  write: codecs.name,
});

const initialHead: HeadRow = { revision: 0, write: 'none', snapshot: null, version: 0 };

/** Reads and writes the catalogue in the platform. */
export class CatalogueRows {
  readonly #table: Table;
  readonly #objects: ObjectStore;
  readonly #clock: Clock;

  private constructor(table: Table, objects: ObjectStore, clock: Clock) {
    this.#table = table;
    this.#objects = objects;
    this.#clock = clock;
  }

  static create(table: Table, objects: ObjectStore, clock: Clock): CatalogueRows {
    return new CatalogueRows(table, objects, clock);
  }

  async head(): Promise<Result<HeadRow, PlatformFailure>> {
    const rows = await this.#table.rows(headKey);
    if (rows.isErr()) return err(rows.error);
    const row = rows.value.find(({ key }) => key === headKey);
    if (row === undefined) return ok(initialHead);
    return decode(headCodec, row.value)
      .map((value): HeadRow => ({ ...value, version: row.version }))
      .mapErr((detail) => unreadable(`${headKey}: ${detail}`));
  }

  /** Loads the catalogue of `head` from `known`, one of a lower revision, and the changes missing in it. */
  async load(head: HeadRow, known: Catalogue): Promise<Result<Catalogue, PlatformFailure>> {
    const changes = await this.#changes(known.revision + 1, head.revision, maxDirectChanges);
    if (changes.isErr()) return err(changes.error);
    const fromChanges = applyChanges(known, changes.value, head.revision);
    if (fromChanges !== undefined) return ok(fromChanges);
    if (head.snapshot === null) return err(unreadable('change rows are missing'));
    const snapshot = await this.#snapshot(head.snapshot);
    if (snapshot.isErr()) return snapshot;
    const later = await this.#changes(head.snapshot.revision + 1, head.revision, retainedChanges);
    if (later.isErr()) return err(later.error);
    const fromSnapshot = applyChanges(snapshot.value, later.value, head.revision);
    return fromSnapshot === undefined
      ? err(unreadable('change rows are missing'))
      : ok(fromSnapshot);
  }

  /** The changes kept in the table, newest first. */
  async history(): Promise<Result<readonly ChangeRecord[], PlatformFailure>> {
    const rows = await this.#table.rows(changePrefix);
    if (rows.isErr()) return err(rows.error);
    return ok(
      decodeChanges(rows.value)
        .map(({ revision, change, author, at }) => ({ revision, change, author, at }))
        .reverse(),
    );
  }

  /** Commits `change`, which leads from `head` to `next`, under the unique id `write`. */
  async commit(
    head: HeadRow,
    next: Catalogue,
    committed: CommittedChange,
    write: string,
  ): Promise<Result<Commit, PlatformFailure>> {
    const { revision } = next;
    const isLarge = JSON.stringify(committed.change).length > maxChangeLength;
    const snapshot = await this.#snapshotFor(head, next, write, isLarge);
    if (snapshot.isErr()) return err(snapshot.error);
    const change: ChangeValue = { ...committed, change: isLarge ? null : committed.change, write };
    const value: HeadValue = { revision, write, snapshot: snapshot.value };
    const key = changeKey(revision);
    const transaction = {
      checks: [
        { key: headKey, version: head.version },
        { key, version: 0 },
      ],
      puts: [
        { key: headKey, value },
        { key, value: change },
      ],
      deletes: revision > retainedChanges ? [changeKey(revision - retainedChanges)] : [],
    };
    return writeOnce(this.#table, this.#clock, transaction, { key, write });
  }

  /** The snapshot for the new head: a new one if it is due, else that of `head`. */
  async #snapshotFor(
    head: HeadRow,
    next: Catalogue,
    write: string,
    isLarge: boolean,
  ): Promise<Result<SnapshotLocation | null, PlatformFailure>> {
    const gap = next.revision - (head.snapshot?.revision ?? 0);
    if (gap < snapshotInterval && !isLarge) return ok(head.snapshot);
    // The write id keeps operators that race for a revision from overwriting each other's snapshot.
    const key = `catalogue/snapshot/${next.revision}-${write}`;
    const put = await this.#objects.put(key, next);
    if (put.isOk()) return ok({ revision: next.revision, key });
    if (!isLarge && gap < maxSnapshotGap) return ok(head.snapshot);
    return err({ kind: 'unavailable', detail: 'the snapshot could not be written' });
  }

  async #snapshot(location: SnapshotLocation): Promise<Result<Catalogue, PlatformFailure>> {
    const value = await this.#objects.get(location.key);
    if (value.isErr()) return err(value.error);
    return decode(catalogueCodec, value.value).mapErr((detail) =>
      unreadable(`${location.key}: ${detail}`),
    );
  }

  /** Change rows from `first` to `last`; empty if there are more than `limit`. */
  async #changes(
    first: Revision,
    last: Revision,
    limit: Revision,
  ): Promise<Result<readonly ChangeRecord[], PlatformFailure>> {
    if (last - first > limit) return ok([]);
    const blocks = new Set<string>();
    for (let revision = first; revision <= last; revision++) {
      blocks.add(changeKey(revision).slice(0, -blockDigits));
    }
    const found: ChangeRecord[] = [];
    for (const block of blocks) {
      const rows = await this.#table.rows(block);
      if (rows.isErr()) return err(rows.error);
      found.push(...decodeChanges(rows.value));
    }
    return ok(found.filter(({ revision }) => revision >= first && revision <= last));
  }
}

function changeKey(revision: Revision): string {
  return `${changePrefix}${String(revision).padStart(revisionDigits, '0')}`;
}

function decodeChanges(rows: readonly Row[]): readonly ChangeRecord[] {
  return rows.flatMap((row) => {
    const record = decode(changeCodec, row.value);
    return record.isOk() ? [record.value] : [];
  });
}

/** The catalogue at `target`, or undefined if a change is missing or not stored in its row. */
function applyChanges(
  start: Catalogue,
  changes: readonly ChangeRecord[],
  target: Revision,
): Catalogue | undefined {
  let catalogue = start;
  for (const { revision, change } of changes) {
    if (revision !== catalogue.revision + 1 || change === null) return undefined;
    catalogue = applyChange(catalogue, change, revision);
  }
  return catalogue.revision === target ? catalogue : undefined;
}

function unreadable(detail: string): PlatformFailure {
  return { kind: 'unavailable', detail: `the catalogue in the platform is unreadable, ${detail}` };
}
