// Stores the keeper of each server as a row of the table service. Rows are changed only by transactions
// that check their version, so no two routers ever hold the same fence.

import type { VersionCheck } from '@catkinwheel/protocol';
import type { FencingToken, Router, ServerName } from '@catkinwheel/state';
import type { EventLog, Metrics, Table } from './ports.js';
import type { KeeperRow, KeeperValue } from './leaseRows.js';
import { keeperKey, keeperPrefix, decodeKeeperRow, sessionKey } from './leaseRows.js';
import type { Session } from './session.js';
import { takeoverDelay } from './session.js';

/**
 * Time for which this router must hold its lease before it takes rows without a holder, so that routers
 * that start at the same time share them.
 */
const startupGracePeriod = 1_000;

export interface KeeperTableDependencies {
  readonly self: Router;
  readonly session: Session;
  readonly table: Table;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
}

/** The keeper rows as this router last read them. */
export class KeeperTable {
  readonly #dependencies: KeeperTableDependencies;
  #rows = new Map<ServerName, KeeperRow>();
  #isRead = false;
  /** Session epoch at the start of the last successful read. */
  #epoch = 0;

  private constructor(dependencies: KeeperTableDependencies) {
    this.#dependencies = dependencies;
  }

  static create(dependencies: KeeperTableDependencies): KeeperTable {
    return new KeeperTable(dependencies);
  }

  /** Reads all rows. False if the read failed. */
  async read(): Promise<boolean> {
    const epoch = this.#dependencies.session.epoch();
    const result = await this.#dependencies.table.rows(keeperPrefix);
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

  /** Whether the rows were read since the lease was last gained. Older ones may be outdated. */
  isConfirmed(): boolean {
    return this.#isRead && this.#epoch === this.#dependencies.session.epoch();
  }

  /** Whether this incarnation of the router holds the row, as last read. */
  isOwn(server: ServerName): boolean {
    const row = this.#rows.get(server);
    const { name, incarnation } = this.#dependencies.self;
    return row?.holder === name && row.incarnation === incarnation && !row.released;
  }

  /** Whether the row may be taken: it has no holder, or this router saw its holder's session end. */
  isFree(server: ServerName): boolean {
    const { session } = this.#dependencies;
    if (!this.isConfirmed()) return false;
    const row = this.#rows.get(server);
    if (row === undefined) return session.heldFor() >= startupGracePeriod;
    if (row.released) return true;
    const holder = session.sessionRows().find(({ router }) => router === row.holder);
    // Sessions are written before keeper rows, so another incarnation in the session is a later one.
    if (holder !== undefined && holder.incarnation !== row.incarnation) return true;
    return session.hasLapsed(row.holder) && session.heldFor() >= takeoverDelay;
  }

  /**
   * Takes the row with the next fence. If the reply is lost, the holder is unknown until the next read.
   * Returns the fence if the row is certainly held.
   */
  async take(server: ServerName): Promise<FencingToken | undefined> {
    const { self, session, table, metrics, eventLog } = this.#dependencies;
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
    eventLog.record('keeper.taken', { server, fence });
    return fence;
  }

  /** Releases rows of this router, so that others need not wait until its session lapses. */
  async release(servers: readonly ServerName[]): Promise<boolean> {
    const own = servers.flatMap((server) => (this.isOwn(server) ? (this.row(server) ?? []) : []));
    if (own.length === 0) return true;
    const result = await this.#dependencies.table.transact({
      checks: own.map(({ server, version }) => ({ key: keeperKey(server), version })),
      puts: own.map(({ server, holder, incarnation, fence }) => ({
        key: keeperKey(server),
        value: { holder, incarnation, fence, released: true },
      })),
      deletes: [],
    });
    return result.isOk();
  }

  /** Checks that the holder's session row is unchanged, so that a holder that renewed keeps its servers. */
  #holderCheck(row: KeeperRow | undefined): readonly VersionCheck[] {
    if (row === undefined || row.released) return [];
    const sessions = this.#dependencies.session.sessionRows();
    const session = sessions.find(({ router }) => router === row.holder);
    // A replaced incarnation cannot return, and a check would fail as its successor renews the session.
    if (session !== undefined && session.incarnation !== row.incarnation) return [];
    return [{ key: sessionKey(row.holder), version: session?.version ?? 0 }];
  }

  #store(server: ServerName, value: KeeperValue, version: number): void {
    this.#rows = new Map(this.#rows).set(server, { ...value, server, version });
  }
}
