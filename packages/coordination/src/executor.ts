// Entry point of the data path: looks up the entry and service of a call, claims its idempotency key, and
// holds the state that calls share.

import { createHash } from 'node:crypto';
import type { Call, ResponsePart, ServerRequest } from '@catkinwheel/protocol';
import type { Entry, Failure, Service } from '@catkinwheel/state';
import { notRun } from '@catkinwheel/state';
import type { Claims, RecordedResponse } from './claims.js';
import { countFailure, Execution, type ExecutionPorts } from './execution.js';
import { ConnectionWatchdog } from './connectionGuard.js';
import { SilenceTimeouts } from './silenceTimeouts.js';
import { RetryBudget } from './retryBudget.js';

export interface ExecutorPorts extends Omit<
  ExecutionPorts,
  'budget' | 'watchdog' | 'silenceTimeouts'
> {
  readonly claims: Claims;
}

/** Runs the requests of a router. */
export class Executor {
  readonly #ports: ExecutionPorts;
  readonly #claims: Claims;

  private constructor(ports: ExecutorPorts) {
    const { claims, ...rest } = ports;
    const { clock } = ports;
    this.#ports = {
      ...rest,
      budget: RetryBudget.create(clock),
      watchdog: ConnectionWatchdog.create(clock),
      silenceTimeouts: SilenceTimeouts.create(),
    };
    this.#claims = claims;
  }

  static create(ports: ExecutorPorts): Executor {
    return new Executor(ports);
  }

  /**
   * Runs a call. The parts end with exactly one `end` or `failed`. `caller` aborts when the caller
   * disconnects; the generator must still be read to its end then.
   */
  run(call: Call, caller: AbortSignal): AsyncGenerator<ResponsePart, void, void> {
    const { entries, services } = this.#ports.catalogue.current();
    const entry = entries[call.entry];
    const service = entry === undefined ? undefined : services[entry.service];
    if (entry === undefined || service === undefined) {
      return this.#refuse(notRun('unknownEntry', 'there is no such entry'));
    }
    const { key } = call;
    if (!entry.idempotent && key !== null) {
      return this.#runClaimed({ ...call, key }, entry, service, caller);
    }
    return Execution.create(this.#ports, call, { entry, service, claim: undefined }).run(caller);
  }

  async *#runClaimed(
    call: Call & { readonly key: string },
    entry: Entry,
    service: Service,
    caller: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void> {
    const claimed = await this.#claims.claim({
      entry: call.entry,
      key: call.key,
      request: call.id,
      hash: hashRequest(call.request),
    });
    if (claimed.isErr()) {
      yield* this.#refuse(claimed.error);
    } else if (claimed.value.kind === 'recorded') {
      yield* this.#replay(claimed.value.answer);
    } else {
      const { claim } = claimed.value;
      yield* Execution.create(this.#ports, call, { entry, service, claim }).run(caller);
    }
  }

  async *#replay(recorded: RecordedResponse): AsyncGenerator<ResponsePart, void, void> {
    if (recorded.body === null) {
      const detail = 'the request ran; its answer was too large to be recorded';
      yield* this.#refuse({ verdict: 'ran', reason: 'answerNotRecorded', detail });
      return;
    }
    this.#ports.metrics.count('request.replayed');
    const headers = { ...recorded.headers, 'idempotency-replayed': 'true' };
    yield { kind: 'head', status: recorded.status, headers, events: false };
    yield { kind: 'bytes', bytes: Buffer.from(recorded.body, 'base64') };
    yield { kind: 'end' };
  }

  // eslint-disable-next-line @typescript-eslint/require-await -- the type is that of `run`
  async *#refuse(failure: Failure): AsyncGenerator<ResponsePart, void, void> {
    countFailure(this.#ports.metrics, failure);
    yield { kind: 'failed', failure };
  }
}

function hashRequest(request: ServerRequest): string {
  return createHash('sha256')
    .update(`${request.method}\n${request.path}\n`)
    .update(request.body ?? '')
    .digest('hex');
}
