// One request from its acceptance to its end, written straight down: a permit, an attempt at a server,
// and another one where that is safe.

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
import { isUnsent, moveReasons, repeatableReasons } from './repetition.js';
import type { RetryBudget } from './retryBudget.js';
import { StreamProgress } from './streamProgress.js';

/** Attempts of one request, the first included. */
const attemptLimit = 3;
/** Moves of one request that the fleet itself causes by its permits; they are not retries. */
const moveLimit = 8;
/** Longest wait before the first retry; doubles with each one. */
const firstBackoff: Milliseconds = 50;
/** Bound of that wait; the longest time that a free server stays unnoticed by a repeated request. */
const longestBackoff: Milliseconds = 500;

export interface ExecutionPorts {
  readonly catalogue: CatalogueView;
  readonly permits: PermitSource;
  readonly backend: Backend;
  readonly budget: RetryBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly watch: ConnectionWatchdog;
  readonly patience: SilenceTimeouts;
}

/** What an execution serves. */
export interface Target {
  readonly entry: Entry;
  readonly service: Service;
  /** The claim on the idempotency key, if the work needs one. */
  readonly claim: Claim | undefined;
}

/** Runs one request. The pieces that it yields end with `end` or `failed`. */
export class Execution {
  readonly #ports: ExecutionPorts;
  readonly #call: Call;
  readonly #target: Target;
  readonly #arrived: Milliseconds;
  readonly #transcript: StreamProgress;
  #avoid: readonly ServerName[] = [];
  #server: ServerName | undefined;
  /** The latest attempt. */
  #run: AttemptRun | undefined;
  #verdict: Verdict = 'notRun';
  /** The last piece of a claimed answer, handed over once the answer is recorded. */
  #last: ResponsePart | undefined;
  #attempts = 0;
  #moves = 0;
  /** Whether admission refused a permit, which ends the request. */
  #isRefused = false;

  private constructor(ports: ExecutionPorts, call: Call, target: Target) {
    this.#ports = ports;
    this.#call = call;
    this.#target = target;
    this.#arrived = ports.clock.now();
    const size = call.request.body?.byteLength ?? 0;
    this.#transcript = StreamProgress.create(size, call.stream && target.entry.idempotent);
  }

  static create(ports: ExecutionPorts, call: Call, target: Target): Execution {
    return new Execution(ports, call, target);
  }

  /**
   * Runs the request to its end. `caller` aborts when the caller leaves; the work of the server is then
   * cancelled, and the generator still has to be read to its end.
   */
  async *run(caller: AbortSignal): AsyncGenerator<ResponsePart, void, void> {
    const { claim, entry } = this.#target;
    this.#ports.budget.deposit(entry.service);
    try {
      for (;;) {
        const started = await this.#start(caller);
        let failure: Failure | undefined;
        if (started.isErr()) failure = started.error;
        else if (claim === undefined) failure = yield* started.value.run(caller);
        // Claimed work goes on without its caller, who can ask for the recorded answer later.
        else failure = yield* this.#allButLast(started.value.run(undefined));
        const end = await this.#endAfter(failure, caller);
        if (end === undefined) continue;
        if (end.kind === 'end' && this.#last !== undefined) yield this.#last;
        yield end;
        return;
      }
    } finally {
      // Only if the reader left: a claim that has ended ignores this.
      await claim?.settle('mayHaveRun');
    }
  }

  /**
   * Keeps the last piece back in `#last`. A caller that has the whole answer may ask again at once, so
   * the answer has to be recorded before its last byte is handed over.
   */
  async *#allButLast(
    pieces: AsyncGenerator<ResponsePart, Failure | undefined, void>,
  ): AsyncGenerator<ResponsePart, Failure | undefined, void> {
    this.#last = undefined;
    try {
      for (;;) {
        const next = await pieces.next();
        if (next.done === true) return next.value;
        if (this.#last !== undefined) yield this.#last;
        this.#last = next.value;
      }
    } finally {
      await pieces.return(undefined);
    }
  }

  /** The last piece, once claim and counters are settled; undefined if another attempt is due. */
  async #endAfter(
    failure: Failure | undefined,
    caller: AbortSignal,
  ): Promise<ResponsePart | undefined> {
    const { claim } = this.#target;
    if (failure === undefined) {
      if (this.#run?.answer !== undefined) await claim?.done(this.#run.answer);
      this.#ports.metrics.count('request.answered');
      return { kind: 'end' };
    }
    const final = this.#finalFailure(failure, caller);
    if (final === undefined) {
      await this.#backOff(caller);
      return undefined;
    }
    await claim?.settle(final.verdict);
    countFailure(this.#ports.metrics, final);
    return { kind: 'failed', failure: final };
  }

  /** Waits for a permit and takes the last steps before sending. */
  async #start(caller: AbortSignal): Promise<Result<AttemptRun, Failure>> {
    const acquired = await this.#ports.permits.acquire(this.#work(), caller);
    if (acquired.isErr()) {
      this.#isRefused = true;
      return err(acquired.error);
    }
    const ticket = acquired.value;
    const server = this.#ports.catalogue.current().servers[ticket.permit.server];
    if (this.#isDeclined(ticket.permit.server)) {
      ticket.finish('unused', null, 0);
      return err(serverAvoided);
    }
    const refused = server === undefined ? serverLeft : await this.#begin(ticket);
    if (refused === undefined && server !== undefined) return ok(this.#attempt(ticket, server));
    ticket.finish('unused', null, 0);
    return err(refused ?? serverLeft);
  }

  /**
   * A server that refuses connections has free permits all the time, so that a request could spend all
   * its attempts on it while the others are busy. After some time any server is better than none.
   */
  #isDeclined(server: ServerName): boolean {
    if (!this.#avoid.includes(server) || this.#moves >= moveLimit) return false;
    const catalogue = this.#ports.catalogue.current();
    return serversOf(catalogue, this.#target.entry.service).some((name) => {
      const other = catalogue.servers[name];
      return other !== undefined && !this.#avoid.includes(name) && !isDrained(catalogue, other);
    });
  }

  /** The permit comes last, since it is checked without a wait. */
  async #begin(ticket: PermitHandle): Promise<Failure | undefined> {
    const claimed = await this.#target.claim?.sending();
    if (claimed?.isErr() === true) return claimed.error;
    return ticket.markSent() ? undefined : permitExpired;
  }

