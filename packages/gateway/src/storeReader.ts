// Reads the store's tables and polls for their changes. A few routers read for the whole fleet; others take over when
// readers lose the store.

import { usesHierarchicalGossip, type Members } from '@catkinwheel/coordination/routing';
import { storeTables, type StoreClient, type StoreFailure } from '@catkinwheel/platform';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { tableNames, type StoreReplica, type TableName } from './storeReplica.js';
import type { Faults } from './faults.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';

/**
 * Duration of a long poll for changes. If all readers are partitioned, other routers notice after this time plus
 * `responseTimeout`, which leaves 0.4 s of the 2 s within which a desired state has to be in force.
 */
const pollWait: Milliseconds = 1_200;
/** Timeout of a response beyond the poll itself; a slow store answers within a quarter of a second. */
const responseTimeout: Milliseconds = 400;
/**
 * Extra delay in a large fleet: state of readers in other data centres passes through two routers, each up to a sixth of a
 * second late.
 */
const gossipDelay: Milliseconds = 500;
/** Timeout of reading a whole table, which takes a few responses of a slow store. */
const tableTimeout: Milliseconds = 1_500;
/** Pause after a failed call, doubled with each failure up to `longestPause`. */
const firstPause: Milliseconds = 80;
const longestPause: Milliseconds = 640;
/** Interval at which a router that does not read checks whether it has to. */
const idleInterval: Milliseconds = 100;

/** Reads the store for one router. */
export class StoreReader {
  readonly #failing = new Set<TableName>();
  #lastSuccess = -Infinity;

  private constructor(
    private readonly options: {
      readonly clock: Clock;
      readonly store: StoreClient;
      readonly storeReplica: StoreReplica;
      readonly members: Members;
      readonly log: Log;
      readonly metrics: Metrics;
      readonly faults: Faults;
    },
  ) {}

  static create(options: StoreReader['options']): StoreReader {
    return new StoreReader(options);
  }

  /** Time since the last response of the store to this router itself; infinite while its calls fail. */
  age(): Milliseconds {
    return this.#failing.size > 0 ? Infinity : this.options.clock.now() - this.#lastSuccess;
  }

  /** Keeps all tables up to date until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(tableNames.map((table) => this.#follow(table, signal)));
  }

  async #follow(table: TableName, signal: AbortSignal): Promise<void> {
    const { clock, storeReplica, log } = this.options;
    let retryPause = firstPause;
    let isComplete = false;
    while (!signal.aborted) {
      if (!this.#isReader()) {
        this.#failing.delete(table);
        await clock.sleep(idleInterval, signal);
        continue;
      }
      // A copy from another router serves as well as one that this router read from the store.
      isComplete ||= storeReplica.hasTable(table);
      const failure = await this.#contained(
        table,
        isComplete ? this.#poll(table) : this.#readAll(table),
      );
      if (failure === undefined) {
        retryPause = firstPause;
        isComplete = true;
        if (this.#failing.delete(table)) log.write('store is back', { table });
        continue;
      }
      if (failure.kind === 'historyLost' || failure.kind === 'tooLong') {
        isComplete = false;
        const event =
          failure.kind === 'tooLong' ? 'changes are too long' : 'store lost its history';
        log.write(event, { table, ...storeReplica.revision(table) });
        const rereadFailure = await this.#contained(table, this.#readAll(table));
        if (rereadFailure === undefined) {
          isComplete = true;
          continue;
        }
      }
      if (!this.#failing.has(table)) log.write('store is lost', { table, failure });
      this.#failing.add(table);
      await clock.sleep(retryPause * (0.5 + Math.random()), signal);
      retryPause = Math.min(longestPause, 2 * retryPause);
    }
  }

  /** The outcome of a call; one that throws counts as failed, so that the table is followed further. */
  async #contained(
    table: TableName,
    reading: Promise<StoreFailure | undefined>,
  ): Promise<StoreFailure | undefined> {
    try {
      return await reading;
    } catch (error) {
      this.options.faults.record('store', error, { table });
      return { kind: 'failed', detail: String(error) };
    }
  }

  #isReader(): boolean {
    const { storeReplica, members } = this.options;
    if (tableNames.some((table) => !storeReplica.hasTable(table))) return true;
    const gossipMargin = usesHierarchicalGossip(members.names().length) ? gossipDelay : 0;
    return members.isStoreReader(pollWait + responseTimeout + gossipMargin);
  }

  async #poll(table: TableName): Promise<StoreFailure | undefined> {
    const { store, storeReplica } = this.options;
    const changes = await store.changes(
      storeTables[table],
      storeReplica.revision(table),
      pollWait,
      responseTimeout,
    );
    this.#count(table, changes.isOk() ? 'ok' : changes.error.kind);
    if (changes.isErr()) return changes.error;
    this.#recordContact();
    storeReplica.merge(table, changes.value, 'store');
    return undefined;
  }

  async #readAll(table: TableName): Promise<StoreFailure | undefined> {
    const { store, storeReplica } = this.options;
    const snapshot = await store.table(storeTables[table], tableTimeout);
    this.#count(table, snapshot.isOk() ? 'ok' : snapshot.error.kind);
    if (snapshot.isErr()) return snapshot.error;
    this.#recordContact();
    storeReplica.replace(table, snapshot.value, 'store');
    return undefined;
  }

  #recordContact(): void {
    this.#lastSuccess = this.options.clock.now();
    this.options.storeReplica.recordContact(0);
  }

  #count(table: TableName, result: string): void {
    this.options.metrics.storeCalls.inc({ table, result });
  }
}
