// A granted permit in use by one request, with the cost that the team is charged for it.

import type { Clock, Cost, Milliseconds, Outcome, Permit, RouterName } from '@catkinwheel/state';
import { permitExpiry } from './permitBook.js';
import type { PermitHandle, PermitRequest } from './ports.js';
import { slowFirstByteThreshold } from './serverLimit.js';

/** Callbacks to the creator of the handle, a source of permits. */
export interface PermitHandleOwner {
  /** Adds to the charge of the team; a correction at the end may be negative. */
  charge(handle: ChargedPermitHandle, amount: Cost): void;
  /** Called at most once per permit, if the first byte of the response was slow. */
  onSlowFirstByte(handle: ChargedPermitHandle, firstByte: Milliseconds): void;
  /** Called once per permit, at its end. */
  onReturned(
    handle: ChargedPermitHandle,
    outcome: Outcome,
    firstByte: Milliseconds | null,
    cost: Cost,
  ): void;
}

interface ChargedPermitHandleOptions {
  readonly permit: Permit;
  /** The router that granted the permit. */
  readonly keeper: RouterName;
  readonly request: PermitRequest;
  /** Estimated remaining cost of the request after the response so far has cost `costSoFar`. */
  readonly remaining: (costSoFar: Cost) => Cost;
  readonly clock: Clock;
  readonly owner: PermitHandleOwner;
}

/** Fraction of the expected cost after which the charge is updated; an update per token would be slow. */
const chargeUpdateStep = 0.02;

/**
 * Charges the estimated cost of its request to the team, updates the charge with the progress, and
 * replaces it by the real cost at the end.
 */
export class ChargedPermitHandle implements PermitHandle {
  readonly permit: Permit;
  readonly keeper: RouterName;
  readonly request: PermitRequest;
  readonly grantedAt: Milliseconds;
  readonly #options: ChargedPermitHandleOptions;
  #abort: AbortController | undefined;
  #state: 'granted' | 'sent' | 'finished' = 'granted';
  #isRevoked = false;
  #charged: Cost = 0;
  /** Whether the slow first byte was reported to the keeper. */
  #isFirstByteReported = false;
  /** Cost of the response so far at which the charge is updated next. */
  #nextUpdateAt: Cost = 0;

  private constructor(options: ChargedPermitHandleOptions) {
    this.#options = options;
    this.permit = options.permit;
    this.keeper = options.keeper;
    this.request = options.request;
    this.grantedAt = options.clock.now();
    this.#charge(options.remaining(0));
  }

  static create(options: ChargedPermitHandleOptions): ChargedPermitHandle {
    return new ChargedPermitHandle(options);
  }

  /** Cost that the team is charged for this request so far. */
  get charged(): Cost {
    return this.#charged;
  }

  get revoked(): AbortSignal {
    this.#abort ??= new AbortController();
    if (this.#isRevoked) this.#abort.abort();
    return this.#abort.signal;
  }

  /** Gives the permit back to its keeper if it expired unused. True if the expiry has passed. */
  expire(now: Milliseconds): boolean {
    if (now - this.grantedAt < permitExpiry) return false;
    if (this.#state === 'granted') this.finish('unused', null, 0);
    return true;
  }

  markSent(): boolean {
    if (this.#state !== 'granted') return false;
    if (this.#isRevoked || this.#options.clock.now() - this.grantedAt >= permitExpiry) {
      this.finish('unused', null, 0);
      return false;
    }
    this.#state = 'sent';
    return true;
  }

  reportFirstByte(firstByte: Milliseconds): void {
    if (this.#state !== 'sent' || this.#isFirstByteReported || firstByte < slowFirstByteThreshold)
      return;
    this.#isFirstByteReported = true;
    this.#options.owner.onSlowFirstByte(this, firstByte);
  }

  reportCost(cost: Cost): void {
    if (this.#state !== 'sent' || cost < this.#nextUpdateAt) return;
    const charge = cost + this.#options.remaining(cost);
    this.#nextUpdateAt = cost + Math.max(1, charge * chargeUpdateStep);
    if (charge !== this.#charged) this.#charge(charge - this.#charged);
  }

  finish(outcome: Outcome, firstByte: Milliseconds | null, cost: Cost): void {
    if (this.#state === 'finished') return;
    this.#state = 'finished';
    const received = outcome === 'unused' || !Number.isFinite(cost) ? 0 : Math.max(0, cost);
    if (received !== this.#charged) this.#charge(received - this.#charged);
    this.#options.owner.onReturned(
      this,
      outcome,
      this.#isFirstByteReported ? null : firstByte,
      received,
    );
  }

  /** Handles a revocation by the keeper: an unsent request must not be sent, a sent one must be aborted. */
  revoke(): void {
    if (this.#state === 'finished') return;
    this.#isRevoked = true;
    this.#abort?.abort();
    if (this.#state === 'granted') this.finish('unused', null, 0);
  }

  #charge(amount: Cost): void {
    this.#charged += amount;
    this.#options.owner.charge(this, amount);
  }
}
