// Bounds the accept queue of a router that gets more connections than its VM can serve, since the callers of a
// team may all use one router. Connections wait in the operating system, and each turn of the event loop accepts
// one: no timer is late and no queue is visible, while requests grow older than their callers' timeout. Serving
// those wastes the processor, and refusing each of them takes most of it too; so the queue is kept as short as
// what can be served in time. On a VM that has become slow, even this queue is too long; there, requests whose
// callers have left are not sent on.

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

/**
 * Max length of the accept queue on a VM of `capacity` cores. Beyond it the operating system makes callers
 * retry, which costs the router nothing.
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
      /** Caller connections accepted since then. */
      readonly passed: number;
    };

/** Estimates the wait of new connections in the accept queue by means of probes. */
export class AcceptQueue {
  #probe: Probe | undefined;
  /** Wait of the last accepted probe. */
  #wait: Milliseconds = 0;
  #accepted = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly length: number,
  ) {}

  /** `length` is the max length of the queue. */
  static create(clock: Clock, length: number): AcceptQueue {
    return new AcceptQueue(clock, length);
  }

  /** Counts an accepted connection of a caller. */
  callerAccepted(): void {
    this.#accepted += 1;
    if (this.#probe?.kind !== 'waiting') return;
    const passed = this.#probe.passed + 1;
    // A full queue may drop a connection that its client considers open. After so many, all that preceded the
    // probe have been accepted.
    if (passed > this.length + lengthMargin) this.probeFailed();
    else this.#probe = { ...this.#probe, passed };
  }

  /**
   * Whether a probe is to be opened now. If so, the opener has to call `probeQueued` and then `probeAccepted`, or
   * `probeFailed` at any time.
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
    this.#probe = { kind: 'waiting', since: this.clock.now(), passed: 0 };
  }

  /** The probe was accepted, after it had entered the queue. */
  probeAccepted(): void {
    this.#wait = this.#probeAge();
    this.#probe = undefined;
  }

  /** The probe was rejected or lost; the wait is unknown until the next one. */
  probeFailed(): void {
    this.#wait = 0;
    this.#probe = undefined;
  }

  /**
   * Estimated wait of a connection that is accepted now: at least the age of a probe that is still in the
   * queue.
   */
  get wait(): Milliseconds {
    return Math.max(this.#wait, this.#probeAge());
  }

  #probeAge(): Milliseconds {
    return this.#probe?.kind === 'waiting' ? this.clock.now() - this.#probe.since : 0;
  }
}

/** Whether the first request of a connection that has waited this long is refused. */
export function exceedsWaitLimit(wait: Milliseconds): boolean {
  return wait > waitLimit;
}
