// Admission control for a single router. An inference engine runs requests in order of arrival, so a backlog there is
// served late and without fairness between teams. When requests arrive faster than servers can prefill them, they are
// queued here instead, each for the server predicted to serve it best, and the order is chosen anew whenever a server
// has room. A request that could not be served in time is refused on arrival: by its deadline, and where a queue has been
// standing for some time, so that more is asked than can be served, by its latency target. A standing queue makes each request
// late and serves none more.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { noLoad, sumLoads, type Load, type LoadMap } from './loads.js';
import { isOwedService, retryDelay, returnFactor, standingQueueTime } from './overload.js';
import type { Placement } from './placement.js';
import type { ResponseDuration } from './responseTimes.js';
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
  readonly targetTime: Milliseconds;
  /** Time at which the caller gives up if nothing, or nothing more, has arrived. */
  readonly firstEventDeadline: Milliseconds;
  /** Time after which the response is useless. */
  readonly deadline: Milliseconds;
  /** Time by which the response has to be complete since its connection ends; infinite unless a planned stop is known. */
  readonly stopsAt: Milliseconds;
  /** Time that the response takes; undefined if none of its route was seen lately. */
  readonly duration: ResponseDuration | undefined;
  /** Size in tokens, prompt and output together. 1 for requests to plain services. */
  readonly cost: number;
  /** Whether the caller already has a part of the response, which another server is to continue. */
  readonly isContinuation: boolean;
  /** Whether the caller has probably come back with it, so that it is late for the caller already. */
  readonly isReturn: boolean;
}

/** The outcome of a job. */
export type AdmissionResult =
  | { readonly kind: 'server'; readonly id: string; readonly predicted: Milliseconds }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfter: Milliseconds;
      /** The figures behind the refusal, if the request would have had to wait for a server for too long. */
      readonly basis?: OverloadBasis;
      /** What was thrown while the request was placed, if its reason is `internal`. */
      readonly error?: unknown;
    };

/** The figures on which a refusal for overload is based. */
export interface OverloadBasis {
  /** The server for which the request would have waited. */
  readonly server: string;
  /** Predicted time to the first event. */
  readonly start: Milliseconds;
  /** Latest time to the first event at which the response would still be useful. */
  readonly limit: Milliseconds;
  /** How long requests have been queued without a break; 0 if the limit does not come from that. */
  readonly standing: Milliseconds;
  /** Tokens of service that its team has recently received in the whole fleet. */
  readonly received: number;
}

/** Why a job is refused. */
export type RefusalReason =
  | 'noServer'
  | 'overload'
  | 'deadline'
  | 'blockedPart'
  | 'stopping'
  /** Placing the request failed inside the router. */
  | 'internal';

/** A snapshot of the servers. It reflects the jobs that are placed through it. */
export interface ServerSnapshot {
  /** Chooses a server for the job; `ahead` is the load, by server, of queued requests that go before it. */
  place(job: Job, ahead: LoadMap): Placement;
  /** Tokens of service that the team has recently received in the whole fleet. */
  received(team: string): number;
  /** The same of the team that has received most. */
  mostReceived(): number;
}

/** Supplies the servers that jobs are placed on. */
export interface SnapshotSource {
  snapshot(): ServerSnapshot;
}

/**
 * Shortest time between two passes over the queue. A pass over a hundred requests takes about a millisecond,
 * and it is triggered by each response and datagram, which come more often than this.
 */
const minPassInterval: Milliseconds = 10;
/** Retry delay sent to refused callers if there is no estimate. */
const defaultRetryDelay: Milliseconds = 1_000;
/**
 * Fraction of a request's time, from arrival to deadline, that the response takes after its first event. A
 * request with less left is refused.
 */
const responseFraction = 1 / 3;
/**
 * Where a queue stands, a new request has to be predicted to begin within this fraction of its latency target, and a queued one
 * within all of it. The rest is for requests that go ahead of it later, so that few are refused after they have waited.
 */
const arrivalFraction = 0.6;
/**
 * A long prompt may take most of the latency target by itself. It may wait for these fractions of it in any case, when it is new
 * and when it is queued, so that long prompts are not refused before short ones.
 */
