// Admission control for a single router. An inference engine runs requests in order of arrival, so a backlog there is
// served late and without fairness between teams. When requests arrive faster than servers can prefill them, they are
// queued here instead, each for the server predicted to serve it best, and the order is chosen anew whenever a server
// has room. A request that could not be served in time is refused on arrival.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { noLoad, sum, type Load, type LoadMap } from './loads.js';
import type { Placement } from './placement.js';
import type { WorkTimer } from './workTimer.js';

/** A request to be admitted. */
export interface Job {
  readonly service: string;
  /** Empty for requests without a team. */
  readonly team: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrived: Milliseconds;
  /** Time by which the first event of a stream, or the response, should arrive. */
  readonly aim: Milliseconds;
  /** Time at which the caller gives up if nothing has arrived. */
  readonly patience: Milliseconds;
  /** Time after which the response is useless. */
  readonly deadline: Milliseconds;
  /** Size in tokens, prompt and output together. 1 for requests to plain services. */
  readonly cost: number;
}

/** The outcome of a job. */
export type Admitted =
  | { readonly kind: 'server'; readonly id: string; readonly predicted: Milliseconds }
  | {
      readonly kind: 'refused';
      readonly reason: Refusal;
      readonly retryAfter: Milliseconds;
      /** The figures behind the refusal, if the request would have had to wait for a server for too long. */
      readonly basis?: OverloadBasis;
    };

/** The figures on which a refusal for overload is based. */
export interface OverloadBasis {
  /** The server for which the request would have waited. */
  readonly server: string;
  /** Predicted time to the first event. */
  readonly start: Milliseconds;
  /** Latest time to the first event at which the response would still be useful. */
  readonly limit: Milliseconds;
  /** Tokens of service that its team has recently received in the whole fleet. */
  readonly received: number;
}

/** Why a job is refused. */
export type Refusal = 'noServer' | 'overload' | 'deadline';

/** A snapshot of the servers. It reflects the jobs that are placed through it. */
export interface View {
  /** Chooses a server for the job; `ahead` is the load, by server, of queued requests that go before it. */
  place(job: Job, ahead: LoadMap): Placement;
  /** Tokens of service that the team has recently received in the whole fleet. */
  received(team: string): number;
}

/** Supplies the servers that jobs are placed on. */
export interface Capacity {
  view(): View;
}

/**
 * Shortest time between two passes over the queue. A pass over a hundred requests takes about a millisecond,
 * and it is triggered by each response and datagram, which come more often than this.
 */
const pumpInterval: Milliseconds = 10;
/** Retry delay sent to refused callers if there is no estimate. */
const defaultRetry: Milliseconds = 1_000;
const shortestRetry: Milliseconds = 300;
const longestRetry: Milliseconds = 4_000;
/**
 * Fraction of a request's time, from arrival to deadline, that the response takes after its first event. A
 * request with less left is refused.
 */
const answerPart = 1 / 3;
/** Covers forwarding the first event to the caller, and the error of its prediction. */
const patienceMargin: Milliseconds = 200;
/** Fraction of its latency target that a job waits for a server to become usable if none is. */
const noServerPatience = 0.5;
/** A first event that is predicted nearer to its target time than this is as likely late as not. */
const lateMargin: Milliseconds = 100;
/**
 * A team that has received less than this fraction of what the best-served team has got goes first, even if
 * its requests are late. Urgent teams keep the remaining head start over others. It is kept small, since
 * service from other routers is reported late and adds to it, and a team must not fall to half of what
 * another one gets.
 */
const underserved = 0.9;

interface Waiter {
  readonly job: Job;
  /** Placement found by the last pass; undefined before the first one, or if no server was usable. */
  found: Extract<Placement, { readonly kind: 'server' | 'wait' }> | undefined;
  readonly settle: (admitted: Admitted) => void;
}

