// The entrance to the data path: it looks up what a call needs and keeps what calls share.

import { createHash } from 'node:crypto';
import type { Call, ResponsePart, ServerRequest } from '@catkinwheel/protocol';
import type { Entry, Failure, Service } from '@catkinwheel/state';
import { notRun } from '@catkinwheel/state';
import type { Claims, RecordedAnswer } from './claims.js';
import { countFailure, Execution, type ExecutionPorts } from './execution.js';
import { ConnectionWatchdog } from './connectionGuard.js';
import { SilenceTimeouts } from './silenceTimeouts.js';
import { RetryBudget } from './retryBudget.js';

export interface ExecutorPorts extends Omit<ExecutionPorts, 'budget' | 'watch' | 'patience'> {
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
      watch: ConnectionWatchdog.create(clock),
      patience: SilenceTimeouts.create(),
    };
    this.#claims = claims;
  }

  static create(ports: ExecutorPorts): Executor {
    return new Executor(ports);
  }

  /**
   * Runs a call. The pieces end with exactly one `end` or `failed`. `caller` aborts when the caller
   * leaves; the generator still has to be read to its end then.
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
      return this.#claimed({ ...call, key }, entry, service, caller);
    }
    return Execution.create(this.#ports, call, { entry, service, claim: undefined }).run(caller);
  }

  async *#claimed(
    call: Call & { readonly key: string },
    entry: Entry,
    service: Service,
    caller: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void> {
    const claimed = await this.#claims.claim({
      entry: call.entry,
      key: call.key,
      request: call.id,
      hash: hashOf(call.request),
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

  async *#replay(answer: RecordedAnswer): AsyncGenerator<ResponsePart, void, void> {
    if (answer.body === null) {
      const detail = 'the request ran; its answer was too large to be recorded';
      yield* this.#refuse({ verdict: 'ran', reason: 'answerNotRecorded', detail });
      return;
    }
    this.#ports.metrics.count('request.replayed');
    const headers = { ...answer.headers, 'idempotency-replayed': 'true' };
    yield { kind: 'head', status: answer.status, headers, events: false };
    yield { kind: 'bytes', bytes: Buffer.from(answer.body, 'base64') };
    yield { kind: 'end' };
  }

  // eslint-disable-next-line @typescript-eslint/require-await -- the type is that of `run`
  async *#refuse(failure: Failure): AsyncGenerator<ResponsePart, void, void> {
    countFailure(this.#ports.metrics, failure);
    yield { kind: 'failed', failure };
  }
}

function hashOf(request: ServerRequest): string {
  return createHash('sha256')
    .update(`${request.method}\n${request.path}\n`)
    .update(request.body ?? '')
    .digest('hex');
}