const arrivalWaitFraction = 0.4;
const queuedWaitFraction = 0.5;
/** Covers forwarding the first event to the caller, and the error of its prediction. */
const firstEventMargin: Milliseconds = 200;
/** Fraction of its latency target that a job waits for a server to become usable if none is. */
const noServerWaitFraction = 0.5;
/** A first event that is predicted nearer to its target time than this is as likely late as not. */
const onTimeMargin: Milliseconds = 100;
/**
 * A team that has received less than this fraction of what the best-served team has got goes first, even if
 * its requests are late. Urgent teams keep the remaining head start over others. It is kept small, since
 * service from other routers is reported late and adds to it, and a team must not fall to half of what
 * another one gets.
 */
const underservedFraction = 0.9;

interface QueuedJob {
  readonly job: Job;
  /** Placement by the last pass; undefined before the first one, or if no server was usable. */
  lastPlacement: Extract<Placement, { readonly kind: 'server' | 'wait' }> | undefined;
  readonly settle: (admitted: AdmissionResult) => void;
}

/** The queue of requests of this router that wait for a server. */
export class Admission {
  #queue: readonly QueuedJob[] = [];
  #queuedLoads: LoadMap = new Map();
  #lastPass: Milliseconds = -Infinity;
  /** Since when requests of a service have been queued without a break. */
  #standingSince: ReadonlyMap<string, Milliseconds> = new Map();

  private constructor(
    private readonly clock: Clock,
    private readonly work: WorkTimer,
    private readonly snapshots: SnapshotSource,
    private readonly onError: (error: unknown) => void,
  ) {}

  /**
   * `work` measures the time of choosing servers. `onError` gets what is thrown in a pass over the queue outside the placement
   * of a single request; the requests stay queued for the next pass.
   */
  static create(
    clock: Clock,
    work: WorkTimer,
    snapshots: SnapshotSource,
    onError: (error: unknown) => void = () => undefined,
  ): Admission {
    return new Admission(clock, work, snapshots, onError);
  }

  /** Load of queued requests, by the server that they wait for. */
  queuedLoads(): LoadMap {
    return this.#queuedLoads;
  }

