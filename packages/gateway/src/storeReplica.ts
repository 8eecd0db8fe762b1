// This router's replicas of the store's tables, read from the store or from other routers, and their application to the
// dispatcher. Every change comes through `merge` or `replace`; an older version never replaces a newer one.

import {
  RouteTable,
  TableReplica,
  isNewerRevision,
  type Dispatcher,
  type Server,
} from '@catkinwheel/coordination/routing';
import type { Revision, VersionedRow } from '@catkinwheel/coordination/routing';
import {
  decodeDesiredState,
  decodeServerEntry,
  desiredStateKey,
  evacuationPrefix,
  type storeTables,
} from '@catkinwheel/platform';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { Result } from 'neverthrow';
import type { Faults } from './faults.js';
import type { Log } from './log.js';

/**
 * Tables that routers replicate. Into `operators`, operators write the desired state and the data centres that are out of
 * service; `servers` contains the registrations of servers.
 */
export type TableName = keyof typeof storeTables;
export const tableNames: readonly TableName[] = ['operators', 'servers'];

/**
 * The store counts as unreachable when no router is known to have had a response for this time. While it is reachable,
 * long polls are answered more often than this: see `pollWait` in storeReader.ts.
 */
const storeTimeout: Milliseconds = 3_500;
/**
 * Time after the store is reachable again during which a registration that is missing from the table counts as lapsed in
 * the outage: its server is not dropped at once, but when `renewalTimeout` in serverTable.ts has passed without a renewal.
 */
const renewalPeriod: Milliseconds = 2_500;

/** Revisions of a router's copies of the tables. */
export type TableRevisions = Readonly<Record<TableName, Revision>>;

/** Rows changed since some revision, up to `revision`; for `replace`, all rows of the table. */
export interface Changes {
  readonly revision: Revision;
  readonly rows: readonly VersionedRow[];
}

/** Where a change was read from. */
export type Source = 'store' | 'peer';

