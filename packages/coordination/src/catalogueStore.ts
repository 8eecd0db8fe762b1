// Replication of the catalogue. Every router has the complete catalogue and decides by it alone; this module
// gets each committed change to every router within seconds and never goes back to a lower revision.

import {
  validateCatalogue,
  type RolloutStatus,
  type ApplyFailure,
  type CatalogueUpdate,
  type ChangeRecord,
  type PlatformFailure,
} from '@catkinwheel/protocol';
import {
  applyChange,
  diffCatalogues,
  emptyCatalogue,
  isEmptyChange,
  type Catalogue,
  type CatalogueChange,
  type CatalogueDocument,
  type Clock,
  type CommittedChange,
  type Milliseconds,
  type Revision,
  type RouterName,
} from '@catkinwheel/state';
import { err, errAsync, ok, okAsync, type Result, type ResultAsync } from 'neverthrow';
import { randomUUID } from 'node:crypto';
import { RecentChanges } from './recentChanges.js';
import { CatalogueRows, type HeadRow } from './catalogueRows.js';
import type { MemberState } from './membership.js';
import type {
  CataloguePeer,
  CatalogueView,
  EventLog,
  Metrics,
  ObjectStore,
  Random,
  Table,
} from './ports.js';

/** Period of checking for peers with a higher revision. */
const peerPollPeriod: Milliseconds = 100;
/** Minimum period of reading the head row, which shows changes that no peer has announced. */
const minHeadPollPeriod: Milliseconds = 2000;
/** Head reads per second of the whole fleet above which each router reads less often. */
const maxFleetHeadReads = 50;
/** Maximum tries of a change that is recomputed after a conflict. */
const maxAmendAttempts = 5;
/** Period of retries until the first catalogue is loaded. */
const startRetryPeriod: Milliseconds = 200;

export interface CatalogueDependencies {
  readonly self: RouterName;
  readonly clock: Clock;
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly peers: CataloguePeer;
  /** Status of the other routers. */
  readonly memberStates: () => readonly MemberState[];
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
  readonly random: Random;
  /** Date and time of day in ISO 8601, for the history. */
  readonly date: () => string;
}

/** The catalogue in force at this router. Empty, with revision 0, until one is loaded. */
export class CatalogueStore implements CatalogueView {
  readonly #dependencies: CatalogueDependencies;
  readonly #rows: CatalogueRows;
  readonly #recentChanges = RecentChanges.create();
  #current: Catalogue = emptyCatalogue;

  private constructor(dependencies: CatalogueDependencies) {
    this.#dependencies = dependencies;
    this.#rows = CatalogueRows.create(dependencies.table, dependencies.objects, dependencies.clock);
  }

  static create(dependencies: CatalogueDependencies): CatalogueStore {
    return new CatalogueStore(dependencies);
  }

  current(): Catalogue {
    return this.#current;
  }

  /** Whether a catalogue was loaded, without which no request can be served. */
  isReady(): boolean {
    return this.#current.revision > 0;
  }

  /** The changes or the snapshot for a peer that has `revision`. Fails while no catalogue is loaded. */
  updateSince(revision: Revision): ResultAsync<CatalogueUpdate, string> {
    if (!this.isReady()) return errAsync('no catalogue yet');
    const changes = this.#recentChanges.since(revision, this.#current.revision);
    if (changes === undefined) return okAsync({ kind: 'snapshot', catalogue: this.#current });
    return okAsync({ kind: 'changes', changes });
  }

  /** Which of the routers that may still serve requests do not have `revision` in force yet. */
  rolloutStatus(revision: Revision = this.#current.revision): RolloutStatus {
    const others = this.#dependencies
      .memberStates()
      .filter((member) => member.mayTakeWork && (member.revision ?? 0) < revision)
      .map(({ router }) => router.name);
    const missing =
      this.#current.revision < revision ? [this.#dependencies.self, ...others] : others;
    return { revision, missing };
  }

  /**
   * Commits a change of the catalogue with revision `base`. Resolves once it is committed; `rolloutStatus`
   * tells whether it is in force everywhere.
   */
  apply(
    base: Revision,
    change: CatalogueChange,
    author: string,
  ): Promise<Result<Revision, ApplyFailure>> {
    return this.#applyTo(base, () => change, author);
  }

  /** Commits the difference between the catalogue with revision `base` and `next`. */
  replace(
    base: Revision,
    next: CatalogueDocument,
    author: string,
  ): Promise<Result<Revision, ApplyFailure>> {
    return this.#applyTo(
      base,
      (catalogue) => diffCatalogues(catalogue, { ...catalogue, ...next, revision: base }),
      author,
    );
  }

  /**
   * Commits a change that is computed from the latest catalogue, and computes it again if another change was
   * committed first. For changes whose meaning does not depend on the rest of the catalogue, such as a drain.
   */
  async amend(
    change: (catalogue: Catalogue) => CatalogueChange,
    author: string,
  ): Promise<Result<Revision, ApplyFailure>> {
    for (let attempt = 1; ; attempt++) {
      const result = await this.#applyTo(undefined, change, author);
      const isConflict = result.isErr() && result.error.kind === 'conflict';
      if (!isConflict || attempt === maxAmendAttempts) return result;
    }
  }

  /** The changes that the platform keeps, newest first. */
  history(): Promise<Result<readonly ChangeRecord[], PlatformFailure>> {
    return this.#rows.history();
  }

  /** Loads the catalogue and follows its changes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await this.#start(signal);
    await Promise.all([this.#followPeers(signal), this.#followHead(signal)]);
  }

  /** Commits a change of the latest catalogue, which must have revision `base` if that is given. */
  async #applyTo(
    base: Revision | undefined,
    change: (catalogue: Catalogue) => CatalogueChange,
    author: string,
  ): Promise<Result<Revision, ApplyFailure>> {
    const head = await this.#rows.head();
    if (head.isErr()) return err(applyFailure(head.error, this.#current.revision));
    const { revision } = head.value;
    if (base !== undefined && revision !== base) return err(this.#conflict(revision));
    // A head below the revision in force is a stale read; a change based on it would undo later ones.
    if (revision < this.#current.revision) return err(this.#conflict(this.#current.revision));
    const loaded = await this.#load(head.value);
    if (loaded.isErr()) return err(applyFailure(loaded.error, revision));
    const computed = change(loaded.value);
    if (isEmptyChange(computed)) return ok(revision);
    return this.#commit(head.value, loaded.value, computed, author);
  }

  async #commit(
    head: HeadRow,
    loaded: Catalogue,
    change: CatalogueChange,
    author: string,
  ): Promise<Result<Revision, ApplyFailure>> {
    const revision = head.revision + 1;
    const next = applyChange(loaded, change, revision);
    const problems = validateCatalogue(next);
    if (problems.length > 0) return err({ kind: 'invalid', problems });
    const committed: CommittedChange = { revision, change, author, at: this.#dependencies.date() };
    const result = await this.#rows.commit(head, next, committed, randomUUID());
    if (result.isErr()) {
      if (result.error.kind !== 'conflict') return err(applyFailure(result.error, head.revision));
      const current = await this.#rows.head();
      return err(this.#conflict(current.isOk() ? current.value.revision : revision));
    }
    this.#install(next, [committed], 'own');
    return ok(revision);
  }

  #conflict(current: Revision): ApplyFailure {
    this.#dependencies.metrics.count('catalogue.conflict');
    return { kind: 'conflict', current };
  }

  /** Loads the first catalogue: the platform's, which has the highest revision, else the peers' highest. */
  async #start(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (await this.#updateFromPlatform()) return;
      if (await this.#updateFromPeer()) return;
      await this.#dependencies.clock.sleep(startRetryPeriod, signal);
    }
  }

  async #followPeers(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#updateFromPeer();
      await this.#dependencies.clock.sleep(peerPollPeriod, signal);
    }
  }

  async #followHead(signal: AbortSignal): Promise<void> {
    const { clock, random, memberStates } = this.#dependencies;
    while (!signal.aborted) {
      const period = Math.max(
        minHeadPollPeriod,
        ((memberStates().length + 1) * 1000) / maxFleetHeadReads,
      );
      await clock.sleep(period * (0.5 + random()), signal);
      await this.#updateFromPlatform();
    }
  }

