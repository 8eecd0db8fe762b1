// One other router, with the incarnation it has now and the time of its last sign of life.

import type { Heartbeat } from '@catkinwheel/protocol';
import type { Incarnation, Milliseconds, Router } from '@catkinwheel/state';

/** Time without a heartbeat after which a router is suspect. */
export const suspectTimeout: Milliseconds = 1500;
/** Time without a heartbeat after which a router is dead. */
export const deadTimeout: Milliseconds = 3000;

/** Incarnations remembered as replaced, so that their late heartbeats are ignored. */
const rememberedIncarnations = 8;

export type MemberPhase = 'alive' | 'suspect' | 'dead';

/** A router other than this one. It counts as dead until its first heartbeat. */
export class Member {
  #router: Router;
  #heartbeat: Heartbeat | undefined;
  #heard = Number.NEGATIVE_INFINITY;
  #replaced: readonly Incarnation[] = [];
  #lastSign: Milliseconds;
  #noted: MemberPhase = 'dead';

  private constructor(router: Router, now: Milliseconds) {
    this.#router = router;
    this.#lastSign = now;
  }

  static create(router: Router, now: Milliseconds): Member {
    return new Member(router, now);
  }

  get router(): Router {
    return this.#router;
  }

  /** The last heartbeat of the present incarnation. */
  get heartbeat(): Heartbeat | undefined {
    return this.#heartbeat;
  }

  /** When the router stops being alive unless it is heard again. */
  get aliveUntil(): Milliseconds {
    return this.#heard + suspectTimeout;
  }

  /** When the router was last heard or, before that, learned of. */
  get lastSign(): Milliseconds {
    return this.#lastSign;
  }

  phase(now: Milliseconds): MemberPhase {
    const silence = now - this.#heard;
    if (silence < suspectTimeout) return 'alive';
    return silence < deadTimeout ? 'suspect' : 'dead';
  }

  /** The phase if it differs from that of the last call. */
  noted(now: Milliseconds): MemberPhase | undefined {
    const phase = this.phase(now);
    if (phase === this.#noted) return undefined;
    this.#noted = phase;
    return phase;
  }

  /** Whether another incarnation was heard after this one. */
  isReplaced(incarnation: Incarnation): boolean {
    return this.#replaced.includes(incarnation);
  }

  /** Takes in a heartbeat; a new incarnation replaces the old one at once. True if it is new. */
  hear(heartbeat: Heartbeat, now: Milliseconds): boolean {
    const previous = this.#heartbeat?.router.incarnation;
    const { incarnation } = heartbeat.router;
    if (previous !== undefined && previous !== incarnation) {
      this.#replaced = [previous, ...this.#replaced].slice(0, rememberedIncarnations);
    }
    this.#router = heartbeat.router;
    this.#heartbeat = heartbeat;
    this.#heard = now;
    this.#lastSign = now;
    return previous !== incarnation;
  }

  /**
   * Takes the identity from a session row or another router's list if the known one is dead. Both
   * lag, so they never replace an incarnation that was heard within the dead time. True if taken.
   */
  suggest(router: Router, now: Milliseconds): boolean {
    if (this.phase(now) !== 'dead' || this.isReplaced(router.incarnation)) return false;
    if (router.incarnation === this.#router.incarnation) return false;
    this.#router = router;
    return true;
  }
}
