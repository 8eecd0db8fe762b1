// Permits and demand belong to one incarnation of a router. This tracks which incarnations are alive, so
// that the permits and the demand of a lost one are cleaned up exactly once.

import type { Clock, Incarnation, Milliseconds, RouterName } from '@catkinwheel/state';
import type { MemberView } from './ports.js';

/** A router without a heartbeat for this long is dead. */
export const deadTimeout: Milliseconds = 3_000;

interface LastSeen {
  readonly incarnation: Incarnation;
  readonly at: Milliseconds;
}

/** A router that died or restarted; `newIncarnation` is set if it restarted. */
export interface LostRouter {
  readonly router: RouterName;
  readonly newIncarnation: Incarnation | undefined;
}

/** Live routers, and those that were alive within the dead time. */
export class IncarnationTracker {
  readonly #clock: Clock;
  readonly #members: MemberView;
  readonly #lastSeen = new Map<RouterName, LastSeen>();
  #alive: ReadonlyMap<RouterName, Incarnation> = new Map();

  private constructor(clock: Clock, members: MemberView) {
    this.#clock = clock;
    this.#members = members;
  }

  static create(clock: Clock, members: MemberView): IncarnationTracker {
    return new IncarnationTracker(clock, members);
  }

  /** Reads the live members; returns the routers that died or restarted since the last call. */
  update(): readonly LostRouter[] {
    const now = this.#clock.now();
    const alive = this.#members.alive();
    this.#alive = new Map(alive.map(({ name, incarnation }) => [name, incarnation]));
    const restarted = alive.filter(({ name, incarnation }) => {
      const before = this.#lastSeen.get(name);
      return before !== undefined && before.incarnation !== incarnation;
    });
    for (const { name, incarnation } of alive) this.#lastSeen.set(name, { incarnation, at: now });
    const dead = [...this.#lastSeen].filter(([, { at }]) => now - at >= deadTimeout);
    for (const [name] of dead) this.#lastSeen.delete(name);
    return [
      ...restarted.map(({ name, incarnation }) => ({ router: name, newIncarnation: incarnation })),
      ...dead.map(([router]) => ({ router, newIncarnation: undefined })),
    ];
  }

  /** Incarnation of a live router; undefined if the router is not alive. */
  incarnation(router: RouterName): Incarnation | undefined {
    return this.#alive.get(router);
  }

  /** Whether no heartbeat of the router arrived within the dead time. */
  isDead(router: RouterName): boolean {
    return !this.#lastSeen.has(router);
  }

  /** Live routers that are not leaving, including this one. */
  remaining(): readonly RouterName[] {
    return [...this.#alive.keys()].filter((name) => !this.#members.isLeaving(name));
  }
}
