// Begins or refuses the requests of an intake in turns of this process's event loop.

import { IntakeTurns, type Intake, type WaitingRequest } from '@catkinwheel/coordination/routing';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { Faults } from './faults.js';

/** A request that can be begun or refused. */
export interface PendingRequest extends WaitingRequest {
  /** Begins it. Returns the work that follows, as a fraction of that of serving a request here; 0 if its caller has left. */
  readonly begin: () => number;
  readonly refuse: (retryAfter: Milliseconds) => void;
}

/** Runs an intake. */
export class IntakeLoop {
  readonly #turns: IntakeTurns;
  #isScheduled = false;

  private constructor(
    private readonly intake: Intake<PendingRequest>,
    private readonly faults: Faults,
    clock: Clock,
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

  /** Counts a connection that was accepted in this turn. */
  recordAccepted(): void {
    this.#turns.recordAccepted();
  }

  /** Has the request begun or refused. */
  add(request: PendingRequest): void {
    if (request.earlier > 0) this.#turns.recordRead();
    const refused = this.intake.add(request);
    const retryAfter = this.intake.retryAfter();
    for (const each of refused)
      this.faults.contain('intake', () => {
        each.refuse(retryAfter);
      });
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled || this.intake.length === 0) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.faults.contain('intake', () => {
        this.#begin(this.#turns.end());
      });
      this.#schedule();
    });
  }

  /** Begins requests that are the work of `count`. */
  #begin(count: number): void {
    for (let work = 0; work < count;) {
      const next = this.intake.next();
      if (next === undefined) return;
      work += next.begin();
    }
  }
}
