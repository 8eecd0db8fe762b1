// One attempt of a request at one server. A model's stream may take several connections, because it resumes
// at its offset after a connection was lost; any other response fails with its connection.

import type { Attempt, Call, ResponsePart } from '@catkinwheel/protocol';
import type {
  Clock,
  Cost,
  Failure,
  Milliseconds,
  Outcome,
  Reason,
  Service,
} from '@catkinwheel/state';
import { mayHaveRun } from '@catkinwheel/state';
import type { BufferedResponse } from './bufferedResponse.js';
import {
  streamSilenceTimeout,
  type ConnectionGuard,
  type AbortReason,
  type ConnectionWatchdog,
} from './connectionGuard.js';
import type { SilenceTimeouts } from './silenceTimeouts.js';
import type { Backend, Metrics, PermitHandle } from './ports.js';
import { ResponseReader, type ReadState } from './responseReader.js';
import type { StreamProgress } from './streamProgress.js';

/** Maximum consecutive resumptions of one stream that bring no token. */
const maxFruitlessResumptions = 3;

export interface AttemptPorts {
  readonly backend: Backend;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly watchdog: ConnectionWatchdog;
  readonly silenceTimeouts: SilenceTimeouts;
}

export interface AttemptPlan {
  readonly id: string;
  readonly call: Call;
  readonly service: Service;
  /** `host:port` of the server. */
  readonly address: string;
  readonly handle: PermitHandle;
  /** Clock time by which the attempt must have ended. */
  readonly deadline: Milliseconds;
  /** Silence timeout of the connection of a plain response; undefined for none. */
  readonly plainSilenceTimeout: Milliseconds | undefined;
  /** Reserves another server to take over from one that is silent; returns whether there is one. Never rejects. */
  readonly findReplacement: (signal: AbortSignal) => Promise<boolean>;
}

/** Runs one attempt and settles its permit. */
export class AttemptRun {
  readonly #ports: AttemptPorts;
  readonly #plan: AttemptPlan;
  readonly #progress: StreamProgress;
  readonly #sentAt: Milliseconds;
  #firstByte: Milliseconds | null = null;
  #response: BufferedResponse | undefined;
  #fruitlessResumptions = 0;

  private constructor(ports: AttemptPorts, plan: AttemptPlan, progress: StreamProgress) {
    this.#ports = ports;
    this.#plan = plan;
    this.#progress = progress;
    this.#sentAt = ports.clock.now();
  }

  static create(ports: AttemptPorts, plan: AttemptPlan, progress: StreamProgress): AttemptRun {
    return new AttemptRun(ports, plan, progress);
  }

  /** The response as far as it was received; undefined before its head was accepted. */
  get response(): BufferedResponse | undefined {
    return this.#response;
  }

  /**
   * Yields the parts for the caller, without the final `end`. Returns undefined once the response is
   * complete, else the failure. The permit is returned in both cases. Without `caller` the attempt runs to
   * its end.
   */
  async *run(
    caller: AbortSignal | undefined,
  ): AsyncGenerator<ResponsePart, Failure | undefined, void> {
    let failure: Failure | undefined = abandoned;
    try {
      let isResumed = false;
      for (;;) {
        failure = yield* this.#readConnection(caller, isResumed);
        if (failure === undefined || !this.#isResumable(failure, caller)) return failure;
        this.#ports.metrics.count('request.resumed', { reason: failure.reason });
        isResumed = true;
      }
    } finally {
      this.#finish(failure);
    }
  }

  async *#readConnection(
    caller: AbortSignal | undefined,
    isResumed: boolean,
  ): AsyncGenerator<ResponsePart, Failure | undefined, void> {
    this.#progress.nextConnection();
    const guard = this.#createGuard(caller);
    const parts = this.#open(isResumed, guard.signal);
    const reader = this.#createReader(isResumed);
    const offset = this.#progress.offset;
    try {
      while (reader.state === 'open') {
        guard.setAwaiting(true);
        const next = await parts.next();
        guard.setAwaiting(false);
        for (const part of reader.accept(next.done === true ? endedUnexpectedly : next.value))
          yield part;
        this.#updatePermit(reader);
      }
    } finally {
      guard.close();
      await parts.return();
    }
    const isFruitless = isResumed && this.#progress.offset === offset;
    this.#fruitlessResumptions = isFruitless ? this.#fruitlessResumptions + 1 : 0;
    return this.#failure(reader.state, guard, isResumed);
  }

