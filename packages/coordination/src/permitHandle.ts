// A granted permit in the hands of one request, with its charge to the team.

import type { Clock, Cost, Milliseconds, Outcome, Permit, RouterName } from '@catkinwheel/state';
import { permitExpiry } from './permitBook.js';
import type { PermitHandle, PermitRequest } from './ports.js';
import { slowFloor } from './serverLimit.js';

/** What the permit source does when a ticket changes. */
export interface TicketOwner {
  /** Adds to the charge of the team; a correction at the end may be negative. */
  charge(ticket: HeldTicket, amount: Cost): void;
  /** The first byte took long. */
  started(ticket: HeldTicket, firstByte: Milliseconds): void;
  /** Called once per ticket. */
  returned(ticket: HeldTicket, outcome: Outcome, firstByte: Milliseconds | null, cost: Cost): void;
}

interface HeldTicketOptions {
  readonly permit: Permit;
  /** The router that granted the permit. */
  readonly keeper: RouterName;
  readonly work: PermitRequest;
  /** What the request will probably cost from now on, given what it has received. */
  readonly remaining: (received: Cost) => Cost;
  readonly clock: Clock;
  readonly owner: TicketOwner;
}

/** Part of the expected cost after which the charge is looked at again; each token would cost time. */
const progressStep = 0.02;

/** A ticket that charges what the request will probably cost, follows its progress and settles at the end. */
export class HeldTicket implements PermitHandle {
  readonly permit: Permit;
  readonly keeper: RouterName;
  readonly work: PermitRequest;
  readonly granted: Milliseconds;
  readonly #options: HeldTicketOptions;
  #abort: AbortController | undefined;
  #state: 'granted' | 'sent' | 'finished' = 'granted';
  #revoked = false;
  #charged: Cost = 0;
  /** Whether the keeper heard of the first byte already. */
  #isTold = false;
  /** Service received at which the charge is next looked at. */
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

  /** What the team is charged for this request so far. */
  get charged(): Cost {
    return this.#charged;
  }

  get revoked(): AbortSignal {
    this.#abort ??= new AbortController();
    if (this.#revoked) this.#abort.abort();
    return this.#abort.signal;
  }

  /** Returns the permit if it was not used in time. False if it still has time. */
  expire(now: Milliseconds): boolean {
    if (now - this.granted < permitExpiry) return false;
    if (this.#state === 'granted') this.finish('unused', null, 0);
    return true;
  }

  markSent(): boolean {
    if (this.#state !== 'granted') return false;
    if (this.#revoked || this.#options.clock.now() - this.granted >= permitExpiry) {
      this.finish('unused', null, 0);
      return false;
    }
    this.#state = 'sent';
    return true;
  }

  reportFirstByte(firstByte: Milliseconds): void {
    if (this.#state !== 'sent' || this.#isTold || firstByte < slowFloor) return;
    this.#isTold = true;
    this.#options.owner.started(this, firstByte);
  }

  reportCost(cost: Cost): void {
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

  /** The keeper took the permit back: an unsent request must not be sent, a sent one must end. */
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
