// Access to the table service, directly or relayed by a peer. Every request has a timeout and is counted,
// because the fleet shares the table's budget of requests.

import type { Commit, Row, Transaction } from '@catkinwheel/protocol';
import type { Clock, Milliseconds, RouterName } from '@catkinwheel/state';
import type { ResultAsync } from 'neverthrow';
import { errAsync } from 'neverthrow';
import type { MemberView, Metrics, PlatformFailure, Relay, Table } from './ports.js';
import { withTimeout } from './withTimeout.js';

/** Timeout of a request to the table. */
export const tableTimeout: Milliseconds = 1_000;
/** After a failed direct request, peers are preferred for this long, so that timeouts don't cost the lease. */
const directRetryDelay: Milliseconds = 3_000;
/** Maximum peers asked to relay one request; the timeouts of more would exceed the lease. */
const maxRelayPeers = 2;

export interface TableAccessDependencies {
  readonly clock: Clock;
  readonly table: Table;
  readonly relay: Relay;
  readonly members: MemberView;
  readonly metrics: Metrics;
}

/** Table access that falls back to peers that reach the platform. */
export class TableAccess implements Table {
  readonly #dependencies: TableAccessDependencies;
  /** When the last direct request failed; undefined if it was answered. */
  #failedAt: Milliseconds | undefined;

  private constructor(dependencies: TableAccessDependencies) {
    this.#dependencies = dependencies;
  }

  static create(dependencies: TableAccessDependencies): TableAccess {
    return new TableAccess(dependencies);
  }

  /**
   * Runs a transaction directly, or through a peer if it certainly had no effect directly. After
   * `unknown` nothing is sent again here: the caller must read back first.
   */
  transact(transaction: Transaction): ResultAsync<Commit, PlatformFailure> {
    this.#dependencies.metrics.count('table.write');
    if (this.#prefersPeers()) return this.#relayed(transaction);
    return this.#direct(this.#dependencies.table.transact(transaction)).orElse((failure) =>
      failure.kind === 'unavailable' ? this.#relayed(transaction, failure) : errAsync(failure),
    );
  }

  /** Reads rows directly, or through a peer if the relay can read. */
  rows(prefix: string): ResultAsync<readonly Row[], PlatformFailure> {
    const { relay, metrics } = this.#dependencies;
    metrics.count('table.read');
    const failure: PlatformFailure = { kind: 'unavailable', detail: 'the relay cannot read' };
    if (relay.rows !== undefined && this.#prefersPeers()) return this.#relayedRows(prefix, failure);
    return this.#direct(this.#dependencies.table.rows(prefix)).orElse((failure) =>
      this.#relayedRows(prefix, failure),
    );
  }

  #direct<T>(request: ResultAsync<T, PlatformFailure>): ResultAsync<T, PlatformFailure> {
    return this.#withTimeout(request)
      .map((value) => {
        this.#failedAt = undefined;
        return value;
      })
      .mapErr((failure) => {
        this.#failedAt = failure.kind === 'conflict' ? undefined : this.#dependencies.clock.now();
        return failure;
      });
  }

  #withTimeout<T>(request: ResultAsync<T, PlatformFailure>): ResultAsync<T, PlatformFailure> {
    const unanswered: PlatformFailure = { kind: 'unknown', detail: 'no answer within the timeout' };
    return withTimeout(this.#dependencies.clock, tableTimeout, request, unanswered);
  }

  #prefersPeers(): boolean {
    if (this.#failedAt === undefined) return false;
    return (
      this.#dependencies.clock.now() - this.#failedAt < directRetryDelay && this.#peers().length > 0
    );
  }

  #peers(): readonly RouterName[] {
    const { members } = this.#dependencies;
    return members
      .alive()
      .map(({ name }) => name)
      .filter((name) => name !== members.self.name && members.reachesPlatform(name))
      .slice(0, maxRelayPeers);
  }

  #relayed(
    transaction: Transaction,
    failure: PlatformFailure = { kind: 'unavailable', detail: 'no peer reaches the platform' },
  ): ResultAsync<Commit, PlatformFailure> {
    return this.#peers().reduce<ResultAsync<Commit, PlatformFailure>>(
      (result, peer) =>
        result.orElse((earlier) => {
          if (earlier.kind !== 'unavailable') return errAsync(earlier);
          this.#dependencies.metrics.count('table.relay');
          return this.#withTimeout(this.#dependencies.relay.transact(peer, transaction));
        }),
      errAsync(failure),
    );
  }

  #relayedRows(
    prefix: string,
    failure: PlatformFailure,
  ): ResultAsync<readonly Row[], PlatformFailure> {
    const { relay, metrics } = this.#dependencies;
    return this.#peers().reduce<ResultAsync<readonly Row[], PlatformFailure>>(
      (result, peer) =>
        result.orElse((earlier) => {
          if (relay.rows === undefined) return errAsync(earlier);
          metrics.count('table.relay');
          return this.#withTimeout(relay.rows(peer, prefix));
        }),
      errAsync(failure),
    );
  }
}
