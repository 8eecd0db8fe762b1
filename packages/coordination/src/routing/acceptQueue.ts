// Bounds the accept queue of a router that gets more connections than its VM can serve, since the callers of a
// team may all use one router. Connections wait in the operating system, and each turn of the event loop accepts
// one: no timer is late and no queue is visible, while requests grow older than their callers' timeout. Serving
// those wastes the processor, and refusing each of them takes most of it too; so the queue is kept as short as
// what can be served in time. How many connections that are depends on the length of turns, which grows with the
// work of the router, so the length of the queue follows it. Until a queue that has become too long is short again,
// requests whose callers have left are not sent on.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/**
 * Requests a second that one core forwards: streams of 30 events, measured with a fifth of a core (38.4 a
 * second).
 */
const requestsPerCore = 200;
/** Time in which a full queue should be served; latency targets of streams are two to three times as long. */
const maxQueueTime: Milliseconds = 300;
/**
 * Min queue length of any VM, however small: so many connections arrive at once when another router is lost.
 */
const minQueueLength = 16;
/**
 * Wait of a connection above which its first request is refused. Callers leave after 1 s, and the request
 * still has to reach a server. Waits get this long only if a router has become much slower than its VM should
 * be.
 */
const waitLimit: Milliseconds = 600;
/** Connections by which the operating system may exceed the configured length of the queue. */
const lengthMargin = 2;
/**
 * A probe that waits for longer counts as lost; a router with few connections would not detect that by
 * counting them.
 */
const probeTimeout: Milliseconds = 4_000;
/** Connections accepted between two probes, so that the cost of probes is small. */
const connectionsPerProbe = 5;
/** Weight of one accepted connection in the average time between two. */
const acceptWeight = 1 / 16;
/** A longer time between two accepted connections is a pause of the process and no turn. */
const maxTurn: Milliseconds = 200;
/** The queue gets another length if that which fits differs by this factor. */
const lengthStep = 2;

/**
 * Length of the accept queue on a VM of `capacity` cores while turns are short. Beyond it the operating system makes
 * callers retry, which costs the router nothing.
 */
export function acceptBacklog(capacity: number): number {
  return Math.max(minQueueLength, Math.ceil((capacity * requestsPerCore * maxQueueTime) / 1_000));
}

/** A connection that the router opens to its own listener, at the end of the accept queue. */
type Probe =
  /** It is not in the queue yet; a full queue does not take it. */
  | { readonly kind: 'opening' }
  | {
      readonly kind: 'waiting';
      readonly since: Milliseconds;
      /** Connections that may still be accepted before it. */
      readonly ahead: number;
    };

/** Estimates the wait of new connections in the accept queue by means of probes, and the length that it should have. */
export class AcceptQueue {
  #length: number;
  #probe: Probe | undefined;
  /** Connections that may wait: more than the length, until those have been accepted that came before it was reduced. */
  #maxWaiting: number;
  /** Wait of the last accepted probe, or in a full queue that rejected it. */
  #wait: Milliseconds = 0;
  #accepted = 0;
  /** Average time between two accepted connections while more wait. */
  #interval: Milliseconds;
  #lastAccept: Milliseconds;

  private constructor(
    private readonly clock: Clock,
    private readonly maxLength: number,
  ) {
    this.#length = maxLength;
    this.#maxWaiting = maxLength;
    this.#interval = maxQueueTime / maxLength;
    this.#lastAccept = clock.now();
  }

  /** The queue has `maxLength` at first, and never a greater length. */
  static create(clock: Clock, maxLength: number): AcceptQueue {
    return new AcceptQueue(clock, maxLength);
  }

  /** Length of the queue, in connections. */
  get length(): number {
    return this.#length;
  }

  /** Average time between two accepted connections while more wait. */
  get interval(): Milliseconds {
    return this.#interval;
  }

  /** Counts an accepted connection of a caller. */
  callerAccepted(): void {
    this.#recordAccept();
    this.#accepted += 1;
    if (this.#probe?.kind !== 'waiting') return;
    const ahead = this.#probe.ahead - 1;
    // A full queue may drop a connection that its client considers open.
    if (ahead < 0) this.probeFailed();
    else this.#probe = { ...this.#probe, ahead };
  }

  /**
   * Whether a probe is to be opened now that a connection has been accepted. If so, the opener has to call
   * `probeQueued` and then `probeAccepted`, or `probeRejected` or `probeFailed` at any time.
   */
  startProbe(): boolean {
    const isDue = this.#accepted >= connectionsPerProbe || exceedsWaitLimit(this.#wait);
    if (this.#probeAge() > probeTimeout) this.probeFailed();
    if (this.#probe !== undefined || !isDue) return false;
    this.#accepted = 0;
    this.#probe = { kind: 'opening' };
    return true;
  }

  /** The probe has entered the queue. */
  probeQueued(): void {
    const ahead = this.#maxWaiting + lengthMargin;
    this.#probe = { kind: 'waiting', since: this.clock.now(), ahead };
  }

  /** The probe was accepted, after it had entered the queue. */
  probeAccepted(): void {
    this.#recordAccept();
    this.#wait = this.#probeAge();
    this.#probe = undefined;
  }

  /** The queue was full and did not take the probe. */
  probeRejected(): void {
    this.#wait = this.#maxWaiting * this.#interval;
    this.#probe = undefined;
  }

  /** The probe was lost; the wait is unknown until the next one. */
  probeFailed(): void {
    this.#wait = 0;
    this.#probe = undefined;
  }

  /** Length that the queue is to have from now on, in connections; undefined if it has about that already. */
  newLength(): number | undefined {
    const fitting = Math.max(
      1,
      Math.min(this.maxLength, Math.floor(maxQueueTime / this.#interval)),
    );
    const isTooLong = fitting * lengthStep <= this.#length;
    const isTooShort = fitting >= this.#length * lengthStep;
    return isTooLong || isTooShort ? fitting : undefined;
  }

  /** The operating system has been told the new length. */
  setLength(length: number): void {
    this.#length = length;
    this.#maxWaiting = Math.max(this.#maxWaiting, length);
  }

  /**
   * Estimated wait of a connection that is accepted now: at least the age of a probe that is still in the
   * queue.
   */
  get wait(): Milliseconds {
    return Math.max(this.#wait, this.#probeAge());
  }

  #recordAccept(): void {
    this.#maxWaiting = Math.max(this.#length, this.#maxWaiting - 1);
    this.#learnInterval();
  }

  /** Between the opening of a probe and its end the queue is never empty: it contains the probe or is full. */
  #learnInterval(): void {
    const now = this.clock.now();
    const interval = Math.min(maxTurn, now - this.#lastAccept);
    this.#lastAccept = now;
    if (this.#probe === undefined) return;
    this.#interval += acceptWeight * (interval - this.#interval);
  }

  #probeAge(): Milliseconds {
    return this.#probe?.kind === 'waiting' ? this.clock.now() - this.#probe.since : 0;
  }
}

/** Whether the first request of a connection that has waited this long is refused. */
export function exceedsWaitLimit(wait: Milliseconds): boolean {
  return wait > waitLimit;
}
