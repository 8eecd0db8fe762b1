// Begins or refuses the requests of an intake in turns of this process's event loop.

import {
  Arrivals,
  IntakeTurns,
  type Intake,
  type WaitingRequest,
} from '@catkinwheel/coordination/routing';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { Faults } from './faults.js';

/** A request that can be begun or refused. */
export interface PendingRequest extends WaitingRequest {
  /** Whether it may have waited for long until it was read, so that its caller may have left before. */
  readonly waitedUnread: boolean;
  /** Whether its caller has left, as far as its connection has been read. */
  readonly hasLeft: () => boolean;
  /** Begins it. Returns the work that follows, as a fraction of that of serving a request here. */
  readonly begin: () => number;
  readonly refuse: (retryAfter: Milliseconds) => void;
  /** Ends it, since its caller has left. */
  readonly drop: () => void;
}

/** What became of requests in the intake. */
export interface IntakeCounts {
  readonly begun: number;
  readonly refused: number;
  /** Requests whose callers left before they were begun. */
  readonly left: number;
  /** The longest time that one waited from being read until it was begun. */
  readonly longestWait: Milliseconds;
}

const noCounts: IntakeCounts = { begun: 0, refused: 0, left: 0, longestWait: 0 };

/** Runs an intake. */
export class IntakeLoop {
  readonly #turns: IntakeTurns;
  readonly #arrivals = Arrivals.create<PendingRequest>();
  readonly #readAt = new WeakMap<PendingRequest, Milliseconds>();
  #counts = noCounts;
  #isScheduled = false;

  private constructor(
    private readonly intake: Intake<PendingRequest>,
    private readonly faults: Faults,
    private readonly clock: Clock,
  ) {
    this.#turns = IntakeTurns.create(clock);
  }

  static create(intake: Intake<PendingRequest>, faults: Faults, clock: Clock): IntakeLoop {
    return new IntakeLoop(intake, faults, clock);
  }

  /** Whether requests have been waiting for so long that more is asked than can be served. */
  get isStanding(): boolean {
    return this.intake.isStanding;
  }

  /** Runs the acceptance of a connection. */
  accept(work: () => void): void {
    this.#turns.recordAccepted();
    this.read(work);
  }

  /** Runs a part of the work that reading or refusing a request takes. */
  read(work: () => void): void {
    const start = this.clock.now();
    try {
      work();
    } finally {
      this.#turns.recordReadingTime(this.clock.now() - start);
    }
  }

  /** What became of requests since the last call; starts anew. */
  takeCounts(): IntakeCounts {
    const counts = this.#counts;
    this.#counts = noCounts;
    return counts;
  }

  /** Has the request begun, refused or dropped; one that waited unread in a later turn, once it is known whether its caller has left. */
  add(request: PendingRequest): void {
    if (request.earlier > 0) this.#turns.recordRead();
    this.#readAt.set(request, this.clock.now());
    if (request.waitedUnread) this.#arrivals.add(request);
    else this.#admit(request);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled || this.intake.length + this.#arrivals.length === 0) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.faults.contain('intake', () => {
        this.#endTurn();
      });
      this.#schedule();
    });
  }

  #endTurn(): void {
    this.read(() => {
      const gone = this.intake.remove((request) => request.hasLeft());
      for (const request of gone) this.#drop(request);
      for (const request of this.#arrivals.endTurn()) {
        if (request.hasLeft()) this.#drop(request);
        else this.#admit(request);
      }
    });
    if (this.intake.length > 0) this.#begin(this.#turns.end());
    else this.#turns.rest();
  }

  #admit(request: PendingRequest): void {
    const refused = this.intake.add(request);
    this.#counts = { ...this.#counts, refused: this.#counts.refused + refused.length };
    const retryAfter = this.intake.retryAfter();
    for (const each of refused)
      this.faults.contain('intake', () => {
        each.refuse(retryAfter);
      });
  }

  #drop(request: PendingRequest): void {
    this.#counts = { ...this.#counts, left: this.#counts.left + 1 };
    this.faults.contain('intake', () => {
      request.drop();
    });
  }

  /** Begins requests that are the work of `count`. */
  #begin(count: number): void {
    for (let work = 0; work < count;) {
      const next = this.intake.next();
      if (next === undefined) return;
      this.#countBegin(next);
      work += next.begin();
    }
  }

  #countBegin(request: PendingRequest): void {
    const { begun, longestWait } = this.#counts;
    const now = this.clock.now();
    const wait = now - (this.#readAt.get(request) ?? now);
    this.#counts = {
      ...this.#counts,
      begun: begun + 1,
      longestWait: Math.max(longestWait, wait),
    };
  }
}
