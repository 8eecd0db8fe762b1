// Load pattern: requests come faster than servers can read them. An engine admits in order of arrival, so
// what waits there is served late and out of fair order. Requests wait here instead, each for the server
// that would serve it best, where the next one can be chosen; those that could not be served in time are
// refused when they arrive.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { noLoad, sum, type Load, type LoadMap } from './loads.js';
import type { Placement } from './placement.js';
import type { WorkTimer } from './workTimer.js';

/** A request that wants a server. */
export interface Job {
  readonly service: string;
  /** Empty for requests without a team. */
  readonly team: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrived: Milliseconds;
  /** Time by which the first event, or the answer, is hoped for. */
  readonly aim: Milliseconds;
  /** Time by which its caller gives up if nothing has come. */
  readonly patience: Milliseconds;
  /** Time after which the answer is of no use. */
  readonly deadline: Milliseconds;
  /** Size in tokens, read and generated ones alike. 1 for plain requests. */
  readonly cost: number;
}

/** What becomes of a job. */
export type Admitted =
  | { readonly kind: 'server'; readonly id: string; readonly predicted: Milliseconds }
  | {
      readonly kind: 'refused';
      readonly reason: Refusal;
      readonly retryAfter: Milliseconds;
      /** What decided, if a server was found for which it would have had to wait. */
      readonly basis?: OverloadBasis;
    };

/** What a refusal for overload was decided by. */
export interface OverloadBasis {
  /** The server for which the request waited. */
  readonly server: string;
  /** Time until the predicted first event. */
  readonly start: Milliseconds;
  /** Time until the latest first event that would have been of use. */
  readonly limit: Milliseconds;
  /** Tokens that its team has received lately in the whole fleet. */
  readonly received: number;
}

/** Why a job is refused. */
export type Refusal = 'noServer' | 'overload' | 'deadline';

/** The servers as of one moment. What is placed through a view is seen by it. */
export interface View {
  /** A server for the job; `ahead` is what waits for servers and goes before it. */
  place(job: Job, ahead: LoadMap): Placement;
  /** Tokens that the team has received lately in the whole fleet. */
  received(team: string): number;
}

/** What admission needs from the rest of the router. */
export interface Capacity {
  view(): View;
}

/**
 * Shortest time between two looks at all that waits. A queue of a hundred takes about a millisecond to look
 * through, and answers and datagrams come more often than this.
 */
const pumpInterval: Milliseconds = 10;
/** Time in which a refused caller should come back if there is no estimate. */
const defaultRetry: Milliseconds = 1_000;
const shortestRetry: Milliseconds = 300;
const longestRetry: Milliseconds = 4_000;
/** Part of its time that a request needs for its answer once it starts; it is refused if less is left. */
const answerPart = 1 / 3;
/** Time between a first event here and at its caller, and error of its prediction. */
const patienceMargin: Milliseconds = 200;
/** Part of its aim that a job without any usable server waits for one to return. */
const noServerPatience = 0.5;
/** A first event that is predicted nearer to its aim than this is as likely late as not. */
const lateMargin: Milliseconds = 100;
/**
 * A team that has received less than this part of what another one got goes first, also when late. Urgent
 * teams keep this head start over others; what other routers gave is known late and adds to it, and a
 * team must not fall to half of what another one gets.
 */
const underserved = 0.9;

interface Waiter {
  readonly job: Job;
  /** What the last look found; undefined before the first one, or if no server was usable. */
  found: Extract<Placement, { readonly kind: 'server' | 'wait' }> | undefined;
  readonly settle: (admitted: Admitted) => void;
}

/** The requests of this router that wait for a server. */
export class Admission {
  #waiting: readonly Waiter[] = [];
  #ahead: LoadMap = new Map();
  #pumped: Milliseconds = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly work: WorkTimer,
    private readonly capacity: Capacity,
  ) {}

  /** `work` counts the time of looking for servers. */
  static create(clock: Clock, work: WorkTimer, capacity: Capacity): Admission {
    return new Admission(clock, work, capacity);
  }

  /** What waits for each server. */
  waitingLoads(): LoadMap {
    return this.#ahead;
  }

  /** Teams and the servers for which their requests wait. */
  waitingTeams(): readonly (readonly [team: string, server: string])[] {
    return this.#waiting.flatMap(({ job, found }) =>
      found === undefined ? [] : [[job.team, found.id] as const],
    );
  }

  get length(): number {
    return this.#waiting.length;
  }

  /** Finds a server for the job, now or when it has room. Resolves without one if `signal` aborts. */
  admit(job: Job, signal: AbortSignal): Promise<Admitted> {
    // A signal that has aborted already calls no listener.
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
   * Gives servers that have room to the jobs that are first in order, and refuses what comes too late. Does
   * nothing if that was done just now; the router's periodic work comes back to it.
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

  /** Looks at a new waiter alone; what the others were found to wait for may go before it. */
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

  /** Finds out what becomes of one waiter; adds it to `ahead` if it goes on waiting. */
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

  /** Teams that are behind, then urgency, then what can still be on time; teams with less first. */
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

/** Latest time of a first event with which the answer can still be whole in time. */
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
