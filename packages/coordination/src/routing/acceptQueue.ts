// Load pattern: the callers of a team keep to one router and open more connections than its VM can serve. They wait in
// the operating system, and the event loop accepts one in each of its turns: no timer is late and nothing seems to
// wait, while requests grow older than their callers' patience. Serving those uses up the processor for nothing, and
// refusing each of them takes most of it too; so the queue is kept as short as what can be served in time. A VM that has
// become slow has too long a queue all the same; there, what its callers have left is not sent on.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** Requests a second that a core relays: streams of 30 events, measured with a fifth of a core (38.4 a second). */
const relayRate = 200;
/** Time in which a full queue should be served; aims of streams are two to three times as long. */
const queueTime: Milliseconds = 300;
/**
 * Connections that may wait for each router however small its VM is: so many come at once when another router is lost.
 */
const shortestQueue = 16;
/**
 * Wait of a connection above which its first request is refused. Callers leave after 1 s, and the request has still to
 * reach a server; only a router that has become much slower than its VM should be lets connections wait for so long.
 */
const waitLimit: Milliseconds = 600;
/** Connections by which the operating system may exceed the length of the queue. */
const lengthMargin = 2;
/** A probe that waits for longer was lost; a router with few connections would not find out by counting them. */
const probeLife: Milliseconds = 4_000;
/** Connections accepted between two probes, so that probes cost little beside what they measure. */
const connectionsPerProbe = 5;

/**
 * Connections that may wait to be accepted on a VM of `capacity` cores. Beyond that the operating system lets callers
 * try again, which costs the router nothing.
 */
export function acceptBacklog(capacity: number): number {
  return Math.max(shortestQueue, Math.ceil((capacity * relayRate * queueTime) / 1_000));
}

/** A connection that the router opens to itself behind those that wait. */
type Probe =
  /** It is not among those that wait yet; a full queue does not take it. */
  | { readonly kind: 'opening' }
  | {
      readonly kind: 'waiting';
      readonly since: Milliseconds;
      /** Callers accepted since. */
      readonly passed: number;
    };

/** How long new connections wait until they are accepted, measured by probes. */
export class AcceptQueue {
  #probe: Probe | undefined;
  /** Wait of the last probe that was accepted. */
  #wait: Milliseconds = 0;
  #accepted = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly length: number,
  ) {}

  /** `length` is the number of connections that may wait. */
  static create(clock: Clock, length: number): AcceptQueue {
    return new AcceptQueue(clock, length);
  }

  /** Counts a connection of a caller that was accepted. */
  callerAccepted(): void {
    this.#accepted += 1;
    if (this.#probe?.kind !== 'waiting') return;
    const passed = this.#probe.passed + 1;
    // A full queue may forget a connection whose opener believes that it is open; all that were before it have passed.
    if (passed > this.length + lengthMargin) this.probeFailed();
    else this.#probe = { ...this.#probe, passed };
  }

  /** Whether a probe is to be opened now. If so, `reached` or `failed` is due, and `queued` before `reached`. */
  startProbe(): boolean {
    const isDue = this.#accepted >= connectionsPerProbe || exceedsWaitLimit(this.#wait);
    if (this.#probeAge() > probeLife) this.probeFailed();
    if (this.#probe !== undefined || !isDue) return false;
    this.#accepted = 0;
    this.#probe = { kind: 'opening' };
    return true;
  }

  /** The probe waits to be accepted. */
  probeQueued(): void {
    this.#probe = { kind: 'waiting', since: this.clock.now(), passed: 0 };
  }

  /** The probe was accepted. */
  probeAccepted(): void {
    this.#wait = this.#probeAge();
    this.#probe = undefined;
  }

  /** The probe was turned away or forgotten; nothing is known of the queue until the next one. */
  probeFailed(): void {
    this.#wait = 0;
    this.#probe = undefined;
  }

  /** What a connection that is accepted now has probably waited: at least the age of a probe that still waits. */
  get wait(): Milliseconds {
    return Math.max(this.#wait, this.#probeAge());
  }

  #probeAge(): Milliseconds {
    return this.#probe?.kind === 'waiting' ? this.clock.now() - this.#probe.since : 0;
  }
}

/** Whether the first request of a connection that waited for so long is refused. */
export function exceedsWaitLimit(wait: Milliseconds): boolean {
  return wait > waitLimit;
}

/**
 * Whether the caller of a new connection left before its request was read. What it sent and the end of it are read in two
 * turns of the event loop, so in the turn that reads the request each caller seems to be there. `turn` ends with the
 * next one, and `isEnded` tells whether the end was read.
 */
export async function hasCallerLeft(
  turn: () => Promise<void>,
  isEnded: () => boolean,
): Promise<boolean> {
  await turn();
  return isEnded();
}
