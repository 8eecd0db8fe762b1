// The table service as one router reaches it: directly, else through a peer. Every request is
// bounded in time and counted, because the table's budget is shared by the fleet.

import type { Commit, Row, Transaction } from '@catkinwheel/protocol';
import type { Clock, Milliseconds, RouterName } from '@catkinwheel/state';
import type { ResultAsync } from 'neverthrow';
import { errAsync } from 'neverthrow';
import type { MemberView, Metrics, PlatformFailure, Relay, Table } from './ports.js';
import { withTimeout } from './withTimeout.js';

/** A request to the table without an answer for this long counts as unanswered. */
export const tableTimeout: Milliseconds = 1_000;
/** After a failed direct request, peers are preferred for this long, so that a lease survives the timeout. */
const directRetry: Milliseconds = 3_000;
/** Peers asked to relay one request, at most; more would outlast the lease. */
const relayAttempts = 2;

export interface TableAccessParts {
  readonly clock: Clock;
  readonly table: Table;
  readonly relay: Relay;
  readonly members: MemberView;
  readonly metrics: Metrics;
}

/** Table access that falls back to peers that reach the platform. */
export class TableAccess implements Table {
  readonly #parts: TableAccessParts;
  /** When the last direct request failed; undefined if it was answered. */
  #failedAt: Milliseconds | undefined;

  private constructor(parts: TableAccessParts) {
    this.#parts = parts;
  }

  static create(parts: TableAccessParts): TableAccess {
    return new TableAccess(parts);
  }

  /**
   * Runs a transaction directly, or through a peer if it certainly had no effect directly. After
   * `unknown` nothing is sent again here: the caller has to read back first.
   */
  transact(transaction: Transaction): ResultAsync<Commit, PlatformFailure> {
    this.#parts.metrics.count('table.write');
    if (this.#prefersPeers()) return this.#relayed(transaction);
    return this.#observed(this.#parts.table.transact(transaction)).orElse((failure) =>
      failure.kind === 'unavailable' ? this.#relayed(transaction, failure) : errAsync(failure),
    );
  }

  /** Reads rows directly, or through a peer if the relay can read. */
  rows(prefix: string): ResultAsync<readonly Row[], PlatformFailure> {
    const { relay, metrics } = this.#parts;
    metrics.count('table.read');
    const failure: PlatformFailure = { kind: 'unavailable', detail: 'the relay cannot read' };
    if (relay.rows !== undefined && this.#prefersPeers()) return this.#relayedRows(prefix, failure);
    return this.#observed(this.#parts.table.rows(prefix)).orElse((failure) =>
      this.#relayedRows(prefix, failure),
    );
  }

  #observed<T>(request: ResultAsync<T, PlatformFailure>): ResultAsync<T, PlatformFailure> {
    return this.#bounded(request)
      .map((value) => {
        this.#failedAt = undefined;
        return value;
      })
      .mapErr((failure) => {
        this.#failedAt = failure.kind === 'conflict' ? undefined : this.#parts.clock.now();
        return failure;
      });
  }

  #bounded<T>(request: ResultAsync<T, PlatformFailure>): ResultAsync<T, PlatformFailure> {
    const unanswered: PlatformFailure = { kind: 'unknown', detail: 'no answer in time' };
    return withTimeout(this.#parts.clock, tableTimeout, request, unanswered);
  }

  #prefersPeers(): boolean {
    if (this.#failedAt === undefined) return false;
    return this.#parts.clock.now() - this.#failedAt < directRetry && this.#peers().length > 0;
  }

  #peers(): readonly RouterName[] {
    const { members } = this.#parts;
    return members
      .alive()
      .map(({ name }) => name)
      .filter((name) => name !== members.self.name && members.reachesPlatform(name))
      .slice(0, relayAttempts);
  }

  #relayed(
    transaction: Transaction,
    failure: PlatformFailure = { kind: 'unavailable', detail: 'no peer reaches the platform' },
  ): ResultAsync<Commit, PlatformFailure> {
    return this.#peers().reduce<ResultAsync<Commit, PlatformFailure>>(
      (result, peer) =>
        result.orElse((earlier) => {
          if (earlier.kind !== 'unavailable') return errAsync(earlier);
          this.#parts.metrics.count('table.relay');
          return this.#bounded(this.#parts.relay.transact(peer, transaction));
        }),
      errAsync(failure),
    );
  }

  #relayedRows(
    prefix: string,
    failure: PlatformFailure,
  ): ResultAsync<readonly Row[], PlatformFailure> {
    const { relay, metrics } = this.#parts;
    return this.#peers().reduce<ResultAsync<readonly Row[], PlatformFailure>>(
      (result, peer) =>
        result.orElse((earlier) => {
          if (relay.rows === undefined) return errAsync(earlier);
          metrics.count('table.relay');
          return this.#bounded(relay.rows(peer, prefix));
        }),
      errAsync(failure),
    );
  }
}
