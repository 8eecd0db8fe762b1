// Runs one request from its acceptance to its end: acquires a permit, makes an attempt at a server, and
// retries at another server where that is safe.

import type { Call, ResponsePart } from '@catkinwheel/protocol';
import type {
  Clock,
  Entry,
  Failure,
  Milliseconds,
  Server,
  ServerName,
  Service,
  Verdict,
} from '@catkinwheel/state';
import { isDrained, notRun, serversOf } from '@catkinwheel/state';
import { err, ok, type Result } from 'neverthrow';
import { AttemptRun } from './attempt.js';
import type { Claim } from './claims.js';
import type { ConnectionWatchdog } from './connectionGuard.js';
import type { SilenceTimeouts } from './silenceTimeouts.js';
import type {
  Backend,
  CatalogueView,
  Metrics,
  PermitSource,
  Random,
  PermitHandle,
  PermitRequest,
} from './ports.js';
import { isUnsent, moveReasons, retryableReasons } from './retryRules.js';
import type { RetryBudget } from './retryBudget.js';
import { StreamProgress } from './streamProgress.js';

/** Maximum attempts of one request, the first included. */
const maxAttempts = 3;
/**
 * Maximum moves of one request to another permit, because its permit expired, was revoked or was for a server
 * that it could not use. Moves are not retries.
 */
const maxMoves = 8;
/** Maximum backoff before the first retry; doubles with each retry or move. */
const initialBackoff: Milliseconds = 50;
/** Cap of the backoff, and so the longest time for which a retried request misses a free server. */
const maxBackoff: Milliseconds = 500;

export interface ExecutionPorts {
  readonly catalogue: CatalogueView;
  readonly permits: PermitSource;
  readonly backend: Backend;
  readonly budget: RetryBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly watchdog: ConnectionWatchdog;
  readonly silenceTimeouts: SilenceTimeouts;
}

/** What the request is run for, as resolved from the catalogue. */
export interface ExecutionTarget {
  readonly entry: Entry;
  readonly service: Service;
  /** The claim on the idempotency key, if the request needs one. */
  readonly claim: Claim | undefined;
}

/** Runs one request. The parts that it yields end with `end` or `failed`. */
export class Execution {
  readonly #ports: ExecutionPorts;
  readonly #call: Call;
  readonly #target: ExecutionTarget;
  readonly #arrivedAt: Milliseconds;
  readonly #progress: StreamProgress;
  #avoidedServers: readonly ServerName[] = [];
  #lastServer: ServerName | undefined;
  /** The latest attempt. */
  #lastAttempt: AttemptRun | undefined;
  #verdict: Verdict = 'notRun';
  /** The last part of a claimed request's response, forwarded only once the response is recorded. */
  #withheldPart: ResponsePart | undefined;
  /** The permit for a server that takes over from one that is silent; the retry budget has been charged for it. */
  #replacement: PermitHandle | undefined;
  #attempts = 0;
  #moves = 0;
  /** Whether admission refused a permit, which ends the request. */
  #isPermitRefused = false;

  private constructor(ports: ExecutionPorts, call: Call, target: ExecutionTarget) {
    this.#ports = ports;
    this.#call = call;
    this.#target = target;
    this.#arrivedAt = ports.clock.now();
    const size = call.request.body?.byteLength ?? 0;
    this.#progress = StreamProgress.create(size, call.stream && target.entry.idempotent);
  }

  static create(ports: ExecutionPorts, call: Call, target: ExecutionTarget): Execution {
    return new Execution(ports, call, target);
  }

