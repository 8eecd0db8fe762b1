// Who keeps which server is decided by rows of the table service, each changed only by a transaction
// on its version, so two routers never both believe in the same fence.

import type { VersionCheck } from '@catkinwheel/protocol';
import type { FencingToken, Router, ServerName } from '@catkinwheel/state';
import type { EventLog, Metrics, Table } from './ports.js';
import type { KeeperRow, KeeperValue } from './leaseRows.js';
import { keeperKey, keeperPrefix, decodeKeeperRow, sessionKey } from './leaseRows.js';
import type { Session } from './session.js';
import { takeoverDelay } from './session.js';

/** An own lease is held this long before rows without a holder are taken, so that routers that start together share them. */
const gatherTime = 1_000;

export interface KeeperTableParts {
  readonly self: Router;
  readonly session: Session;
  readonly table: Table;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
}

/** The keeper rows as this router last read them. */
export class KeeperTable {
  readonly #parts: KeeperTableParts;
  #rows = new Map<ServerName, KeeperRow>();
  #isRead = false;
  /** Session epoch in which the last successful read was sent. */
  #epoch = 0;

  private constructor(parts: KeeperTableParts) {
    this.#parts = parts;
  }

  static create(parts: KeeperTableParts): KeeperTable {
    return new KeeperTable(parts);
  }

  /** Reads all rows. False if the table did not answer. */
  async read(): Promise<boolean> {
    const epoch = this.#parts.session.epoch();
    const result = await this.#parts.table.rows(keeperPrefix);
    if (result.isErr()) return false;
    const rows = result.value.flatMap((row) => decodeKeeperRow(row) ?? []);
    this.#rows = new Map(rows.map((row) => [row.server, row]));
    this.#isRead = true;
    this.#epoch = epoch;
    return true;
  }

  row(server: ServerName): KeeperRow | undefined {
    return this.#rows.get(server);
  }

  /** Whether the rows were read since the lease was last gained. Older rows prove nothing. */
  isConfirmed(): boolean {
    return this.#isRead && this.#epoch === this.#parts.session.epoch();
  }

  /** Whether this incarnation holds the row, as last read. */
  isOwn(server: ServerName): boolean {
    const row = this.#rows.get(server);
    const { name, incarnation } = this.#parts.self;
    return row?.holder === name && row.incarnation === incarnation && !row.released;
  }

  /** Whether the row may be taken: nobody holds it, or its holder's session ended by own observation. */
  isFree(server: ServerName): boolean {
    const { session } = this.#parts;
    if (!this.isConfirmed()) return false;
    const row = this.#rows.get(server);
    if (row === undefined) return session.heldFor() >= gatherTime;
    if (row.released) return true;
    const holder = session.sessionRows().find(({ router }) => router === row.holder);
    // A session row is written before the first keeper row, so another incarnation is a later one.
    if (holder !== undefined && holder.incarnation !== row.incarnation) return true;
    return session.hasLapsed(row.holder) && session.heldFor() >= takeoverDelay;
  }

  /**
   * Takes the row with the next fence. After a lost answer the row is unknown until the next read
   * shows who holds it. Returns the fence if the row is certainly held.
   */
  async take(server: ServerName): Promise<FencingToken | undefined> {
    const { self, session, table, metrics, eventLog: journal } = this.#parts;
    const row = this.#rows.get(server);
    const fence = (row?.fence ?? 0) + 1;
    const value = { holder: self.name, incarnation: self.incarnation, fence, released: false };
    const key = keeperKey(server);
    if (!session.isHeld()) return undefined;
    const result = await table.transact({
      checks: [{ key, version: row?.version ?? 0 }, ...this.#holderCheck(row)],
      puts: [{ key, value }],
      deletes: [],
    });
    metrics.count('keeper.take', { result: result.isOk() ? 'ok' : result.error.kind });
    if (result.isErr()) return undefined;
    this.#store(server, value, result.value.version);
    journal.record('keeper.taken', { server, fence });
    return fence;
  }

  /** Gives up rows of this router, so that others need not wait for the session to lapse. */
  async release(servers: readonly ServerName[]): Promise<boolean> {
    const own = servers.flatMap((server) => (this.isOwn(server) ? (this.row(server) ?? []) : []));
    if (own.length === 0) return true;
    const result = await this.#parts.table.transact({
      checks: own.map(({ server, version }) => ({ key: keeperKey(server), version })),
      puts: own.map(({ server, holder, incarnation, fence }) => ({
        key: keeperKey(server),
        value: { holder, incarnation, fence, released: true },
      })),
      deletes: [],
    });
    return result.isOk();
  }

  /** A holder that renewed meanwhile keeps its servers: its session row must still be the one observed. */
  #holderCheck(row: KeeperRow | undefined): readonly VersionCheck[] {
    if (row === undefined || row.released) return [];
    const sessions = this.#parts.session.sessionRows();
    const session = sessions.find(({ router }) => router === row.holder);
    // A replaced incarnation cannot come back, and its successor renews all the time.
    if (session !== undefined && session.incarnation !== row.incarnation) return [];
    return [{ key: sessionKey(row.holder), version: session?.version ?? 0 }];
  }

  #store(server: ServerName, value: KeeperValue, version: number): void {
    this.#rows = new Map(this.#rows).set(server, { ...value, server, version });
  }
}
