// Every router holds the whole catalogue and decides by it alone; this module gets each committed
// change to every router within seconds and never goes back to a lower revision.

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
import { CatalogueRows, type Head } from './catalogueRows.js';
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

/** Period of looking for peers with a higher revision. */
const peerPeriod: Milliseconds = 100;
/** Shortest period of reading the head row, for changes that no peer told of. */
const headPeriod: Milliseconds = 2000;
/** Head reads per second of the whole fleet above which each router reads less often. */
const fleetHeadReads = 50;
/** Tries of a change that is made again after a conflict. */
const amendAttempts = 5;
/** Period of trying to get the first catalogue. */
const startPeriod: Milliseconds = 200;

export interface CatalogueParts {
  readonly self: RouterName;
  readonly clock: Clock;
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly peers: CataloguePeer;
  /** What is known of the other routers. */
  readonly memberStates: () => readonly MemberState[];
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
  readonly random: Random;
  /** Date and time of day in ISO 8601, for the history. */
  readonly date: () => string;
}

/** The catalogue in force at this router. Empty, with revision 0, until one was found. */
export class CatalogueStore implements CatalogueView {
  readonly #parts: CatalogueParts;
  readonly #rows: CatalogueRows;
  readonly #backlog = RecentChanges.create();
  #current: Catalogue = emptyCatalogue;

  private constructor(parts: CatalogueParts) {
    this.#parts = parts;
    this.#rows = CatalogueRows.create(parts.table, parts.objects, parts.clock);
  }

  static create(parts: CatalogueParts): CatalogueStore {
    return new CatalogueStore(parts);
  }

  current(): Catalogue {
    return this.#current;
  }

  /** Whether there is a catalogue to serve by. */
  isReady(): boolean {
    return this.#current.revision > 0;
  }

