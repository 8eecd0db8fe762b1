// A claim in the hands of one request. It is the request's only way to learn that it may send.

import { err, ok, type Result } from 'neverthrow';
import type { Row } from '@catkinwheel/protocol';
import type { Clock, Failure, Milliseconds, Verdict } from '@catkinwheel/state';
import { mayHaveRun, notRun } from '@catkinwheel/state';
import type { BufferedResponse } from './bufferedResponse.js';
import { decodeClaimRow, type ClaimRow, type RecordedAnswer } from './claimRow.js';
import type { GroupCommit, RowResult } from './groupCommit.js';
import type { Metrics, PlatformFailure } from './ports.js';

/** Tries of a write whose answer got lost, before the request is refused. */
const tryLimit = 3;
/** Tries to record the end of a claim; it blocks nobody but callers with the same key. */
const recordLimit = 60;
const recordPeriod: Milliseconds = 1_000;

export interface ClaimPorts {
  readonly commits: GroupCommit;
  readonly read: (key: string) => Promise<Result<Row | undefined, PlatformFailure>>;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Called once the request holds the claim no longer. */
  readonly forget: (key: string) => void;
}

/** The right to run keyed work, as long as `sending` confirms it. */
export class Claim {
  readonly #ports: ClaimPorts;
  readonly #key: string;
  #row: ClaimRow;
  #version: number;
  /** Whether nothing is left to do: the claim has ended or belongs to another router. */
  #isOver = false;

  private constructor(ports: ClaimPorts, key: string, row: ClaimRow, version: number) {
    this.#ports = ports;
    this.#key = key;
    this.#row = row;
    this.#version = version;
  }

  /** `version` is that of the written row; 0 if the write may not have taken effect. */
  static create(ports: ClaimPorts, key: string, row: ClaimRow, version: number): Claim {
    return new Claim(ports, key, row, version);
  }

  /**
   * Must succeed before anything is sent. It fails if another router took the claim over while this one
   * was paused, and if the platform does not confirm the write.
   */
  async sending(): Promise<Result<void, Failure>> {
    if (this.#row.state === 'sending') return ok();
    const value: ClaimRow = { ...this.#row, state: 'sending' };
    for (let tries = 0; tries < tryLimit; tries += 1) {
      const written = await this.#write(value);
      if (written.isOk()) return this.#become(value, written.value);
      if (written.error.kind === 'unavailable') break;
      // The write may have taken effect, so that the version has to be read before the key is freed.
      const version = this.#version;
      this.#version = 0;
      const read = await this.#ports.read(this.#key);
      if (read.isErr()) break;
      this.#version = version;
      const found = decodeClaimRow(read.value?.value);
      if (read.value === undefined || found?.request !== this.#row.request) {
        this.#isOver = true;
        this.#ports.forget(this.#key);
        return err(takenOver);
      }
      if (found.state === 'sending') return this.#become(value, read.value.version);
    }
    return err(notConfirmed);
  }

  /** Records the whole answer, without its body if that is too large. Does not wait for an outage to end. */
  async done(answer: BufferedResponse): Promise<void> {
    const { status, headers, events } = answer.head;
    const body = events ? undefined : answer.body;
    await this.#end({
      status,
      headers: recordedHeaders(headers),
      body: body === undefined ? null : Buffer.from(body).toString('base64'),
    });
  }

  /** Ends the claim of a failed request: a request that did not run frees the key. */
  async settle(verdict: Verdict): Promise<void> {
    if (verdict === 'notRun') await this.withdraw();
    else await this.#end(null);
  }

  /** Frees the key. Only for requests of which nothing was sent. */
  async withdraw(): Promise<void> {
    await this.#finish(undefined);
  }

  async #end(answer: RecordedAnswer | null): Promise<void> {
    await this.#finish({ ...this.#row, state: 'done', answer });
  }

  /** Tries once in the request's own time, and then beside it. */
  async #finish(value: ClaimRow | undefined): Promise<void> {
    if (this.#isOver) return;
    this.#isOver = true;
    if (!(await this.#tryFinish(value))) void this.#keepTrying(value);
    this.#ports.forget(this.#key);
  }

  async #keepTrying(value: ClaimRow | undefined): Promise<void> {
    for (let tries = 0; tries < recordLimit; tries += 1) {
      await this.#ports.clock.sleep(recordPeriod);
      if (await this.#tryFinish(value)) return;
    }
    this.#ports.metrics.count('claim.abandoned');
  }

  /** True once nothing is left to do. */
  async #tryFinish(value: ClaimRow | undefined): Promise<boolean> {
    const read = this.#version === 0 ? await this.#findVersion() : ok(this.#version);
    if (read.isErr()) return false;
    if (read.value === 0) return true;
    this.#version = read.value;
    const written = await this.#write(value);
    // A conflict means that an earlier try took effect or that another router has the claim.
    return written.isOk() || written.error.kind === 'conflict';
  }

  async #findVersion(): Promise<Result<number, PlatformFailure>> {
    const read = await this.#ports.read(this.#key);
    return read.map((row) => {
      const found = decodeClaimRow(row?.value);
      return found?.request === this.#row.request ? (row?.version ?? 0) : 0;
    });
  }

  #write(value: ClaimRow | undefined): Promise<RowResult> {
    return this.#ports.commits.write({ key: this.#key, version: this.#version, value });
  }

  #become(row: ClaimRow, version: number): Result<void, Failure> {
    this.#row = row;
    this.#version = version;
    return ok();
  }
}

const notConfirmed = notRun('platformUnavailable', 'the claim could not be confirmed', 1_000);
const takenOver = mayHaveRun('claimConflict', 'another router took the request over');

function recordedHeaders(
  headers: Readonly<Record<string, string | readonly string[]>>,
): Record<string, string | string[]> {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [
      name,
      typeof value === 'string' ? value : [...value],
    ]),
  );
}
