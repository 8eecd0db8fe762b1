// Load pattern: servers crash, reset or spoil their answers in the middle, many at a time, and the requests are sent to
// others. What a caller gets has to be the answer of one run from its head to its end; only events can be continued by
// another run, behind the last one that the caller has. A plain answer is short, so it is held until it is whole: a
// server that breaks off then costs its caller nothing. One that is long or slow is handed on as it comes.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** Bytes of a plain answer that are held; those of the published deployments have at most 5 kB. */
const heldBytes = 32 * 1024;
/** Time for which a plain answer is held after its head; half of the time after which callers give up a silent router. */
const heldTime: Milliseconds = 500;

/** What a caller has of the answer to its request; an answer that has ended is `plain`. */
export type RelayProgress =
  | { readonly kind: 'nothing' }
  /** A head and a part of the body, or all of it, of one run. */
  | { readonly kind: 'plain' }
  /** Whole events, the last of which has this id; undefined if it has none. */
  | { readonly kind: 'events'; readonly lastEvent: string | undefined };

/** Whether a further run may bring the rest of the answer. */
export function canResume(handedOn: RelayProgress): boolean {
  switch (handedOn.kind) {
    case 'nothing':
      return true;
    case 'plain':
      return false;
    case 'events':
      return handedOn.lastEvent !== undefined;
  }
}

/**
 * Whether a continuation may begin with the event `next` behind the event `last`. Ids of events increase, so that a
 * run which begins elsewhere shows; one without an id cannot be told from a repeated one.
 */
export function isNextEvent(last: string | undefined, next: string | undefined): boolean {
  return last !== undefined && next !== undefined && Number(next) > Number(last);
}

/** Decides how long the beginning of one run's plain answer is held. */
export class ResponseBuffering {
  #size = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly since: Milliseconds,
  ) {}

  /** Begins when the head has come. */
  static create(clock: Clock): ResponseBuffering {
    return new ResponseBuffering(clock, clock.now());
  }

  /** Counts `size` bytes that came; false once the answer has to be handed on as it comes. */
  shouldBuffer(size: number): boolean {
    this.#size += size;
    return this.#size <= heldBytes && this.clock.now() - this.since <= heldTime;
  }
}
