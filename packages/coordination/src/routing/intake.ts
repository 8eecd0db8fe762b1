// Decides whose request a router spends processor time on next. Load pattern: the callers of several teams use one router, and one
// of the teams asks for several times what its VM can forward. Served in the order in which they are read, its requests leave
// the other teams a part of the little that those ask for, though any of them could be served in full. So requests wait here, before
// any work is done for them, and the teams take turns: first those that are owed service in the whole fleet, then those for which
// this router has done least. What cannot be begun soon is refused at once, from the teams that come last.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { isOwedService, retryDelay, returnFactor, standingQueueTime } from './overload.js';
import { TeamUsage } from './teamUsage.js';

/** A request whose head has been read. */
export interface WaitingRequest {
  /** Empty for requests without a team. */
  readonly team: string;
  /** Requests before it on its connection. */
  readonly earlier: number;
}

/** Service that teams have recently received in the whole fleet, in tokens. */
export interface FleetUsage {
  received(team: string): number;
  /** The same of the team that has received most. */
  mostReceived(): number;
}

/** Longest wait for processor time, of the last request in order. */
const maxWait: Milliseconds = 600;
/** The same where the queue is a standing one. */
const maxStandingWait: Milliseconds = 200;
/** Weight of the latest interval between two requests in the average. */
const intervalWeight = 0.2;

/** Requests that wait for processor time of one router. */
export class Intake<Waiting extends WaitingRequest> {
  /** In the order of arrival. */
  #waiting: readonly Waiting[] = [];
  /** Requests begun here lately, by team. */
  readonly #begun: TeamUsage;
  /** Average time between two requests that were begun since requests have been waiting; undefined before the second. */
  #interval: Milliseconds | undefined;
  /** When the last request was begun since requests have been waiting. */
  #lastBegin: Milliseconds | undefined;
  /** Since when requests have been waiting without a break. */
  #waitingSince: Milliseconds | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly fleet: FleetUsage,
  ) {
    this.#begun = TeamUsage.create(clock);
  }

  static create<Waiting extends WaitingRequest>(clock: Clock, fleet: FleetUsage): Intake<Waiting> {
    return new Intake(clock, fleet);
  }

  get length(): number {
    return this.#waiting.length;
  }

  /** Whether requests have been waiting without a break for longer than a burst takes, so that more is asked than can be served. */
  get isStanding(): boolean {
    return this.#standing() >= standingQueueTime;
  }

  /** Adds a request. Returns those to be refused, which may include it: the last in order that would wait for too long. */
  add(request: Waiting): readonly Waiting[] {
    this.#waiting = [...this.#waiting, request];
    this.#waitingSince ??= this.clock.now();
    const excess = this.#waiting.length - this.#maxLength();
    if (excess <= 0) return [];
    const refused = this.#inOrder().slice(-excess);
    this.#waiting = this.#waiting.filter((other) => !refused.includes(other));
    return refused;
  }

  /** Takes out the requests for which `isGone` holds. */
  remove(isGone: (request: Waiting) => boolean): readonly Waiting[] {
    const gone = this.#waiting.filter(isGone);
    if (gone.length > 0) this.#waiting = this.#waiting.filter((request) => !gone.includes(request));
    if (this.#waiting.length === 0) this.#forgetWait();
    return gone;
  }

  /** Takes the request to be begun next; undefined if none waits. */
  next(): Waiting | undefined {
    const [first] = this.#inOrder();
    if (first === undefined) return undefined;
    this.#begun.charge(first.team, 1);
    this.#waiting = this.#waiting.filter((other) => other !== first);
    if (this.#waiting.length === 0) this.#forgetWait();
    else this.#recordBegin();
    return first;
  }

  #recordBegin(): void {
    const now = this.clock.now();
    if (this.#lastBegin !== undefined) {
      const interval = now - this.#lastBegin;
      const average = this.#interval ?? interval;
      this.#interval = average + intervalWeight * (interval - average);
    }
    this.#lastBegin = now;
  }

  /** What was learned while requests waited says nothing about the next time. */
  #forgetWait(): void {
    this.#interval = undefined;
    this.#lastBegin = undefined;
    this.#waitingSince = undefined;
  }

  /** Time after which the caller of a request that is refused now may come back. */
  retryAfter(): Milliseconds {
    return retryDelay(returnFactor * this.#standing());
  }

  /** Requests that can be begun in time; one in any case. */
  #maxLength(): number {
    const wait = this.isStanding ? maxStandingWait : maxWait;
    return Math.max(1, Math.floor(wait / (this.#interval ?? 0)));
  }

  #standing(): Milliseconds {
    return this.#waitingSince === undefined ? 0 : this.clock.now() - this.#waitingSince;
  }

  /** The requests in the order in which they are begun. Of one team, those on connections that have been served least go first. */
  #inOrder(): readonly Waiting[] {
    if (this.#waiting.length < 2) return this.#waiting;
    const mostReceived = this.fleet.mostReceived();
    const teams = new Map(
      [...new Set(this.#waiting.map(({ team }) => team))].map((team) => {
        const isOwed = isOwedService(this.fleet.received(team), mostReceived);
        return [team, { isOwed, begun: this.#begun.received(team) }] as const;
      }),
    );
    const entries = this.#waiting.map((request) => ({
      request,
      isOwed: teams.get(request.team)?.isOwed ?? false,
      begun: teams.get(request.team)?.begun ?? 0,
    }));
    // The sort is stable, so that equal requests keep the order of arrival.
    entries.sort(
      (a, b) =>
        Number(b.isOwed) - Number(a.isOwed) ||
        a.begun - b.begun ||
        a.request.earlier - b.request.earlier,
    );
    return entries.map(({ request }) => request);
  }
}
