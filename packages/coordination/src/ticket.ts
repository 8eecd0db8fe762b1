// A granted permit in use by one request, with the cost that the team is charged for it.

import type { Clock, Cost, Milliseconds, Outcome, Permit, RouterName } from '@catkinwheel/state';
import { permitExpiry } from './permitBook.js';
import type { Ticket, Work } from './ports.js';
import { slowFloor } from './serverLimit.js';

/** Callbacks of the permit source. */
export interface TicketOwner {
  /** Adds to the charge of the team; a correction at the end may be negative. */
  charge(ticket: HeldTicket, amount: Cost): void;
  /** Called once per ticket if its first byte was slow. */
  started(ticket: HeldTicket, firstByte: Milliseconds): void;
  /** Called once per ticket, at its end. */
  returned(ticket: HeldTicket, outcome: Outcome, firstByte: Milliseconds | null, cost: Cost): void;
}

interface HeldTicketOptions {
  readonly permit: Permit;
  /** The router that granted the permit. */
  readonly keeper: RouterName;
  readonly work: Work;
  /** Estimated remaining cost of the request after it has received `received`. */
  readonly remaining: (received: Cost) => Cost;
  readonly clock: Clock;
  readonly owner: TicketOwner;
}

/** Fraction of the expected cost after which the charge is updated; an update per token would be slow. */
const progressStep = 0.02;

/**
 * Charges the estimated cost of its request to the team, updates the charge with the progress, and
 * replaces it by the real cost at the end.
 */
export class HeldTicket implements Ticket {
  readonly permit: Permit;
  readonly keeper: RouterName;
  readonly work: Work;
  readonly granted: Milliseconds;
  readonly #options: HeldTicketOptions;
  #abort: AbortController | undefined;
  #state: 'granted' | 'sent' | 'finished' = 'granted';
  #revoked = false;
  #charged: Cost = 0;
  /** Whether the slow first byte was reported to the keeper. */
  #isTold = false;
  /** Cost received at which the charge is updated next. */
  #due: Cost = 0;

  private constructor(options: HeldTicketOptions) {
    this.#options = options;
    this.permit = options.permit;
    this.keeper = options.keeper;
    this.work = options.work;
    this.granted = options.clock.now();
    this.#charge(options.remaining(0));
  }

  static create(options: HeldTicketOptions): HeldTicket {
    return new HeldTicket(options);
  }

  /** Cost that the team is charged for this request so far. */
  get charged(): Cost {
    return this.#charged;
  }

  get revoked(): AbortSignal {
    this.#abort ??= new AbortController();
    if (this.#revoked) this.#abort.abort();
    return this.#abort.signal;
  }

  /** Returns the permit if it expired unused. False before its expiry. */
  expire(now: Milliseconds): boolean {
    if (now - this.granted < permitExpiry) return false;
    if (this.#state === 'granted') this.finish('unused', null, 0);
    return true;
  }

  begin(): boolean {
    if (this.#state !== 'granted') return false;
    if (this.#revoked || this.#options.clock.now() - this.granted >= permitExpiry) {
      this.finish('unused', null, 0);
      return false;
    }
    this.#state = 'sent';
    return true;
  }

  started(firstByte: Milliseconds): void {
    if (this.#state !== 'sent' || this.#isTold || firstByte < slowFloor) return;
    this.#isTold = true;
    this.#options.owner.started(this, firstByte);
  }

  progress(cost: Cost): void {
    if (this.#state !== 'sent' || cost < this.#due) return;
    const charge = cost + this.#options.remaining(cost);
    this.#due = cost + Math.max(1, charge * progressStep);
    if (charge !== this.#charged) this.#charge(charge - this.#charged);
  }

  finish(outcome: Outcome, firstByte: Milliseconds | null, cost: Cost): void {
    if (this.#state === 'finished') return;
    this.#state = 'finished';
    const received = outcome === 'unused' || !Number.isFinite(cost) ? 0 : Math.max(0, cost);
    if (received !== this.#charged) this.#charge(received - this.#charged);
    this.#options.owner.returned(this, outcome, this.#isTold ? null : firstByte, received);
  }

  /** Handles a revocation by the keeper: an unsent request must not be sent, a sent one must be aborted. */
  revoke(): void {
    if (this.#state === 'finished') return;
    this.#revoked = true;
    this.#abort?.abort();
    if (this.#state === 'granted') this.finish('unused', null, 0);
  }

  #charge(amount: Cost): void {
    this.#charged += amount;
    this.#options.owner.charge(this, amount);
  }
}
