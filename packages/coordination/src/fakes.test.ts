import type { Commit, Row, Transaction } from '@catkinwheel/protocol';
import type { Cost, ManualClock, Milliseconds, Router, RouterName } from '@catkinwheel/state';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ServerKeeper, MemberView, Metrics, PlatformFailure, Relay, Table } from './ports.js';

/** How the path from one router to the platform behaves. */
export type Path =
  | { readonly kind: 'open' }
  /** Refuses at once; nothing is written. */
  | { readonly kind: 'down' }
  /** Never answers; writes take effect if `writes` is set. */
  | { readonly kind: 'silent'; readonly writes: boolean }
  /** Answers late. */
  | { readonly kind: 'slow'; readonly delay: Milliseconds };

/** One table for all routers, each with its own path to it. */
export class FakeTable {
  readonly rows = new Map<string, Row>();
  readonly paths = new Map<RouterName, Path>();
  /** Times of all writes, for the budget. */
  readonly writes: Milliseconds[] = [];
  readonly clock: ManualClock;
  /** Answers that still get lost, from the next write on; the requests take effect. */
  lost = 0;
  #version = 0;
  #isLosing = false;

  constructor(clock: ManualClock) {
    this.clock = clock;
  }

  path(router: RouterName): Table {
    return {
      transact: (transaction) => this.#answer(router, () => this.apply(transaction), true),
      rows: (prefix) => this.#answer(router, () => ok(this.list(prefix)), false),
    };
  }

  isOpen(router: RouterName): boolean {
    return (this.paths.get(router) ?? { kind: 'open' }).kind === 'open';
  }

  list(prefix: string): readonly Row[] {
    return [...this.rows.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  apply(transaction: Transaction): Result<Commit, PlatformFailure> {
    this.writes.push(this.clock.now());
    const keys = transaction.checks
      .filter(({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
    if (keys.length > 0) return err({ kind: 'conflict', keys });
    this.#version += 1;
    const version = this.#version;
    for (const { key, value } of transaction.puts) this.rows.set(key, { key, version, value });
    for (const key of transaction.deletes) this.rows.delete(key);
    return ok({ version });
  }

  #answer<T>(
    router: RouterName,
    act: () => Result<T, PlatformFailure>,
    isWrite: boolean,
  ): ResultAsync<T, PlatformFailure> {
    const path = this.paths.get(router) ?? { kind: 'open' };
    if (this.lost > 0 && (isWrite || this.#isLosing)) {
      this.lost -= 1;
      this.#isLosing = this.lost > 0;
      act();
      return new ResultAsync(new Promise(() => undefined));
    }
    switch (path.kind) {
      case 'open':
        return new ResultAsync(Promise.resolve(act()));
      case 'down':
        return new ResultAsync(Promise.resolve(err({ kind: 'unavailable', detail: 'down' })));
      case 'silent':
        if (isWrite && path.writes) act();
        return new ResultAsync(new Promise(() => undefined));
      case 'slow':
        return new ResultAsync(this.clock.sleep(path.delay).then(act));
    }
  }
}

/** Members that a test sets by hand. */
export class FakeMembers implements MemberView {
  readonly self: Router;
  peers: readonly Router[] = [];
  reaching: readonly RouterName[] = [];
  leaving: readonly RouterName[] = [];
  kept: readonly ServerKeeper[] = [];
  lowest: Cost | undefined;

  constructor(self: Router) {
    this.self = self;
  }

  alive(): readonly Router[] {
    return [this.self, ...this.peers].sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  isLeaving(name: RouterName): boolean {
    return this.leaving.includes(name);
  }

  reachesPlatform(name: RouterName): boolean {
    return this.reaching.includes(name);
  }

  keepers(): readonly ServerKeeper[] {
    return this.kept;
  }

  minLevel(): Cost | undefined {
    return this.lowest;
  }
}

/** Counters by name. */
export class FakeMetrics implements Metrics {
  readonly counts = new Map<string, number>();

  count(name: string): void {
    this.counts.set(name, this.of(name) + 1);
  }

  gauge(): void {
    return undefined;
  }

  timing(): void {
    return undefined;
  }

  of(name: string): number {
    return this.counts.get(name) ?? 0;
  }
}

export const eventLog = { record: (): void => undefined };

export function router(name: RouterName, incarnation = `${name}-1`): Router {
  const vm = `vm-${name}`;
  return { name, incarnation, vm, dataCentre: 'dc', address: name, peerAddress: name };
}

/** A relay through the paths of the named peers. */
export function relayOf(table: FakeTable): Relay {
  return {
    transact: (peer, transaction) => table.path(peer).transact(transaction),
    rows: (peer, prefix) => table.path(peer).rows(prefix),
  };
}

/** Numbers in [0, 1) from a seed (mulberry32). */
export function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
}
