// Enforces the limits on queued requests, their maximum wait and the caller's abort in the same way for
// every permit source.

import {
  notRun,
  type Failure,
  type Milliseconds,
  type Reason,
  type Team,
  type TeamName,
} from '@catkinwheel/state';
import type { Clock } from '@catkinwheel/state';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { DeadlineBuckets } from './deadlineBuckets.js';
import { assertInvariant } from './invariant.js';
import type { CatalogueView, Metrics, PermitHandle, PermitRequest } from './ports.js';
import type { Waiter } from './teamQueue.js';

/** Limits of one router over all teams. */
export interface RouterLimits {
  /** Maximum bytes of the bodies of all queued requests. */
  readonly waitingBytes: number;
}

/** A queue of accepted requests. */
export interface RequestQueue {
  insert(waiter: Waiter): void;
  /** Removes a request that was refused while queued. */
  remove(waiter: Waiter): void;
}

/** Queued requests of a team over all services of this router. */
export interface Usage {
  readonly waiting: number;
  readonly bytes: number;
}

const noUsage: Usage = { waiting: 0, bytes: 0 };

/** Time after which a refused caller should retry. */
const retryAfter: Milliseconds = 1_000;

interface IntakeOptions {
  readonly clock: Clock;
  readonly catalogue: CatalogueView;
  readonly metrics: Metrics;
  readonly limits: RouterLimits;
}

/** Queues requests within the limits, and completes or refuses them. */
export class Intake {
  readonly #options: IntakeOptions;
  readonly #usage = new Map<TeamName, Usage>();
  readonly #deadlines: DeadlineBuckets;
  readonly #cleanups = new Map<Waiter, () => void>();
  #bytes = 0;

  private constructor(options: IntakeOptions) {
    this.#options = options;
    this.#deadlines = DeadlineBuckets.create(options.clock.now());
  }

  static create(options: IntakeOptions): Intake {
    return new Intake(options);
  }

  /** Queues the request in `queue`. Fails with verdict `notRun` on a limit, the entry's maxWait or `signal`. */
  enqueue(
    request: PermitRequest,
    signal: AbortSignal,
    queue: RequestQueue,
  ): ResultAsync<PermitHandle, Failure> {
    const refusal = this.#refusal(request, signal);
    if (refusal !== undefined) return new ResultAsync(Promise.resolve(err(this.#count(refusal))));
    return new ResultAsync(
      new Promise<Result<PermitHandle, Failure>>((resolve) => {
        const waiter: Waiter = {
          request,
          deadline: this.#deadline(request),
          settle: resolve,
          previous: undefined,
          next: undefined,
          isQueued: false,
        };
        const onAbort = (): void => {
          this.#refuse(
            waiter,
            queue,
            notRun('callerGone', 'the request was cancelled while waiting'),
          );
        };
        signal.addEventListener('abort', onAbort, { once: true });
        this.#cleanups.set(waiter, () => {
          signal.removeEventListener('abort', onAbort);
        });
        this.#deadlines.add(waiter, () => {
          const detail = `no permit within the maxWait of entry ${request.entry}`;
          this.#refuse(waiter, queue, notRun('deadline', detail, retryAfter));
        });
        this.#updateUsage(request, 1);
        queue.insert(waiter);
      }),
    );
  }

  /** Gives a permit to a request that was removed from its queue. */
  complete(waiter: Waiter, handle: PermitHandle): void {
    this.#cleanUp(waiter);
    const waited = this.#options.clock.now() - waiter.request.arrived;
    this.#options.metrics.timing('admission.wait', waited, { class: waiter.request.class });
    waiter.settle(ok(handle));
  }

  /** Refuses the requests whose deadline has passed. */
  expire(now: Milliseconds): void {
    this.#deadlines.expire(now);
  }

  usage(team: TeamName): Usage {
    return this.#usage.get(team) ?? noUsage;
  }

  /** Bytes of all queued requests. */
  get bytes(): number {
    return this.#bytes;
  }

  #deadline(request: PermitRequest): Milliseconds {
    const entry = this.#options.catalogue.current().entries[request.entry];
    return request.arrived + (entry?.maxWait ?? 0);
  }

  #refusal(request: PermitRequest, signal: AbortSignal): Failure | undefined {
    const catalogue = this.#options.catalogue.current();
    const team = catalogue.teams[request.team];
    if (catalogue.entries[request.entry] === undefined || team === undefined) {
      return notRun(
        'unknownEntry',
        `entry ${request.entry} of team ${request.team} is not in the catalogue`,
      );
    }
    if (signal.aborted)
      return notRun('callerGone', 'the request was cancelled before it was queued');
    if (this.#deadline(request) <= this.#options.clock.now()) {
      return notRun('deadline', `the maxWait of entry ${request.entry} has passed`, retryAfter);
    }
    return this.#overLimit(request, team);
  }

  #overLimit(request: PermitRequest, team: Team): Failure | undefined {
    const { waiting, bytes } = this.usage(request.team);
    const { limits } = team;
    const refuse = (reason: Reason, limit: string): Failure =>
      notRun(reason, `limit ${limit} is reached`, retryAfter);
    if (waiting + 1 > limits.waiting) {
      return refuse('queueLimit', `waiting of team ${request.team} (${limits.waiting} requests)`);
    }
    if (bytes + request.bytes > limits.waitingBytes) {
      return refuse(
        'queueBytesLimit',
        `waitingBytes of team ${request.team} (${limits.waitingBytes} B)`,
      );
    }
    const total = this.#options.limits.waitingBytes;
    if (this.#bytes + request.bytes > total) {
      return refuse('routerMemoryLimit', `waitingBytes of this router (${total} B)`);
    }
    return undefined;
  }

  #refuse(waiter: Waiter, queue: RequestQueue, failure: Failure): void {
    if (!this.#cleanups.has(waiter)) return;
    queue.remove(waiter);
    this.#cleanUp(waiter);
    waiter.settle(err(this.#count(failure)));
  }

  #cleanUp(waiter: Waiter): void {
    this.#cleanups.get(waiter)?.();
    this.#cleanups.delete(waiter);
    this.#deadlines.remove(waiter);
    this.#updateUsage(waiter.request, -1);
  }

  #updateUsage(request: PermitRequest, sign: 1 | -1): void {
    const { waiting, bytes } = this.usage(request.team);
    const usage = { waiting: waiting + sign, bytes: bytes + sign * request.bytes };
    if (usage.waiting === 0) this.#usage.delete(request.team);
    else this.#usage.set(request.team, usage);
    this.#bytes += sign * request.bytes;
    const { metrics } = this.#options;
    assertInvariant(metrics, usage.waiting >= 0 && this.#bytes >= 0, 'negative queue usage');
  }

  #count(failure: Failure): Failure {
    this.#options.metrics.count('admission.refused', { reason: failure.reason });
    return failure;
  }
}
