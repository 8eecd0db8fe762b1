// Takes requests from the intake in turns of the event loop. A turn accepts one connection, however many wait in the operating
// system, and lasts as long as all work in it. So a turn begins the work of one request at most, and none while connections are
// coming in, up to a number of them: what has not been read cannot be put in order.

import type { Intake, WaitingRequest } from '@catkinwheel/coordination/routing';
import type { Milliseconds } from '@catkinwheel/state';

/** Connections that are accepted for each request that is begun, if so many come. Refusing one costs a fraction of serving one. */
const acceptedPerBegin = 8;

/** A request that can be begun or refused. */
export interface PendingRequest extends WaitingRequest {
  /** Begins it. Returns the work that follows, as a fraction of that of serving a request here; 0 if its caller has left. */
  readonly begin: () => number;
  readonly refuse: (retryAfter: Milliseconds) => void;
}

/** Begins the requests of an intake. */
export class IntakeLoop {
  #isScheduled = false;
  /** Connections accepted in this turn, and since a request was begun last. */
  #acceptedNow = 0;
  #accepted = 0;

  private constructor(private readonly intake: Intake<PendingRequest>) {}

  static create(intake: Intake<PendingRequest>): IntakeLoop {
    return new IntakeLoop(intake);
  }

  /** Counts a connection that was accepted in this turn. */
  recordAccepted(): void {
    this.#acceptedNow += 1;
    this.#accepted += 1;
  }

  /** Has the request begun or refused. */
  add(request: PendingRequest): void {
    const refused = this.intake.add(request);
    const retryAfter = this.intake.retryAfter();
    for (const each of refused) each.refuse(retryAfter);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled || this.intake.length === 0) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      try {
        this.#turn();
      } finally {
        this.#schedule();
      }
    });
  }

  #turn(): void {
    const areMoreComing = this.#acceptedNow > 0 && this.#accepted < acceptedPerBegin;
    this.#acceptedNow = 0;
    if (areMoreComing) return;
    this.#accepted = 0;
    for (let work = 0; work < 1;) {
      const next = this.intake.next();
      if (next === undefined) return;
      work += next.begin();
    }
  }
}