  /** Catches up with the platform. False if it could not be read. */
  async #updateFromPlatform(): Promise<boolean> {
    const head = await this.#rows.head();
    if (head.isErr()) return false;
    return (await this.#load(head.value)).isOk();
  }

  /** The catalogue of `head`, which is installed if it is newer than the current one. */
  async #load(head: HeadRow): Promise<Result<Catalogue, PlatformFailure>> {
    if (head.revision <= this.#current.revision) return ok(this.#current);
    const loaded = await this.#rows.load(head, this.#current);
    if (loaded.isErr()) {
      this.#dependencies.metrics.count('catalogue.loadFailed');
      return loaded;
    }
    this.#install(loaded.value, [], 'platform');
    return loaded;
  }

  /** Catches up with a random one of the alive peers at the highest revision. False if that brought none. */
  async #updateFromPeer(): Promise<boolean> {
    const ahead = this.#dependencies
      .memberStates()
      .filter(
        ({ phase, revision }) => phase === 'alive' && (revision ?? 0) > this.#current.revision,
      );
    const highest = Math.max(...ahead.map(({ revision }) => revision ?? 0));
    const best = ahead.filter(({ revision }) => revision === highest);
    const peer = best[Math.floor(this.#dependencies.random() * best.length)]?.router.name;
    if (peer === undefined) return false;
    const update = await this.#dependencies.peers.catalogueSince(peer, this.#current.revision);
    if (update.isOk() && this.#applyUpdate(update.value)) return true;
    this.#dependencies.metrics.count('catalogue.peerFailed');
    return false;
  }

  /** Applies the update of a peer. False if it leads to no higher revision. */
  #applyUpdate(update: CatalogueUpdate): boolean {
    const before = this.#current.revision;
    if (update.kind === 'snapshot') {
      this.#install(update.catalogue, [], 'peer');
    } else {
      let catalogue = this.#current;
      const applied: CommittedChange[] = [];
      for (const committed of update.changes) {
        if (committed.revision !== catalogue.revision + 1) continue;
        catalogue = applyChange(catalogue, committed.change, committed.revision);
        applied.push(committed);
      }
      this.#install(catalogue, applied, 'peer');
    }
    return this.#current.revision > before;
  }

  /** The only place where the catalogue changes; a lower or equal revision is never taken. */
  #install(next: Catalogue, changes: readonly CommittedChange[], source: string): void {
    if (next.revision <= this.#current.revision) return;
    this.#recentChanges.add(changes, next.revision);
    this.#current = next;
    this.#dependencies.metrics.count('catalogue.applied', { source });
    this.#dependencies.metrics.gauge('catalogue.revision', next.revision);
    this.#dependencies.eventLog.record('catalogue in force', { revision: next.revision, source });
  }
}

function applyFailure(failure: PlatformFailure, base: Revision): ApplyFailure {
  switch (failure.kind) {
    case 'conflict':
      return { kind: 'conflict', current: base };
    case 'unavailable':
    case 'unknown':
      return failure;
  }
}
