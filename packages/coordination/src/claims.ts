// Keyed non-idempotent work runs at most once in the fleet, because a row in the table service decides
// which request may send it. Whoever cannot prove by that row that the work is free does not send.

import { err, ok, type Result } from 'neverthrow';
import type { Row } from '@catkinwheel/protocol';
import type { Clock, EntryName, Failure, Milliseconds, Router } from '@catkinwheel/state';
import { mayHaveRun, notRun } from '@catkinwheel/state';
import { Claim, type ClaimPorts } from './claim.js';
import { claimKey, decodeClaimRow, type ClaimRow, type RecordedAnswer } from './claimRow.js';
import { GroupCommit, groupSize, type RowResult } from './groupCommit.js';
import type { Metrics, PlatformFailure, SessionLiveness, Table } from './ports.js';

export { Claim } from './claim.js';
export type { RecordedAnswer } from './claimRow.js';

/** Rounds of writing and reading back until a claim is given up; each needs a racing writer. */
const roundLimit = 5;

/** Age at which a claim expires, from the promise to callers. */
const claimAge: Milliseconds = 24 * 60 * 60 * 1_000;

/** Pause between two transactions that delete expired rows, which leaves the table to requests. */
const sweepPause: Milliseconds = 100;

export interface ClaimsOptions {
  readonly table: Table;
  readonly sessions: SessionLiveness;
  readonly self: Pick<Router, 'name' | 'incarnation'>;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Wall clock in ms since 1970, for the expiry of rows; that of the system if left out. */
  readonly date?: () => Milliseconds;
}

/** A request for the right to run keyed work. */
export interface ClaimRequest {
  readonly entry: EntryName;
  readonly key: string;
  /** Id of the request. */
  readonly request: string;
  /** SHA-256 of what is to be sent. */
  readonly hash: string;
}

/** What a claim came to: the right to run the work, or the answer of an earlier run. */
export type Claimed =
  | { readonly kind: 'held'; readonly claim: Claim }
  | { readonly kind: 'recorded'; readonly answer: RecordedAnswer };

type Decision =
  | { readonly kind: 'done'; readonly result: Result<Claimed, Failure> }
  /** The row may be written if it still has this version. */
  | { readonly kind: 'write'; readonly version: number };

/** Claims on idempotency keys, one row each. */
export class Claims {
  readonly #options: ClaimsOptions;
  readonly #ports: ClaimPorts;
  /** Hashes of the claims held or sought by running requests of this router. */
  readonly #active = new Map<string, string>();

