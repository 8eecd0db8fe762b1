// A request passes here before it waits: limits, the longest wait and the caller's abort apply to
// every kind of permit source alike.

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
import type { Waiter } from './queue.js';

/** Limits of one router over all teams. */
export interface RouterLimits {
  /** Bytes of the bodies of all waiting requests. */
  readonly waitingBytes: number;
}

/** Where accepted requests wait. */
export interface Line {
  insert(waiter: Waiter): void;
  /** Takes out a request that was refused while it waited. */
  remove(waiter: Waiter): void;
}

/** Waiting requests of a team over all services of this router. */
export interface Usage {
  readonly waiting: number;
  readonly bytes: number;
}

const noUsage: Usage = { waiting: 0, bytes: 0 };

/** Time after which a refused caller should try again. */
const retryAfter: Milliseconds = 1_000;

interface IntakeOptions {
  readonly clock: Clock;
  readonly catalogue: CatalogueView;
  readonly metrics: Metrics;
  readonly limits: RouterLimits;
}

/** Accepts requests within the limits and ends their wait. */
export class Intake {
  readonly #options: IntakeOptions;
  readonly #usage = new Map<TeamName, Usage>();
  readonly #deadlines: DeadlineBuckets;
  readonly #leave = new Map<Waiter, () => void>();
  #bytes = 0;

  private constructor(options: IntakeOptions) {
    this.#options = options;
    this.#deadlines = DeadlineBuckets.create(options.clock.now());
  }

  static create(options: IntakeOptions): Intake {
    return new Intake(options);
  }

  /** Puts the request into `line`. Fails with verdict `notRun` on a limit, the entry's maxWait or `signal`. */
  enter(work: PermitRequest, signal: AbortSignal, line: Line): ResultAsync<PermitHandle, Failure> {
    const refusal = this.#refusal(work, signal);
    if (refusal !== undefined) return new ResultAsync(Promise.resolve(err(this.#count(refusal))));
    return new ResultAsync(
      new Promise<Result<PermitHandle, Failure>>((resolve) => {
        const waiter: Waiter = {
          work,
          deadline: this.#deadline(work),
          settle: resolve,
          previous: undefined,
          next: undefined,
          queued: false,
        };
        const abort = (): void => {
          this.#refuse(
            waiter,
            line,
            notRun('callerGone', 'the request was cancelled while waiting'),
          );
        };
        signal.addEventListener('abort', abort, { once: true });
        this.#leave.set(waiter, () => {
          signal.removeEventListener('abort', abort);
        });
        this.#deadlines.add(waiter, () => {
          const detail = `no permit within the maxWait of entry ${work.entry}`;
          this.#refuse(waiter, line, notRun('deadline', detail, retryAfter));
        });
        this.#use(work, 1);
        line.insert(waiter);
      }),
    );
  }

  /** Ends the wait of a request, already taken from its line, with a permit. */
  serve(waiter: Waiter, ticket: PermitHandle): void {
    this.#left(waiter);
    const waited = this.#options.clock.now() - waiter.work.arrived;
    this.#options.metrics.timing('admission.wait', waited, { class: waiter.work.class });
    waiter.settle(ok(ticket));
  }

  /** Refuses the requests whose deadline has passed. */
  expire(now: Milliseconds): void {
    this.#deadlines.expire(now);
  }

  usage(team: TeamName): Usage {
    return this.#usage.get(team) ?? noUsage;
  }

  /** Bytes of all waiting requests. */
  get bytes(): number {
    return this.#bytes;
  }

  #deadline(work: PermitRequest): Milliseconds {
    const entry = this.#options.catalogue.current().entries[work.entry];
    return work.arrived + (entry?.maxWait ?? 0);
  }

  #refusal(work: PermitRequest, signal: AbortSignal): Failure | undefined {
    const catalogue = this.#options.catalogue.current();
    const team = catalogue.teams[work.team];
    if (catalogue.entries[work.entry] === undefined || team === undefined) {
      return notRun(
        'unknownEntry',
        `entry ${work.entry} of team ${work.team} is not in the catalogue`,
      );
    }
    if (signal.aborted) return notRun('callerGone', 'the request was cancelled before it waited');
    if (this.#deadline(work) <= this.#options.clock.now()) {
      return notRun('deadline', `the maxWait of entry ${work.entry} has passed`, retryAfter);
    }
    return this.#overLimit(work, team);
  }

  #overLimit(work: PermitRequest, team: Team): Failure | undefined {
    const { waiting, bytes } = this.usage(work.team);
    const { limits } = team;
    const refuse = (reason: Reason, limit: string): Failure =>
      notRun(reason, `limit ${limit} is reached`, retryAfter);
    if (waiting + 1 > limits.waiting) {
      return refuse('queueLimit', `waiting of team ${work.team} (${limits.waiting} requests)`);
    }
    if (bytes + work.bytes > limits.waitingBytes) {
      return refuse(
        'queueBytesLimit',
        `waitingBytes of team ${work.team} (${limits.waitingBytes} B)`,
      );
    }
    const total = this.#options.limits.waitingBytes;
    if (this.#bytes + work.bytes > total) {
      return refuse('routerMemoryLimit', `waitingBytes of this router (${total} B)`);
    }
    return undefined;
  }

  #refuse(waiter: Waiter, line: Line, failure: Failure): void {
    if (!this.#leave.has(waiter)) return;
    line.remove(waiter);
    this.#left(waiter);
    waiter.settle(err(this.#count(failure)));
  }

  #left(waiter: Waiter): void {
    this.#leave.get(waiter)?.();
    this.#leave.delete(waiter);
    this.#deadlines.remove(waiter);
    this.#use(waiter.work, -1);
  }

  #use(work: PermitRequest, sign: 1 | -1): void {
    const { waiting, bytes } = this.usage(work.team);
    const usage = { waiting: waiting + sign, bytes: bytes + sign * work.bytes };
    if (usage.waiting === 0) this.#usage.delete(work.team);
    else this.#usage.set(work.team, usage);
    this.#bytes += sign * work.bytes;
    const { metrics } = this.#options;
    assertInvariant(metrics, usage.waiting >= 0 && this.#bytes >= 0, 'negative queue usage');
  }

  #count(failure: Failure): Failure {
    this.#options.metrics.count('admission.refused', { reason: failure.reason });
    return failure;
  }
}
