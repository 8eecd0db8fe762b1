// One attempt of a request at one server. A model's stream may take several connections, because it
// resumes where it was cut; everything else lives and dies with its connection.

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

/** New connections for one stream without a token between them. */
const resumeLimit = 3;

export interface AttemptPorts {
  readonly backend: Backend;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly watch: ConnectionWatchdog;
  readonly patience: SilenceTimeouts;
}

export interface AttemptPlan {
  readonly id: string;
  readonly call: Call;
  readonly service: Service;
  /** `host:port` of the server. */
  readonly address: string;
  readonly ticket: PermitHandle;
  /** Time on the clock at which the attempt must have ended. */
  readonly deadline: Milliseconds;
  /** Time without a byte of a plain answer after which its connection is suspected, if it ever is. */
  readonly patience: Milliseconds | undefined;
}

/** Runs one attempt and settles its permit. */
export class AttemptRun {
  readonly #ports: AttemptPorts;
  readonly #plan: AttemptPlan;
  readonly #transcript: StreamProgress;
  readonly #sent: Milliseconds;
  #firstByte: Milliseconds | null = null;
  #answer: BufferedResponse | undefined;
  #fruitless = 0;

  private constructor(ports: AttemptPorts, plan: AttemptPlan, transcript: StreamProgress) {
    this.#ports = ports;
    this.#plan = plan;
    this.#transcript = transcript;
    this.#sent = ports.clock.now();
  }

  static create(ports: AttemptPorts, plan: AttemptPlan, transcript: StreamProgress): AttemptRun {
    return new AttemptRun(ports, plan, transcript);
  }

  /** The answer as far as it was received; undefined before its head was accepted. */
  get answer(): BufferedResponse | undefined {
    return this.#answer;
  }

  /**
   * Yields what the caller is to receive, without the final `end`. Returns undefined once the answer is
   * whole, else why it is not. The permit is returned in both cases. Without `caller` it runs to its end.
   */
  async *run(
    caller: AbortSignal | undefined,
  ): AsyncGenerator<ResponsePart, Failure | undefined, void> {
    let failure: Failure | undefined = abandoned;
    try {
      let isResumed = false;
      for (;;) {
        failure = yield* this.#connection(caller, isResumed);
        if (failure === undefined || !this.#isResumable(failure, caller)) return failure;
        this.#ports.metrics.count('request.resumed', { reason: failure.reason });
        isResumed = true;
      }
    } finally {
      this.#settle(failure);
    }
  }

  async *#connection(
    caller: AbortSignal | undefined,
    isResumed: boolean,
  ): AsyncGenerator<ResponsePart, Failure | undefined, void> {
    this.#transcript.nextConnection();
    const guard = this.#guard(caller);
    const pieces = this.#open(isResumed, guard.signal);
    const reading = this.#reading(isResumed);
    const offset = this.#transcript.offset;
    try {
      while (reading.state === 'open') {
        guard.setAwaiting(true);
        const next = await pieces.next();
        guard.setAwaiting(false);
        for (const piece of reading.accept(next.done === true ? stopped : next.value)) yield piece;
        this.#note(reading);
      }
    } finally {
      guard.close();
      await pieces.return();
    }
    const isFruitless = isResumed && this.#transcript.offset === offset;
    this.#fruitless = isFruitless ? this.#fruitless + 1 : 0;
    return this.#failure(reading.state, guard, isResumed);
  }

  #guard(caller: AbortSignal | undefined): ConnectionGuard {
    const { ticket, deadline, patience } = this.#plan;
    const silence = this.#isModelStream ? streamSilenceTimeout : patience;
    return this.#ports.watch.guard({
      caller,
      revoked: ticket.revoked,
      deadline,
      silenceTimeout: silence,
    });
  }

  #open(isResumed: boolean, signal: AbortSignal): AsyncGenerator<ResponsePart, void, void> {
    const { id, address, call } = this.#plan;
    if (isResumed) {
      return this.#ports.backend.resume(address, id, this.#transcript.offset, signal);
    }
    const attempt: Attempt = {
      id,
      request: this.#transcript.continuation(call.request),
      body: this.#isModelStream ? 'events' : 'bytes',
    };
    return this.#ports.backend.send(address, attempt, signal);
  }

  #reading(isResumed: boolean): ResponseReader {
    const { id, service } = this.#plan;
    return ResponseReader.create({ attempt: id, service, isResumed }, this.#transcript);
  }

  #note(reading: ResponseReader): void {
    this.#answer = reading.answer ?? this.#answer;
    if (!reading.hasBody) return;
    if (this.#firstByte === null) {
      this.#firstByte = this.#elapsed;
      this.#plan.ticket.reportFirstByte(this.#firstByte);
    }
    this.#plan.ticket.reportCost(this.#cost);
  }

  #failure(standing: ReadState, guard: ConnectionGuard, isResumed: boolean): Failure | undefined {
    if (typeof standing === 'string') return undefined;
    const failure = guard.reason === undefined ? standing : stoppedBy(guard.reason, standing);
    // The request itself was sent before, whatever became of the new connection.
    return isResumed && failure.verdict === 'notRun'
      ? { ...failure, verdict: 'mayHaveRun' }
      : failure;
  }

  #settle(failure: Failure | undefined): void {
    const { ticket, address, id, service } = this.#plan;
    if (failure === undefined && !this.#isModelStream) {
      this.#ports.patience.recordDuration(ticket.permit.service, this.#elapsed);
    }
    const cost = failure?.verdict === 'notRun' ? 0 : this.#cost;
    ticket.finish(outcomeOf(failure), this.#firstByte, cost);
    const mayStillRun = failure !== undefined && failure.verdict !== 'notRun';
    if (mayStillRun && service.kind === 'model') void this.#ports.backend.cancel(address, id);
  }

  #isResumable(failure: Failure, caller: AbortSignal | undefined): boolean {
    return (
      this.#isModelStream &&
      this.#transcript.isResumable &&
      caller?.aborted !== true &&
      failure.verdict !== 'notRun' &&
      this.#fruitless < resumeLimit &&
      cutReasons.has(failure.reason)
    );
  }

  get #isModelStream(): boolean {
    return this.#plan.call.stream && this.#plan.service.kind === 'model';
  }

  get #cost(): Cost {
    return this.#plan.service.kind === 'model' ? this.#transcript.cost : this.#elapsed;
  }

  get #elapsed(): Milliseconds {
    return this.#ports.clock.now() - this.#sent;
  }
}

/** The reader of the answer left without reading it to its end. */
const abandoned = mayHaveRun('callerGone', 'the answer was not read to its end');

/** A connection whose pieces ended without saying why. */
const stopped: ResponsePart = {
  kind: 'failed',
  failure: mayHaveRun('internal', 'the answer stopped without an end'),
};

/** Failures of a connection behind which the server may still hold the stream. */
const cutReasons: ReadonlySet<Reason> = new Set([
  'connectionLost',
  'silentConnection',
  'truncatedAnswer',
]);

const stopDetails: Readonly<Record<AbortReason, string>> = {
  callerGone: 'the caller closed the connection',
  revoked: 'the server has no room for the request any more',
  silentConnection: 'the connection to the server fell silent',
  deadline: 'the request ran longer than its entry allows',
};

function stoppedBy(reason: AbortReason, failure: Failure): Failure {
  return { verdict: failure.verdict, reason, detail: stopDetails[reason] };
}

/** Outcomes of a permit by the reason of the failure; every other reason means a broken connection. */
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
