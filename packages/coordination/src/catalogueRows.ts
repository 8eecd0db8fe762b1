// The catalogue in the platform: a head row that names the revision, one row for each recent change,
// and now and then a snapshot in the object store.

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
/** Change rows are read in blocks of 100 revisions: all keys but for the last two digits. */
const blockDigits = 2;
/** Changes after which the next one writes a snapshot. */
const snapshotEvery: Revision = 64;
/** Change rows kept in the table. */
const keptChanges: Revision = 1000;
/** Changes without a snapshot after which changes are refused until a snapshot can be written. */
const largestGap: Revision = 900;
/** Changes up to which a router catches up by their rows and not by the snapshot. */
const directLimit: Revision = 128;
/** A change larger than this is found in its snapshot only, as rows should stay small. */
const largestRow = 256 * 1024;

/** Where a snapshot is. */
interface SnapshotPlace {
  readonly revision: Revision;
  readonly key: string;
}

interface HeadValue {
  readonly revision: Revision;
  /** Unique id of the write that made this revision. */
  readonly write: string;
  readonly snapshot: SnapshotPlace | null;
}

/** The head row with its version; version 0 and revision 0 before the first change. */
export interface Head extends HeadValue {
  readonly version: number;
}

interface ChangeValue extends ChangeRecord {
  readonly write: string;
}

const headCodec: Codec<HeadValue> = codecs.strictObject<HeadValue>({
  revision: codecs.nonNegativeInteger,
  write: codecs.name,
  snapshot: codecs.nullable(
    codecs.strictObject<SnapshotPlace>({ revision: codecs.nonNegativeInteger, key: codecs.name }),
  ),
});

const changeCodec: Codec<ChangeValue> = codecs.strictObject<ChangeValue>({
  revision: codecs.nonNegativeInteger,
  change: codecs.nullable(catalogueChangeCodec),
  author: codecs.text,
  at: codecs.text,
  write: codecs.name,
});

const noHead: Head = { revision: 0, write: 'none', snapshot: null, version: 0 };

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

  async head(): Promise<Result<Head, PlatformFailure>> {
    const rows = await this.#table.rows(headKey);
    if (rows.isErr()) return err(rows.error);
    const row = rows.value.find(({ key }) => key === headKey);
    if (row === undefined) return ok(noHead);
    return decode(headCodec, row.value)
      .map((value): Head => ({ ...value, version: row.version }))
      .mapErr((detail) => unreadable(`${headKey}: ${detail}`));
  }

  /** The catalogue of `head`, from a catalogue of a lower revision and what is missing in it. */
  async load(head: Head, known: Catalogue): Promise<Result<Catalogue, PlatformFailure>> {
    const changes = await this.#changes(known.revision + 1, head.revision, directLimit);
    if (changes.isErr()) return err(changes.error);
    const direct = applied(known, changes.value, head.revision);
    if (direct !== undefined) return ok(direct);
    if (head.snapshot === null) return err(unreadable('change rows are missing'));
    const snapshot = await this.#snapshot(head.snapshot);
    if (snapshot.isErr()) return snapshot;
    const later = await this.#changes(head.snapshot.revision + 1, head.revision, keptChanges);
    if (later.isErr()) return err(later.error);
    const whole = applied(snapshot.value, later.value, head.revision);
    return whole === undefined ? err(unreadable('change rows are missing')) : ok(whole);
  }

  /** The kept changes, the newest first. */
  async history(): Promise<Result<readonly ChangeRecord[], PlatformFailure>> {
    const rows = await this.#table.rows(changePrefix);
    if (rows.isErr()) return err(rows.error);
    return ok(
      records(rows.value)
        .map(({ revision, change, author, at }) => ({ revision, change, author, at }))
        .reverse(),
    );
  }

  /** Commits `change`, which leads from `head` to `next`, under the unique id `write`. */
  async commit(
    head: Head,
    next: Catalogue,
    committed: CommittedChange,
    write: string,
  ): Promise<Result<Commit, PlatformFailure>> {
    const { revision } = next;
    const isLarge = JSON.stringify(committed.change).length > largestRow;
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
      deletes: revision > keptChanges ? [changeKey(revision - keptChanges)] : [],
    };
    return writeOnce(this.#table, this.#clock, transaction, { key, write });
  }

  /** The snapshot that the new head names: a new one if it is due, else that of `head`. */
  async #snapshotFor(
    head: Head,
    next: Catalogue,
    write: string,
    isLarge: boolean,
  ): Promise<Result<SnapshotPlace | null, PlatformFailure>> {
    const gap = next.revision - (head.snapshot?.revision ?? 0);
    if (gap < snapshotEvery && !isLarge) return ok(head.snapshot);
    // The write id keeps operators that race for a revision from overwriting each other's snapshot.
    const key = `catalogue/snapshot/${next.revision}-${write}`;
    const put = await this.#objects.put(key, next);
    if (put.isOk()) return ok({ revision: next.revision, key });
    if (!isLarge && gap < largestGap) return ok(head.snapshot);
    return err({ kind: 'unavailable', detail: 'the snapshot could not be written' });
  }

  async #snapshot(place: SnapshotPlace): Promise<Result<Catalogue, PlatformFailure>> {
    const value = await this.#objects.get(place.key);
    if (value.isErr()) return err(value.error);
    return decode(catalogueCodec, value.value).mapErr((detail) =>
      unreadable(`${place.key}: ${detail}`),
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
      found.push(...records(rows.value));
    }
    return ok(found.filter(({ revision }) => revision >= first && revision <= last));
  }
}

function changeKey(revision: Revision): string {
  return `${changePrefix}${String(revision).padStart(revisionDigits, '0')}`;
}

function records(rows: readonly Row[]): readonly ChangeRecord[] {
  return rows.flatMap((row) => {
    const record = decode(changeCodec, row.value);
    return record.isOk() ? [record.value] : [];
  });
}

/** The catalogue at `target`, or undefined if a change is missing or not in its row. */
function applied(
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