  /** The team and the server of each queued request that waits for a certain server. */
  queuedTeams(): readonly (readonly [team: string, server: string])[] {
    return this.#queue.flatMap(({ job, lastPlacement }) =>
      lastPlacement === undefined ? [] : [[job.team, lastPlacement.id] as const],
    );
  }

  get length(): number {
    return this.#queue.length;
  }

  /**
   * Finds a server for the job, at once or when one has room. Refuses the job if `signal` aborts, or with the reason `internal`
   * if placing it throws. Never rejects.
   */
  admit(job: Job, signal: AbortSignal): Promise<AdmissionResult> {
    // A signal that is already aborted calls no listener.
    if (signal.aborted) return Promise.resolve(refusal('deadline', 0));
    return new Promise((resolve) => {
      const settle = (admitted: AdmissionResult): void => {
        signal.removeEventListener('abort', onAbort);
        resolve(admitted);
      };
      const queued: QueuedJob = { job, settle, lastPlacement: undefined };
      const onAbort = (): void => {
        this.#settle(queued, refusal('deadline', 0));
      };
      signal.addEventListener('abort', onAbort);
      this.#queue = [...this.#queue, queued];
      this.#contain(() => {
        this.work.run('arrivals', () => {
          this.#placeArrival(queued);
        });
      });
    });
  }

  /**
   * Passes over the queue in order: assigns servers that have room, and refuses jobs that cannot be served in
   * time. Skipped if the last pass was less than `minPassInterval` ago; the router's periodic work calls it
   * again. Never throws: it runs in the course of requests, datagrams and table updates that it does not concern.
   */
  placeQueued(): void {
    const now = this.clock.now();
    if (now - this.#lastPass < minPassInterval) return;
    this.#lastPass = now;
    this.#contain(() => {
      this.#passOverQueue();
    });
  }

  #contain(work: () => void): void {
    try {
      work();
    } catch (error) {
      this.onError(error);
    }
  }

  #passOverQueue(): void {
    this.#noteStandingQueues();
    const ahead = new Map<string, Load>();
    if (this.#queue.length > 0) {
      this.work.run('queue', () => {
        const snapshot = this.snapshots.snapshot();
        for (const queued of this.#inOrder(snapshot)) this.#placeOrRefuse(queued, snapshot, ahead);
      });
    }
    this.#queuedLoads = ahead;
  }

  /**
   * Places a new job without a pass over the queue; jobs that go before it count with the placement last
   * found.
   */
  #placeArrival(queued: QueuedJob): void {
    const snapshot = this.snapshots.snapshot();
    const before = new Map<string, Load>();
    for (const other of this.#inOrder(snapshot)) {
      if (other === queued) break;
      if (other.lastPlacement === undefined) continue;
      const { id, addedLoad } = other.lastPlacement;
      before.set(id, sumLoads(before.get(id) ?? noLoad, addedLoad));
    }
    this.#placeOrRefuse(queued, snapshot, before, true);
    if (queued.lastPlacement?.kind !== 'wait') return;
    const { id, addedLoad } = queued.lastPlacement;
    this.#queuedLoads = new Map(this.#queuedLoads).set(
      id,
      sumLoads(this.#queuedLoads.get(id) ?? noLoad, addedLoad),
    );
  }

  /** Tries to place one queued job; refuses that job alone if this throws. */
  #placeOrRefuse(
    queued: QueuedJob,
    snapshot: ServerSnapshot,
    ahead: Map<string, Load>,
    isArrival = false,
  ): void {
    try {
      this.#placeJob(queued, snapshot, ahead, isArrival);
    } catch (error) {
      queued.lastPlacement = undefined;
      this.#settle(queued, { ...refusal('internal', defaultRetryDelay), error });
    }
  }

  /** Tries to place one queued job; adds its load to `ahead` if it remains in the queue. */
  #placeJob(
    queued: QueuedJob,
    snapshot: ServerSnapshot,
    ahead: Map<string, Load>,
    isArrival: boolean,
  ): void {
    const { job } = queued;
    const now = this.clock.now();
    // Asked before a place is taken: placing a request counts it at its server.
    if (now > latestStoppingStart(job)) {
      this.#settle(queued, refusal('stopping', 0));
      return;
    }
    const placement = snapshot.place(job, ahead);
    const hasServer = placement.kind === 'server' || placement.kind === 'wait';
    queued.lastPlacement = hasServer ? placement : undefined;
    switch (placement.kind) {
      case 'server':
        this.#settle(queued, { ...placement, kind: 'server' });
        return;
      case 'wait': {
        // Requests of a team that is owed service are refused only if they cannot be served at all.
        const isOwed = isOwedService(snapshot.received(job.team), snapshot.mostReceived());
        const standing = isOwed ? 0 : this.#standingTime(job.service);
        const limit = latestStart(job, placement.idlePrediction, standing, isArrival);
        if (now + placement.predicted > limit) {
          const basis: OverloadBasis = {
            server: placement.id,
            start: placement.predicted,
            limit: limit - now,
            standing,
            received: snapshot.received(job.team),
          };
          // The longer more is asked than can be served, the later callers come back.
          const wait = Math.max(placement.predicted, returnFactor * standing);
          this.#settle(queued, { ...refusal('overload', wait), basis });
          return;
        }
        ahead.set(placement.id, sumLoads(ahead.get(placement.id) ?? noLoad, placement.addedLoad));
        return;
      }
      case 'blocked':
        this.#settle(queued, {
          kind: 'refused',
          reason: 'blockedPart',
          retryAfter: placement.blockedFor,
        });
        return;
      case 'none': {
        const { availableIn } = placement;
        if (availableIn !== undefined) {
          if (now + availableIn > latestFirstEvent(job))
            this.#settle(queued, { kind: 'refused', reason: 'noServer', retryAfter: availableIn });
          return;
        }
        if (now > latestWithoutServer(job))
          this.#settle(queued, refusal('noServer', defaultRetryDelay));
      }
    }
  }

  /**
   * Order: responses that have begun, underserved teams, jobs that can still meet their target, priority, then teams that
   * received less.
   */
  #inOrder(snapshot: ServerSnapshot): readonly QueuedJob[] {
    if (this.#queue.length < 2) return this.#queue;
    const now = this.clock.now();
    const received = new Map<string, number>();
    for (const { job } of this.#queue) {
      if (!received.has(job.team)) received.set(job.team, snapshot.received(job.team));
    }
    const underservedLimit = underservedFraction * Math.max(...received.values());
    const entries = this.#queue.map((queued) => {
      const { job } = queued;
      const amount = received.get(job.team) ?? 0;
      return {
        queued,
        amount,
        isUnderserved: amount < underservedLimit,
        isLate:
          job.isReturn ||
          now + onTimeMargin + (queued.lastPlacement?.idlePrediction ?? 0) > job.targetTime,
      };
    });
    entries.sort(
      (a, b) =>
        Number(b.queued.job.isContinuation) - Number(a.queued.job.isContinuation) ||
        Number(b.isUnderserved) - Number(a.isUnderserved) ||
        Number(a.isLate) - Number(b.isLate) ||
        a.queued.job.priority - b.queued.job.priority ||
        a.amount - b.amount ||
        a.queued.job.arrived - b.queued.job.arrived,
    );
    return entries.map(({ queued }) => queued);
  }

  /** How long the queue of the service has been standing; 0 if not long enough to be more than a burst. */
  #standingTime(service: string): Milliseconds {
    const since = this.#standingSince.get(service);
    const standing = since === undefined ? 0 : this.clock.now() - since;
    return standing >= standingQueueTime ? standing : 0;
  }

  #noteStandingQueues(): void {
    const now = this.clock.now();
    const services = new Set(
      this.#queue.flatMap(({ job, lastPlacement }) =>
        lastPlacement?.kind === 'wait' ? [job.service] : [],
      ),
    );
    this.#standingSince = new Map(
      [...services].map((service) => [service, this.#standingSince.get(service) ?? now]),
    );
  }

  #settle(queued: QueuedJob, admitted: AdmissionResult): void {
    this.#queue = this.#queue.filter((other) => other !== queued);
    queued.settle(admitted);
  }
}