  #attempt(ticket: PermitHandle, server: Server): AttemptRun {
    const { entry, service } = this.#target;
    this.#attempts += 1;
    const isEarly = entry.idempotent && this.#attempts === 1;
    this.#server = ticket.permit.server;
    this.#transcript.nextAttempt();
    const plan = {
      id: `${this.#call.id}.${this.#attempts}`,
      call: this.#call,
      service,
      address: server.address,
      ticket,
      deadline: this.#ports.clock.now() + entry.maxRun,
      // Only once: work that is really long must get its time in the end.
      patience: isEarly ? this.#ports.patience.timeout(entry.service) : undefined,
    };
    const run = AttemptRun.create(this.#ports, plan, this.#transcript);
    this.#run = run;
    return run;
  }

  /** The failure to report, or undefined if another attempt may be made. */
  #finalFailure(failure: Failure, caller: AbortSignal): Failure | undefined {
    this.#verdict = worse(this.#verdict, failure.verdict);
    const refusal = caller.aborted ? failure : this.#refusalToRepeat(failure);
    if (refusal !== undefined) return { ...refusal, verdict: this.#verdict };
    const server = this.#server;
    if (server !== undefined && !this.#avoid.includes(server)) {
      this.#avoid = [...this.#avoid, server];
    }
    this.#ports.metrics.count('request.retried', { reason: failure.reason });
    return undefined;
  }

  #refusalToRepeat(failure: Failure): Failure | undefined {
    if (this.#isRefused || !this.#isRepeatable(failure)) return failure;
    if (moveReasons.has(failure.reason)) {
      this.#moves += 1;
      return this.#moves > moveLimit ? exhausted('retriesExhausted', failure) : undefined;
    }
    if (this.#attempts >= attemptLimit) return exhausted('retriesExhausted', failure);
    // The budget spares servers from repeated work; a connection that was refused gave them none.
    const isAllowed = isUnsent(failure) || this.#ports.budget.withdraw(this.#target.entry.service);
    return isAllowed ? undefined : exhausted('retryBudget', failure);
  }

  #isRepeatable(failure: Failure): boolean {
    if (isUnsent(failure)) return true;
    return repeatableReasons.has(failure.reason) && this.#isSafeToRepeat;
  }

  /** Whether the work may run again and what was handed on can be continued. */
  get #isSafeToRepeat(): boolean {
    return this.#target.entry.idempotent && this.#transcript.isResumable;
  }

  #work(): PermitRequest {
    const { entry } = this.#target;
    return {
      entry: this.#call.entry,
      team: entry.team,
      service: entry.service,
      class: entry.class,
      bytes: this.#call.request.body?.byteLength ?? 0,
      hint: this.#call.hint,
      arrived: this.#waitingSince(),
      avoidedServers: this.#avoid,
    };
  }

  /**
   * The original arrival, so that a repeated request does not queue anew. A stream that ran for long has
   * used up its time to wait by running, so half of it is left for the move to another server.
   */
  #waitingSince(): Milliseconds {
    const latest = this.#ports.clock.now() - this.#target.entry.maxWait / 2;
    return this.#attempts === 0 ? this.#arrived : Math.max(this.#arrived, latest);
  }

  async #backOff(caller: AbortSignal): Promise<void> {
    const doublings = Math.max(0, this.#attempts + this.#moves - 1);
    const longest = Math.min(longestBackoff, firstBackoff * 2 ** doublings);
    await this.#ports.clock.sleep(longest * this.#ports.random(), caller);
  }
}

/** Counts the failure of a request by reason and verdict. */
export function countFailure(metrics: Metrics, { reason, verdict }: Failure): void {
  metrics.count('request.failed', { reason, verdict });
}

const serverLeft = notRun('noServer', 'the server has left the catalogue');
const serverAvoided = notRun('noServer', 'the permit is for a server that failed this request');
const permitExpired = notRun('permitExpired', 'the permit expired before it was used');

function exhausted(reason: 'retriesExhausted' | 'retryBudget', last: Failure): Failure {
  return { ...last, reason, detail: `${last.detail}; no further attempt is made` };
}

const severity: Readonly<Record<Verdict, number>> = { notRun: 0, mayHaveRun: 1, ran: 2 };

function worse(a: Verdict, b: Verdict): Verdict {
  return severity[a] >= severity[b] ? a : b;
}