/** The queue of requests of this router that wait for a server. */
export class Admission {
  #waiting: readonly Waiter[] = [];
  #ahead: LoadMap = new Map();
  #pumped: Milliseconds = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly work: WorkTimer,
    private readonly capacity: Capacity,
  ) {}

  /** `work` measures the time of searching servers. */
  static create(clock: Clock, work: WorkTimer, capacity: Capacity): Admission {
    return new Admission(clock, work, capacity);
  }

  /** Load of queued requests, by the server that they wait for. */
  waitingLoads(): LoadMap {
    return this.#ahead;
  }

  /** The team and the server of each queued request that waits for a certain server. */
  waitingTeams(): readonly (readonly [team: string, server: string])[] {
    return this.#waiting.flatMap(({ job, found }) =>
      found === undefined ? [] : [[job.team, found.id] as const],
    );
  }

  get length(): number {
    return this.#waiting.length;
  }

  /** Finds a server for the job, at once or when one has room. Refuses the job if `signal` aborts. */
  admit(job: Job, signal: AbortSignal): Promise<Admitted> {
    // A signal that is already aborted calls no listener.
    if (signal.aborted) return Promise.resolve(refusal('deadline', 0));
    return new Promise((resolve) => {
      const settle = (admitted: Admitted): void => {
        signal.removeEventListener('abort', leave);
        resolve(admitted);
      };
      const waiter: Waiter = { job, settle, found: undefined };
      const leave = (): void => {
        this.#settle(waiter, refusal('deadline', 0));
      };
      signal.addEventListener('abort', leave);
      this.#waiting = [...this.#waiting, waiter];
      this.work.run('arrivals', () => {
        this.#lookAtNew(waiter);
      });
    });
  }

  /**
   * Passes over the queue in order: assigns servers that have room, and refuses jobs that cannot be served in
   * time. Skipped if the last pass was less than `pumpInterval` ago; the router's periodic work calls it
   * again.
   */
  pump(): void {
    const now = this.clock.now();
    if (now - this.#pumped < pumpInterval) return;
    this.#pumped = now;
    const ahead = new Map<string, Load>();
    if (this.#waiting.length > 0) {
      this.work.run('queue', () => {
        const view = this.capacity.view();
        for (const waiter of this.#inOrder(view)) this.#look(waiter, view, ahead);
      });
    }
    this.#ahead = ahead;
  }

  /**
   * Places a new waiter without a pass over the queue; jobs that go before it count with the placement last
   * found.
   */
  #lookAtNew(waiter: Waiter): void {
    const view = this.capacity.view();
    const before = new Map<string, Load>();
    for (const other of this.#inOrder(view)) {
      if (other === waiter) break;
      if (other.found === undefined) continue;
      const { id, added } = other.found;
      before.set(id, sum(before.get(id) ?? noLoad, added));
    }
    this.#look(waiter, view, before);
    if (waiter.found?.kind !== 'wait') return;
    const { id, added } = waiter.found;
    this.#ahead = new Map(this.#ahead).set(id, sum(this.#ahead.get(id) ?? noLoad, added));
  }

  /** Tries to place one waiter; adds its load to `ahead` if it remains in the queue. */
  #look(waiter: Waiter, view: View, ahead: Map<string, Load>): void {
    const { job } = waiter;
    const now = this.clock.now();
    const placement = view.place(job, ahead);
    waiter.found = placement.kind === 'none' ? undefined : placement;
    switch (placement.kind) {
      case 'server':
        this.#settle(waiter, { ...placement, kind: 'server' });
        return;
      case 'wait':
        if (now + placement.predicted > startLimit(job)) {
          const basis: OverloadBasis = {
            server: placement.id,
            start: placement.predicted,
            limit: startLimit(job) - now,
            received: view.received(job.team),
          };
          this.#settle(waiter, { ...refusal('overload', placement.predicted), basis });
          return;
        }
        ahead.set(placement.id, sum(ahead.get(placement.id) ?? noLoad, placement.added));
        return;
      case 'none':
        if (now - job.arrived >= (job.aim - job.arrived) * noServerPatience)
          this.#settle(waiter, refusal('noServer', defaultRetry));
    }
  }

  /**
   * Order: underserved teams first, then priority, then jobs that can still meet their target, then teams
   * that received less.
   */
  #inOrder(view: View): readonly Waiter[] {
    if (this.#waiting.length < 2) return this.#waiting;
    const now = this.clock.now();
    const received = new Map<string, number>();
    for (const { job } of this.#waiting) {
      if (!received.has(job.team)) received.set(job.team, view.received(job.team));
    }
    const behind = underserved * Math.max(...received.values());
    const keys = this.#waiting.map((waiter) => {
      const { job } = waiter;
      const amount = received.get(job.team) ?? 0;
      return {
        waiter,
        amount,
        isBehind: amount < behind,
        isLate: now + lateMargin + (waiter.found?.alone ?? 0) > job.aim,
      };
    });
    keys.sort(
      (a, b) =>
        Number(b.isBehind) - Number(a.isBehind) ||
        a.waiter.job.priority - b.waiter.job.priority ||
        Number(a.isLate) - Number(b.isLate) ||
        a.amount - b.amount ||
        a.waiter.job.arrived - b.waiter.job.arrived,
    );
    return keys.map(({ waiter }) => waiter);
  }

  #settle(waiter: Waiter, admitted: Admitted): void {
    this.#waiting = this.#waiting.filter((other) => other !== waiter);
    waiter.settle(admitted);
  }
}

/** Latest time of the first event with which the response can still be complete by the deadline. */
function startLimit(job: Job): Milliseconds {
  return Math.min(
    job.deadline - answerPart * (job.deadline - job.arrived),
    job.patience - patienceMargin,
  );
}

function refusal(
  reason: Refusal,
  wait: Milliseconds,
): Extract<Admitted, { readonly kind: 'refused' }> {
  const retryAfter = Math.min(longestRetry, Math.max(shortestRetry, wait));
  return { kind: 'refused', reason, retryAfter };
}
