// Liveness of one other router: its present incarnation and the time of its last heartbeat.

import type { Heartbeat } from '@catkinwheel/protocol';
import type { Incarnation, Milliseconds, Router } from '@catkinwheel/state';

/** A router without a heartbeat for this long is suspect. */
export const suspectTimeout: Milliseconds = 1500;
/** A router without a heartbeat for this long is dead. */
export const deadTimeout: Milliseconds = 3000;

/** Number of replaced incarnations that are kept, so that their late heartbeats are ignored. */
const maxReplacedIncarnations = 8;

export type MemberPhase = 'alive' | 'suspect' | 'dead';

/** A router other than this one. It is dead until its first heartbeat. */
export class Member {
  #router: Router;
  #heartbeat: Heartbeat | undefined;
  #lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  #replaced: readonly Incarnation[] = [];
  #lastSeen: Milliseconds;
  #lastPhase: MemberPhase = 'dead';

  private constructor(router: Router, now: Milliseconds) {
    this.#router = router;
    this.#lastSeen = now;
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

  /** When the router becomes suspect unless another heartbeat arrives. */
  get aliveUntil(): Milliseconds {
    return this.#lastHeartbeatAt + suspectTimeout;
  }

  /** Time of the last heartbeat or, before the first one, of the router's discovery. */
  get lastSeen(): Milliseconds {
    return this.#lastSeen;
  }

  phase(now: Milliseconds): MemberPhase {
    const silence = now - this.#lastHeartbeatAt;
    if (silence < suspectTimeout) return 'alive';
    return silence < deadTimeout ? 'suspect' : 'dead';
  }

  /** The phase if it differs from that of the last call. */
  phaseChange(now: Milliseconds): MemberPhase | undefined {
    const phase = this.phase(now);
    if (phase === this.#lastPhase) return undefined;
    this.#lastPhase = phase;
    return phase;
  }

  /** Whether a heartbeat of another incarnation arrived after those of this one. */
  isReplaced(incarnation: Incarnation): boolean {
    return this.#replaced.includes(incarnation);
  }

  /** Records a heartbeat; a new incarnation replaces the old one at once. True if it is new. */
  recordHeartbeat(heartbeat: Heartbeat, now: Milliseconds): boolean {
    const previous = this.#heartbeat?.router.incarnation;
    const { incarnation } = heartbeat.router;
    if (previous !== undefined && previous !== incarnation) {
      this.#replaced = [previous, ...this.#replaced].slice(0, maxReplacedIncarnations);
    }
    this.#router = heartbeat.router;
    this.#heartbeat = heartbeat;
    this.#lastHeartbeatAt = now;
    this.#lastSeen = now;
    return previous !== incarnation;
  }

  /**
   * Replaces the identity by one from a session row or from another router's member list if this router
   * is dead. Both sources lag, so they never replace an incarnation with a heartbeat within the dead time.
   * True if replaced.
   */
  updateIdentity(router: Router, now: Milliseconds): boolean {
    if (this.phase(now) !== 'dead' || this.isReplaced(router.incarnation)) return false;
    if (router.incarnation === this.#router.incarnation) return false;
    this.#router = router;
    return true;
  }
}