  /**
   * Runs the request to its end. `caller` aborts when the caller disconnects; the attempt at the server is
   * then cancelled, and the generator must still be read to its end.
   */
  async *run(caller: AbortSignal): AsyncGenerator<ResponsePart, void, void> {
    const { claim, entry } = this.#target;
    this.#ports.budget.deposit(entry.service);
    try {
      for (;;) {
        const prepared = await this.#prepareAttempt(caller);
        let failure: Failure | undefined;
        if (prepared.isErr()) failure = prepared.error;
        else if (claim === undefined) failure = yield* prepared.value.run(caller);
        // A claimed request runs on without its caller, who can ask for the recorded response later.
        else failure = yield* this.#withholdLastPart(prepared.value.run(undefined));
        const end = await this.#finalPart(failure, caller);
        if (end === undefined) continue;
        if (end.kind === 'end' && this.#withheldPart !== undefined) yield this.#withheldPart;
        yield end;
        return;
      }
    } finally {
      this.#replacement?.finish('unused', null, 0);
      // Only takes effect if the consumer stopped reading early: a claim that has ended ignores this.
      await claim?.endFailed('mayHaveRun');
    }
  }

  /**
   * Withholds the last part. A caller that has the complete response may repeat its request at once with
   * the same key, so the response must be recorded before its last byte is forwarded.
   */
  async *#withholdLastPart(
    parts: AsyncGenerator<ResponsePart, Failure | undefined, void>,
  ): AsyncGenerator<ResponsePart, Failure | undefined, void> {
    this.#withheldPart = undefined;
    try {
      for (;;) {
        const next = await parts.next();
        if (next.done === true) return next.value;
        if (this.#withheldPart !== undefined) yield this.#withheldPart;
        this.#withheldPart = next.value;
      }
    } finally {
      await parts.return(undefined);
    }
  }

  /** Updates claim and counters and returns the final part; undefined if another attempt is to be made. */
  async #finalPart(
    failure: Failure | undefined,
    caller: AbortSignal,
  ): Promise<ResponsePart | undefined> {
    const { claim } = this.#target;
    if (failure === undefined) {
      if (this.#lastAttempt?.response !== undefined)
        await claim?.recordResponse(this.#lastAttempt.response);
      this.#ports.metrics.count('request.answered');
      return { kind: 'end' };
    }
    const final = this.#finalFailure(failure, caller);
    if (final === undefined) {
      await this.#backOff(caller);
      return undefined;
    }
    await claim?.endFailed(final.verdict);
    countFailure(this.#ports.metrics, final);
    return { kind: 'failed', failure: final };
  }

  /** Waits for a permit and makes the last checks before sending. */
  async #prepareAttempt(caller: AbortSignal): Promise<Result<AttemptRun, Failure>> {
    const acquired = await this.#acquirePermit(caller);
    if (acquired.isErr()) {
      this.#isPermitRefused = true;
      return err(acquired.error);
    }
    const handle = acquired.value;
    const server = this.#ports.catalogue.current().servers[handle.permit.server];
    if (this.#isPermitDeclined(handle.permit.server)) {
      handle.finish('unused', null, 0);
      return err(serverAvoided);
    }
    const refused = server === undefined ? serverRemoved : await this.#confirmSending(handle);
    if (refused === undefined && server !== undefined)
      return ok(this.#createAttempt(handle, server));
    handle.finish('unused', null, 0);
    return err(refused ?? serverRemoved);
  }

  async #acquirePermit(caller: AbortSignal): Promise<Result<PermitHandle, Failure>> {
    const replacement = this.#replacement;
    this.#replacement = undefined;
    return replacement === undefined
      ? await this.#ports.permits.acquire(this.#permitRequest(), caller)
      : ok(replacement);
  }

  /** Acquires a permit to take over from a silent server; returns whether there is one. Never rejects. */
  async #findReplacement(signal: AbortSignal): Promise<boolean> {
    try {
      return await this.#reserveReplacement(signal);
    } catch (error) {
      const name = error instanceof Error ? error.name : typeof error;
      this.#ports.metrics.count('request.fault', { activity: 'replacement', error: name });
      return false;
    }
  }

  async #reserveReplacement(signal: AbortSignal): Promise<boolean> {
    const { budget, permits } = this.#ports;
    const { service } = this.#target.entry;
    if (!this.#isSafeToRetry || !budget.allows(service)) return false;
    this.#avoidLastServer();
    const acquired = await permits.acquire(this.#permitRequest(), signal);
    if (acquired.isErr()) return false;
    const handle = acquired.value;
    const isUsable = !signal.aborted && !this.#avoidedServers.includes(handle.permit.server);
    if (isUsable && budget.withdraw(service)) {
      this.#replacement = handle;
      return true;
    }
    handle.finish('unused', null, 0);
    return false;
  }

  #avoidLastServer(): void {
    const server = this.#lastServer;
    if (server !== undefined && !this.#avoidedServers.includes(server))
      this.#avoidedServers = [...this.#avoidedServers, server];
  }

  /**
   * Whether to decline a permit because its server already failed this request and other servers exist.
   * A server that refuses connections always has free permits, so a request could spend all its attempts
   * on it while the others are busy. After the maximum of moves any server is accepted.
   */
  #isPermitDeclined(server: ServerName): boolean {
    if (!this.#avoidedServers.includes(server) || this.#moves >= maxMoves) return false;
    const catalogue = this.#ports.catalogue.current();
    return serversOf(catalogue, this.#target.entry.service).some((name) => {
      const other = catalogue.servers[name];
      return (
        other !== undefined && !this.#avoidedServers.includes(name) && !isDrained(catalogue, other)
      );
    });
  }

  /** The permit is checked last, since its check does not wait. */
  async #confirmSending(handle: PermitHandle): Promise<Failure | undefined> {
    const confirmed = await this.#target.claim?.confirmSending();
    if (confirmed?.isErr() === true) return confirmed.error;
    return handle.markSent() ? undefined : permitExpired;
  }

