// Tracks how much of a response the caller has received, which decides whether another server may supply the rest.
// Many servers may crash, reset or corrupt their responses at a time. A caller must receive the response of one run
// from head to end, except that a stream of events may be continued by another run after the last event received.
// A plain response is short, so it is buffered until complete: if it is truncated, the request can be retried. A
// long or slow one is forwarded as it arrives.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** Max bytes of a plain response that are buffered; those of the published deployments have at most 5 kB. */
const maxBufferedBytes = 32 * 1024;
/**
 * Max time to buffer a plain response after its head; half of the time after which callers give up a silent
 * router.
 */
const maxBufferingTime: Milliseconds = 500;

/** What the caller has received of the response to its request; a complete response is `plain`. */
export type RelayProgress =
  | { readonly kind: 'nothing' }
  /** The head and a part of the body, or all of it, of one run. */
  | { readonly kind: 'plain' }
  /** Whole events, the last of which has this id; undefined if it has none. */
  | { readonly kind: 'events'; readonly lastEvent: string | undefined };

/** Whether another run may supply the rest of the response. */
export function canResume(progress: RelayProgress): boolean {
  switch (progress.kind) {
    case 'nothing':
      return true;
    case 'plain':
      return false;
    case 'events':
      return progress.lastEvent !== undefined;
  }
}

/**
 * Whether a continuation may start with event `next` after event `last`. Event ids increase, which reveals a run that
 * starts elsewhere; an event without an id cannot be told from a repeated one.
 */
export function isNextEvent(last: string | undefined, next: string | undefined): boolean {
  return last !== undefined && next !== undefined && Number(next) > Number(last);
}

/** Decides how long the start of one run's plain response is buffered. */
export class ResponseBuffering {
  #size = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly since: Milliseconds,
  ) {}

  /** To be called when the head arrives. */
  static create(clock: Clock): ResponseBuffering {
    return new ResponseBuffering(clock, clock.now());
  }

  /** Counts `size` bytes received; returns false once the response has to be forwarded as it arrives. */
  shouldBuffer(size: number): boolean {
    this.#size += size;
    return this.#size <= maxBufferedBytes && this.clock.now() - this.since <= maxBufferingTime;
  }
}
