// A claim that one request holds on its idempotency key. The request may be sent only if its claim confirms it.

import { err, ok, type Result } from 'neverthrow';
import type { Row } from '@catkinwheel/protocol';
import type { Clock, Failure, Milliseconds, Verdict } from '@catkinwheel/state';
import { mayHaveRun, notRun } from '@catkinwheel/state';
import type { BufferedResponse } from './bufferedResponse.js';
import { decodeClaimRow, type ClaimRow, type RecordedResponse } from './claimRow.js';
import type { GroupCommit, RowResult } from './groupCommit.js';
import type { Metrics, PlatformFailure } from './ports.js';

/** Maximum tries of a write whose response is lost, before the request fails. */
const maxSendingTries = 3;
/** Maximum retries to record the end of a claim; until then only callers with the same key are blocked. */
const maxRecordRetries = 60;
const recordRetryPeriod: Milliseconds = 1_000;

export interface ClaimPorts {
  readonly commits: GroupCommit;
  readonly read: (key: string) => Promise<Result<Row | undefined, PlatformFailure>>;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Called once the request no longer holds the claim. */
  readonly onReleased: (key: string) => void;
}

/** The exclusive right to run the request with a key, provided that the write of state `sending` succeeds. */
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
   * Writes state `sending`, which must succeed before anything is sent. Fails if another router took the
   * claim over while this one was paused, and if the platform does not confirm the write.
   */
  async confirmSending(): Promise<Result<void, Failure>> {
    if (this.#row.state === 'sending') return ok();
    const value: ClaimRow = { ...this.#row, state: 'sending' };
    for (let tries = 0; tries < maxSendingTries; tries += 1) {
      const written = await this.#write(value);
      if (written.isOk()) return this.#confirm(value, written.value);
      if (written.error.kind === 'unavailable') break;
      // The write may have taken effect, so the version must be read before the key is freed.
      const version = this.#version;
      this.#version = 0;
      const read = await this.#ports.read(this.#key);
      if (read.isErr()) break;
      this.#version = version;
      const found = decodeClaimRow(read.value?.value);
      if (read.value === undefined || found?.request !== this.#row.request) {
        this.#isOver = true;
        this.#ports.onReleased(this.#key);
        return err(takenOver);
      }
      if (found.state === 'sending') return this.#confirm(value, read.value.version);
    }
    return err(notConfirmed);
  }

  /** Records the complete response, without its body if that is too large. Does not wait for an outage to end. */
  async recordResponse(response: BufferedResponse): Promise<void> {
    const { status, headers, events } = response.head;
    const body = events ? undefined : response.body;
    await this.#recordEnd({
      status,
      headers: recordedHeaders(headers),
      body: body === undefined ? null : Buffer.from(body).toString('base64'),
    });
  }

  /** Ends the claim of a failed request: a request that did not run frees the key. */
  async endFailed(verdict: Verdict): Promise<void> {
    if (verdict === 'notRun') await this.withdraw();
    else await this.#recordEnd(null);
  }

  /** Frees the key. Only for requests of which nothing was sent. */
  async withdraw(): Promise<void> {
    await this.#finish(undefined);
  }

  async #recordEnd(answer: RecordedResponse | null): Promise<void> {
    await this.#finish({ ...this.#row, state: 'done', answer });
  }

  /** Tries once while the request waits, and then in the background. */
  async #finish(value: ClaimRow | undefined): Promise<void> {
    if (this.#isOver) return;
    this.#isOver = true;
    if (!(await this.#tryFinish(value))) void this.#keepTrying(value);
    this.#ports.onReleased(this.#key);
  }

  async #keepTrying(value: ClaimRow | undefined): Promise<void> {
    for (let tries = 0; tries < maxRecordRetries; tries += 1) {
      await this.#ports.clock.sleep(recordRetryPeriod);
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

  #confirm(row: ClaimRow, version: number): Result<void, Failure> {
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