  #createGuard(caller: AbortSignal | undefined): ConnectionGuard {
    const { handle, deadline, plainSilenceTimeout, findReplacement } = this.#plan;
    const silenceTimeout = this.#isModelStream ? streamSilenceTimeout : plainSilenceTimeout;
    return this.#ports.watchdog.guard({
      caller,
      revoked: handle.revoked,
      deadline,
      silenceTimeout,
      findReplacement: this.#isModelStream ? undefined : findReplacement,
    });
  }

  #open(isResumed: boolean, signal: AbortSignal): AsyncGenerator<ResponsePart, void, void> {
    const { id, address, call } = this.#plan;
    if (isResumed) {
      return this.#ports.backend.resume(address, id, this.#progress.offset, signal);
    }
    const attempt: Attempt = {
      id,
      request: this.#progress.continuation(call.request),
      body: this.#isModelStream ? 'events' : 'bytes',
    };
    return this.#ports.backend.send(address, attempt, signal);
  }

  #createReader(isResumed: boolean): ResponseReader {
    const { id, service } = this.#plan;
    return ResponseReader.create({ attempt: id, service, isResumed }, this.#progress);
  }

  #updatePermit(reader: ResponseReader): void {
    this.#response = reader.response ?? this.#response;
    if (!reader.hasBody) return;
    if (this.#firstByte === null) {
      this.#firstByte = this.#elapsed;
      this.#plan.handle.reportFirstByte(this.#firstByte);
    }
    this.#plan.handle.reportCost(this.#cost);
  }

  #failure(state: ReadState, guard: ConnectionGuard, isResumed: boolean): Failure | undefined {
    if (typeof state === 'string') return undefined;
    const failure = guard.reason === undefined ? state : abortFailure(guard.reason, state);
    // The request itself was sent on an earlier connection, even if nothing was sent on this one.
    return isResumed && failure.verdict === 'notRun'
      ? { ...failure, verdict: 'mayHaveRun' }
      : failure;
  }

  #finish(failure: Failure | undefined): void {
    const { handle, address, id, service } = this.#plan;
    if (failure === undefined && !this.#isModelStream) {
      this.#ports.silenceTimeouts.recordDuration(handle.permit.service, this.#elapsed);
    }
    const cost = failure?.verdict === 'notRun' ? 0 : this.#cost;
    handle.finish(outcomeOf(failure), this.#firstByte, cost);
    const mayStillRun = failure !== undefined && failure.verdict !== 'notRun';
    if (mayStillRun && service.kind === 'model') void this.#ports.backend.cancel(address, id);
  }

  #isResumable(failure: Failure, caller: AbortSignal | undefined): boolean {
    return (
      this.#isModelStream &&
      this.#progress.isResumable &&
      caller?.aborted !== true &&
      failure.verdict !== 'notRun' &&
      this.#fruitlessResumptions < maxFruitlessResumptions &&
      resumableReasons.has(failure.reason)
    );
  }

  get #isModelStream(): boolean {
    return this.#plan.call.stream && this.#plan.service.kind === 'model';
  }

  get #cost(): Cost {
    return this.#plan.service.kind === 'model' ? this.#progress.cost : this.#elapsed;
  }

  get #elapsed(): Milliseconds {
    return this.#ports.clock.now() - this.#sentAt;
  }
}

/** The consumer stopped reading the response before its end. */
const abandoned = mayHaveRun('callerGone', 'the answer was not read to its end');

/** Used for a connection whose parts ended without `end` or `failed`. */
const endedUnexpectedly: ResponsePart = {
  kind: 'failed',
  failure: mayHaveRun('internal', 'the answer ended without an end or a failure'),
};

/** Connection failures after which the server may still have the stream. */
const resumableReasons: ReadonlySet<Reason> = new Set([
  'connectionLost',
  'silentConnection',
  'truncatedAnswer',
]);

const abortDetails: Readonly<Record<AbortReason, string>> = {
  callerGone: 'the caller closed the connection',
  revoked: 'the permit was revoked: the server no longer has capacity for the request',
  silentConnection: 'the server sent nothing within the silence timeout',
  deadline: 'the request ran longer than its entry allows',
};

function abortFailure(reason: AbortReason, failure: Failure): Failure {
  return { verdict: failure.verdict, reason, detail: abortDetails[reason] };
}

/** Outcome of a permit by failure reason; every other reason means a broken connection. */
const outcomes: Readonly<Partial<Record<Reason, Outcome>>> = {
  callerGone: 'cancelled',
  revoked: 'cancelled',
  deadline: 'cancelled',
  connectFailed: 'refused',
  serverRefused: 'refused',
};

function outcomeOf(failure: Failure | undefined): Outcome {
  return failure === undefined ? 'used' : (outcomes[failure.reason] ?? 'broken');
}