  /** Answers a peer that has `revision`. */
  updateSince(revision: Revision): ResultAsync<CatalogueUpdate, string> {
    if (!this.isReady()) return errAsync('no catalogue yet');
    const changes = this.#backlog.since(revision, this.#current.revision);
    if (changes === undefined) return okAsync({ kind: 'snapshot', catalogue: this.#current });
    return okAsync({ kind: 'changes', changes });
  }

  /** Whether `revision` is in force at every router that may still take work. */
  rolloutStatus(revision: Revision = this.#current.revision): RolloutStatus {
    const others = this.#parts
      .memberStates()
      .filter((standing) => standing.mayTakeWork && (standing.revision ?? 0) < revision)
      .map(({ router }) => router.name);
    const missing = this.#current.revision < revision ? [this.#parts.self, ...others] : others;
    return { revision, missing };
  }

  /**
   * Commits a change of the catalogue with revision `base`. Resolves once it is committed; whether it
   * is in force everywhere is said by `acceptance`.
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
   * Commits a change that is made from the newest catalogue, and again if another change came first.
   * For changes whose meaning does not depend on the rest of the catalogue, such as a drain.
   */
  async amend(
    change: (catalogue: Catalogue) => CatalogueChange,
    author: string,
  ): Promise<Result<Revision, ApplyFailure>> {
    for (let attempt = 1; ; attempt++) {
      const result = await this.#applyTo(undefined, change, author);
      const isRaced = result.isErr() && result.error.kind === 'conflict';
      if (!isRaced || attempt === amendAttempts) return result;
    }
  }

  /** The changes that the platform keeps, the newest first. */
  history(): Promise<Result<readonly ChangeRecord[], PlatformFailure>> {
    return this.#rows.history();
  }

  /** Finds the catalogue and follows its changes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await this.#start(signal);
    await Promise.all([this.#followPeers(signal), this.#followHead(signal)]);
  }

  /** Commits a change of the newest catalogue, which must have revision `base` if that is given. */
  async #applyTo(
    base: Revision | undefined,
    change: (catalogue: Catalogue) => CatalogueChange,
    author: string,
  ): Promise<Result<Revision, ApplyFailure>> {
    const head = await this.#rows.head();
    if (head.isErr()) return err(applyFailure(head.error, this.#current.revision));
    const { revision } = head.value;
    if (base !== undefined && revision !== base) return err(this.#conflict(revision));
    // A head below the revision in force is a stale read; a change of it would go back.
    if (revision < this.#current.revision) return err(this.#conflict(this.#current.revision));
    const loaded = await this.#load(head.value);
    if (loaded.isErr()) return err(applyFailure(loaded.error, revision));
    const made = change(loaded.value);
    if (isEmptyChange(made)) return ok(revision);
    return this.#commit(head.value, loaded.value, made, author);
  }

  async #commit(
    head: Head,
    loaded: Catalogue,
    change: CatalogueChange,
    author: string,
  ): Promise<Result<Revision, ApplyFailure>> {
    const revision = head.revision + 1;
    const next = applyChange(loaded, change, revision);
    const problems = validateCatalogue(next);
    if (problems.length > 0) return err({ kind: 'invalid', problems });
    const committed: CommittedChange = { revision, change, author, at: this.#parts.date() };
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
    this.#parts.metrics.count('catalogue.conflict');
    return { kind: 'conflict', current };
  }

  /** The first catalogue: that of the platform, which is the highest, else the highest of the peers. */
  async #start(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (await this.#readHead()) return;
      if (await this.#askPeers()) return;
      await this.#parts.clock.sleep(startPeriod, signal);
    }
  }

  async #followPeers(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#askPeers();
      await this.#parts.clock.sleep(peerPeriod, signal);
    }
  }

  async #followHead(signal: AbortSignal): Promise<void> {
    const { clock, random, memberStates: standings } = this.#parts;
    while (!signal.aborted) {
      const period = Math.max(headPeriod, ((standings().length + 1) * 1000) / fleetHeadReads);
      await clock.sleep(period * (0.5 + random()), signal);
      await this.#readHead();
    }
  }

  /** Catches up with the platform. False if it could not be read. */
  async #readHead(): Promise<boolean> {
    const head = await this.#rows.head();
    if (head.isErr()) return false;
    return (await this.#load(head.value)).isOk();
  }

  /** The catalogue of `head`, which is installed if it is newer than the present one. */
  async #load(head: Head): Promise<Result<Catalogue, PlatformFailure>> {
    if (head.revision <= this.#current.revision) return ok(this.#current);
    const loaded = await this.#rows.load(head, this.#current);
    if (loaded.isErr()) {
      this.#parts.metrics.count('catalogue.loadFailed');
      return loaded;
    }
    this.#install(loaded.value, [], 'platform');
    return loaded;
  }

  /** Catches up with one of the alive peers of the highest revision. False if none gave a newer one. */
  async #askPeers(): Promise<boolean> {
    const ahead = this.#parts
      .memberStates()
      .filter(
        ({ phase, revision }) => phase === 'alive' && (revision ?? 0) > this.#current.revision,
      );
    const highest = Math.max(...ahead.map(({ revision }) => revision ?? 0));
    const best = ahead.filter(({ revision }) => revision === highest);
    const peer = best[Math.floor(this.#parts.random() * best.length)]?.router.name;
    if (peer === undefined) return false;
    const update = await this.#parts.peers.catalogueSince(peer, this.#current.revision);
    if (update.isOk() && this.#take(update.value)) return true;
    this.#parts.metrics.count('catalogue.peerFailed');
    return false;
  }

  /** Applies what a peer sent. False if it leads to no higher revision. */
  #take(update: CatalogueUpdate): boolean {
    const before = this.#current.revision;
    if (update.kind === 'snapshot') {
      this.#install(update.catalogue, [], 'peer');
    } else {
      let catalogue = this.#current;
      const taken: CommittedChange[] = [];
      for (const committed of update.changes) {
        if (committed.revision !== catalogue.revision + 1) continue;
        catalogue = applyChange(catalogue, committed.change, committed.revision);
        taken.push(committed);
      }
      this.#install(catalogue, taken, 'peer');
    }
    return this.#current.revision > before;
  }

  /** The only place where the catalogue changes; a lower or equal revision is never taken. */
  #install(next: Catalogue, changes: readonly CommittedChange[], source: string): void {
    if (next.revision <= this.#current.revision) return;
    this.#backlog.add(changes, next.revision);
    this.#current = next;
    this.#parts.metrics.count('catalogue.applied', { source });
    this.#parts.metrics.gauge('catalogue.revision', next.revision);
    this.#parts.eventLog.record('catalogue in force', { revision: next.revision, source });
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