  #createAttempt(handle: PermitHandle, server: Server): AttemptRun {
    const { entry, service } = this.#target;
    this.#attempts += 1;
    const hasSilenceTimeout = entry.idempotent && this.#attempts === 1;
    this.#lastServer = handle.permit.server;
    this.#progress.nextAttempt();
    const plan = {
      id: `${this.#call.id}.${this.#attempts}`,
      call: this.#call,
      service,
      address: server.address,
      handle,
      deadline: this.#ports.clock.now() + entry.maxRun,
      // Only for the first attempt: a request that really takes long must be able to complete in the end.
      plainSilenceTimeout: hasSilenceTimeout
        ? this.#ports.silenceTimeouts.timeout(entry.service)
        : undefined,
      findReplacement: (signal: AbortSignal) => this.#findReplacement(signal),
    };
    const run = AttemptRun.create(this.#ports, plan, this.#progress);
    this.#lastAttempt = run;
    return run;
  }

  /** The failure to report, or undefined if another attempt may be made. */
  #finalFailure(failure: Failure, caller: AbortSignal): Failure | undefined {
    this.#verdict = moreSevere(this.#verdict, failure.verdict);
    const refusal = caller.aborted ? failure : this.#reasonNotToRetry(failure);
    if (refusal !== undefined) return { ...refusal, verdict: this.#verdict };
    this.#avoidLastServer();
    this.#ports.metrics.count('request.retried', { reason: failure.reason });
    return undefined;
  }

  #reasonNotToRetry(failure: Failure): Failure | undefined {
    if (this.#isPermitRefused || !this.#isRetryable(failure)) return failure;
    if (moveReasons.has(failure.reason)) {
      this.#moves += 1;
      return this.#moves > maxMoves ? noFurtherAttempt('retriesExhausted', failure) : undefined;
    }
    if (this.#attempts >= maxAttempts) return noFurtherAttempt('retriesExhausted', failure);
    // The budget protects servers from repeated work; an attempt that was not sent causes none.
    const isAllowed =
      isUnsent(failure) ||
      this.#replacement !== undefined ||
      this.#ports.budget.withdraw(this.#target.entry.service);
    return isAllowed ? undefined : noFurtherAttempt('retryBudget', failure);
  }

  #isRetryable(failure: Failure): boolean {
    if (isUnsent(failure)) return true;
    return retryableReasons.has(failure.reason) && this.#isSafeToRetry;
  }

  /** Whether the request may run again and the part of the response already forwarded can be continued. */
  get #isSafeToRetry(): boolean {
    return this.#target.entry.idempotent && this.#progress.isResumable;
  }

  #permitRequest(): PermitRequest {
    const { entry } = this.#target;
    return {
      entry: this.#call.entry,
      team: entry.team,
      service: entry.service,
      class: entry.class,
      bytes: this.#call.request.body?.byteLength ?? 0,
      hint: this.#call.hint,
      arrived: this.#queuedSince(),
      avoidedServers: this.#avoidedServers,
    };
  }

  /**
   * The original arrival, so that a retried request keeps its place in the queue. The time that a long
   * stream has run counts as waiting too, so at least half of `maxWait` is left for its move to another
   * server.
   */
  #queuedSince(): Milliseconds {
    const latest = this.#ports.clock.now() - this.#target.entry.maxWait / 2;
    return this.#attempts === 0 ? this.#arrivedAt : Math.max(this.#arrivedAt, latest);
  }

  async #backOff(caller: AbortSignal): Promise<void> {
    if (this.#replacement !== undefined) return;
    const doublings = Math.max(0, this.#attempts + this.#moves - 1);
    const maxDelay = Math.min(maxBackoff, initialBackoff * 2 ** doublings);
    await this.#ports.clock.sleep(maxDelay * this.#ports.random(), caller);
  }
}

/** Counts the failure of a request by reason and verdict. */
export function countFailure(metrics: Metrics, { reason, verdict }: Failure): void {
  metrics.count('request.failed', { reason, verdict });
}

const serverRemoved = notRun('noServer', 'the server is no longer in the catalogue');
const serverAvoided = notRun('noServer', 'the permit is for a server that failed this request');
const permitExpired = notRun('permitExpired', 'the permit expired before it was used');

function noFurtherAttempt(reason: 'retriesExhausted' | 'retryBudget', last: Failure): Failure {
  return { ...last, reason, detail: `${last.detail}; no further attempt is made` };
}

const severity: Readonly<Record<Verdict, number>> = { notRun: 0, mayHaveRun: 1, ran: 2 };

function moreSevere(a: Verdict, b: Verdict): Verdict {
  return severity[a] >= severity[b] ? a : b;
}