/** Replicas of the store's tables, applied to the dispatcher. */
export class StoreReplica {
  readonly #copies: Record<TableName, TableReplica> = {
    operators: TableReplica.empty,
    servers: TableReplica.empty,
  };
  #lastContact: Milliseconds;
  #availableSince = -Infinity;
  #onChange: (source: Source) => void = () => undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly dispatcher: Dispatcher,
    private readonly log: Log,
    private readonly faults: Faults,
  ) {
    this.#lastContact = clock.now();
  }

  static create(clock: Clock, dispatcher: Dispatcher, log: Log, faults: Faults): StoreReplica {
    return new StoreReplica(clock, dispatcher, log, faults);
  }

  /** Sets the listener to call after each change of a table; it replaces the one set before. */
  onChange(listener: (source: Source) => void): void {
    this.#onChange = listener;
  }

  revision(table: TableName): Revision {
    return this.#copies[table].revision;
  }

  /** The latest era of the store that is known. */
  get era(): number {
    return Math.max(...tableNames.map((table) => this.revision(table).era));
  }

  /** Whether anything is known of the table. */
  hasTable(table: TableName): boolean {
    return this.revision(table).version > 0;
  }

  /** Whether a router with these revisions has rows that this one lacks. */
  isBehind(revisions: TableRevisions): boolean {
    return tableNames.some((table) => isNewerRevision(revisions[table], this.revision(table)));
  }

  /** All rows of the table if `revision` is of another era. */
  changesSince(table: TableName, revision: Revision): Changes {
    const copy = this.#copies[table];
    return { revision: copy.revision, rows: copy.since(revision) };
  }

  /** Records that the store answered this router, or another one, `age` ago. */
  recordContact(age: Milliseconds): void {
    const now = this.clock.now();
    if (now - this.#lastContact > storeTimeout) this.#availableSince = now;
    this.#lastContact = Math.max(this.#lastContact, now - age);
  }

  /** Time since the store's last known response to any router. */
  contactAge(): Milliseconds {
    return this.clock.now() - this.#lastContact;
  }

  merge(table: TableName, changes: Changes, source: Source): void {
    this.#apply(table, this.#copies[table].merge(changes.rows, changes.revision), source);
  }

  replace(table: TableName, snapshot: Changes, source: Source): void {
    this.#apply(table, this.#copies[table].replace(snapshot.rows, snapshot.revision), source);
  }

  #apply(table: TableName, copy: TableReplica, source: Source): void {
    const before = this.#copies[table];
    if (copy === before) return;
    this.#copies[table] = copy;
    if (copy.revision.era !== before.revision.era) this.#recordEra(table, copy, before);
    const changed = copy.since(before.revision);
    if (changed.length === 0) return;
    // The copy counts as read even if its application throws: reading it once more would end in the same way.
    this.faults.contain('table', () => {
      if (table === 'operators') this.#applyOperators(copy, source);
      else this.#applyServers(copy, source, changed.length);
    });
    this.faults.contain('table', () => {
      this.#onChange(source);
    });
  }

  /** Servers whose registrations the store has lost write them again, as after an outage. */
  #recordEra(table: TableName, copy: TableReplica, before: TableReplica): void {
    if (before === TableReplica.empty) return;
    this.#availableSince = this.clock.now();
    this.log.write('store came back from a copy', {
      table,
      before: before.revision,
      now: copy.revision,
    });
  }

  /** Applies the desired state and the set of data centres that are out of service. */
  #applyOperators(copy: TableReplica, source: Source): void {
    const rows = copy.rows();
    const stateRow = rows.find(({ key }) => key === desiredStateKey);
    const { value, version } = stateRow ?? {};
    if (value !== undefined && version !== undefined)
      this.faults.contain('table', () => {
        this.#applyDesiredState(value, version, source);
      });
    const evacuated = rows
      .filter(({ key }) => key.startsWith(evacuationPrefix))
      .map(({ key }) => key.slice(evacuationPrefix.length));
    this.dispatcher.evacuate(new Set(evacuated));
    this.log.write('operators table', { ...copy.revision, source, evacuated });
  }

  #applyDesiredState(text: string, rowVersion: number, source: Source): void {
    const state = parse(text).andThen(decodeDesiredState);
    if (state.isErr()) {
      this.log.write('desired state refused', { rowVersion, source, detail: state.error });
      return;
    }
    const currentVersion = this.dispatcher.table?.state.version ?? -1;
    if (state.value.version <= currentVersion) return;
    this.dispatcher.apply(RouteTable.create(state.value));
    const { version, routes, teams } = state.value;
    const counts = { routes: routes.length, teams: teams?.length ?? 0 };
    this.log.write('desired state in force', { version, rowVersion, source, ...counts });
  }

  #applyServers(copy: TableReplica, source: Source, changed: number): void {
    const registered: Server[] = [];
    for (const { key, value, version } of copy.rows()) {
      const server = parse(value ?? '').andThen((json) => decodeServerEntry(key, json));
      if (server.isOk()) registered.push(server.value);
      else this.log.write('server entry refused', { key, version, detail: server.error });
    }
    const now = this.clock.now();
    // The store is unreachable, or was until less than `renewalPeriod` ago.
    const storeAway =
      now - this.#lastContact > storeTimeout || now - this.#availableSince < renewalPeriod;
    this.dispatcher.applyServers(registered, storeAway);
    const servers = this.dispatcher.servers.all();
    this.log.write('servers table', {
      ...copy.revision,
      source,
      changed,
      storeAway,
      ready: servers.filter(({ isLeaving }) => !isLeaving).length,
      leaving: servers.filter(({ isLeaving }) => isLeaving).map(({ id }) => id),
      cold: servers.filter((server) => this.dispatcher.servers.isCold(server)).map(({ id }) => id),
      lapsed: servers.filter(({ lapses }) => lapses !== undefined).map(({ id }) => id),
    });
  }
}

const parse = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  (error) => `expected JSON: ${String(error)}`,
);