/**
 * Latest time of the first event with which the response can still be complete by the deadline. How much is left of a response
 * that has begun is not known; it is continued as long as its caller waits.
 */
export function latestFirstEvent(job: Job): Milliseconds {
  const { arrived, deadline, duration, firstEventDeadline, isContinuation } = job;
  const responseTime = duration?.expected ?? responseFraction * (deadline - arrived);
  const latestBegin = isContinuation ? deadline : deadline - responseTime;
  return Math.min(latestBegin, firstEventDeadline - firstEventMargin);
}

/** Latest time until which the request waits for a server to become usable if none is. */
function latestWithoutServer(job: Job): Milliseconds {
  if (job.isContinuation) return latestFirstEvent(job);
  return job.arrived + (job.targetTime - job.arrived) * noServerWaitFraction;
}

/**
 * Latest time of the first event with which the request is served; `idlePrediction` is its time to the first event at an idle
 * server, which a long prompt may take for most of its latency target.
 */
function latestStart(
  job: Job,
  idlePrediction: Milliseconds,
  standingTime: Milliseconds,
  isArrival: boolean,
): Milliseconds {
  const latest = latestFirstEvent(job);
  if (standingTime === 0 || job.isContinuation) return latest;
  const aim = job.targetTime - job.arrived;
  const allowance = isArrival
    ? Math.max(aim * arrivalFraction, idlePrediction + aim * arrivalWaitFraction)
    : Math.max(aim, idlePrediction + aim * queuedWaitFraction);
  return Math.min(latest, job.arrived + allowance);
}

/**
 * Latest time at which a server may begin the response, so that it is complete before its connection ends. A request of which
 * it is not known how long it takes may take until its deadline.
 */
function latestStoppingStart({ deadline, stopsAt, duration }: Job): Milliseconds {
  if (deadline <= stopsAt) return Infinity;
  return duration === undefined ? -Infinity : stopsAt - duration.atMost;
}

function refusal(
  reason: RefusalReason,
  wait: Milliseconds,
): Extract<AdmissionResult, { readonly kind: 'refused' }> {
  return { kind: 'refused', reason, retryAfter: retryDelay(wait) };
}