  private constructor(options: ClaimsOptions) {
    this.#options = options;
    const { table, clock, metrics } = options;
    this.#ports = {
      commits: GroupCommit.create(table, clock),
      read: (key) => this.#read(key),
      clock,
      metrics,
      forget: (key) => this.#active.delete(key),
    };
  }

  static create(options: ClaimsOptions): Claims {
    return new Claims(options);
  }

  /**
   * Claims the key. Fails with `notRun` if the platform cannot be reached or the key belongs to another
   * body, and with `mayHaveRun` if another request with the key is or was under way. The verdict speaks
   * of this request only; an earlier request with the same key keeps its own.
   */
  async claim(request: ClaimRequest): Promise<Result<Claimed, Failure>> {
    const key = claimKey(request.entry, request.key);
    const active = this.#active.get(key);
    if (active !== undefined) return err(active === request.hash ? inProgress : keyReused);
    this.#active.set(key, request.hash);
    const result = await this.#negotiate(key, request);
    if (result.isErr() || result.value.kind === 'recorded') this.#active.delete(key);
    return result;
  }

  /**
   * Deletes the claims of an entry that are older than a day, and resolves with their number. Wall clocks
   * may differ by far less than a day, and a holder that still acts finds out by its version.
   */
  async sweep(entry: EntryName): Promise<Result<number, PlatformFailure>> {
    const rows = await this.#options.table.rows(claimKey(entry, ''));
    if (rows.isErr()) return err(rows.error);
    const latest = this.#date() - claimAge;
    const expired = rows.value.filter((row) => (decodeClaimRow(row.value)?.at ?? latest) < latest);
    let count = 0;
    for (let start = 0; start < expired.length; start += groupSize) {
      const group = expired.slice(start, start + groupSize);
      const written = await Promise.all(group.map((row) => this.#delete(row)));
      count += written.filter((result) => result.isOk()).length;
      await this.#options.clock.sleep(sweepPause);
    }
    return ok(count);
  }

  #delete({ key, version }: Row): Promise<RowResult> {
    return this.#ports.commits.write({ key, version, value: undefined });
  }

  #date(): Milliseconds {
    return this.#options.date?.() ?? Date.now();
  }

  async #negotiate(key: string, request: ClaimRequest): Promise<Result<Claimed, Failure>> {
    const { name, incarnation } = this.#options.self;
    const { request: id, hash } = request;
    const owner = { router: name, incarnation, request: id, hash, at: this.#date() };
    const row: ClaimRow = { ...owner, state: 'claimed', answer: null };
    let version = 0;
    for (let round = 0; round < roundLimit; round += 1) {
      const written = await this.#ports.commits.write({ key, version, value: row });
      if (written.isOk()) return ok(this.#held(key, row, written.value));
      if (written.error.kind === 'unavailable') return err(unavailable(written.error));
      const read = await this.#read(key);
      if (read.isErr()) {
        // A lost write may still have taken effect, and would block the key for other routers.
        if (written.error.kind === 'unknown') void this.#claimOf(key, row, 0).withdraw();
        return err(unavailable(read.error));
      }
      const decision = await this.#decide(key, read.value, row);
      if (decision.kind === 'done') return decision.result;
      version = decision.version;
    }
    return err(mayHaveRun('claimConflict', 'other requests with this key are being accepted'));
  }

  async #decide(key: string, found: Row | undefined, own: ClaimRow): Promise<Decision> {
    if (found === undefined) return { kind: 'write', version: 0 };
    const row = decodeClaimRow(found.value);
    if (row === undefined) return failed(mayHaveRun('claimUnresolved', 'the claim is unreadable'));
    if (row.hash !== own.hash) return failed(keyReused);
    const isOwn = row.router === own.router && row.incarnation === own.incarnation;
    switch (row.state) {
      case 'done':
        if (row.answer === null) return failed(unresolved);
        return { kind: 'done', result: ok({ kind: 'recorded', answer: row.answer }) };
      case 'claimed':
        if (isOwn && row.request === own.request) {
          return { kind: 'done', result: ok(this.#held(key, row, found.version)) };
        }
        // Requests of this run that still hold a claim are active, so this one was left behind.
        if (isOwn) return { kind: 'write', version: found.version };
        return this.#takeover(row, found.version);
      case 'sending':
        return failed(!isOwn && (await this.#isLive(row)) === 'live' ? inProgress : unresolved);
    }
  }

  async #takeover(row: ClaimRow, version: number): Promise<Decision> {
    const life = await this.#isLive(row);
    switch (life) {
      case 'dead':
        this.#options.metrics.count('claim.takeover');
        return { kind: 'write', version };
      case 'live':
        return failed(inProgress);
      case 'unknown':
        return failed(unresolved);
    }
  }

  #isLive(row: ClaimRow): Promise<'live' | 'dead' | 'unknown'> {
    return this.#options.sessions.liveness(row.router, row.incarnation);
  }

  #held(key: string, row: ClaimRow, version: number): Claimed {
    return { kind: 'held', claim: this.#claimOf(key, row, version) };
  }

  #claimOf(key: string, row: ClaimRow, version: number): Claim {
    return Claim.create(this.#ports, key, row, version);
  }

  async #read(key: string): Promise<Result<Row | undefined, PlatformFailure>> {
    const rows = await this.#options.table.rows(key);
    return rows.map((found) => found.find((row) => row.key === key));
  }
}

const inProgress = {
  ...mayHaveRun('claimConflict', 'a request with this key is under way'),
  retryAfter: 1_000,
};
const unresolved = mayHaveRun(
  'claimUnresolved',
  'an earlier request with this key may have run; its answer is not known',
);
const keyReused = notRun('keyReused', 'the key was used before with another request');

function failed(failure: Failure): Decision {
  return { kind: 'done', result: err(failure) };
}

function unavailable(failure: PlatformFailure): Failure {
  const detail = failure.kind === 'conflict' ? 'conflict' : failure.detail;
  return notRun('platformUnavailable', `the claim could not be recorded: ${detail}`, 1_000);
}
