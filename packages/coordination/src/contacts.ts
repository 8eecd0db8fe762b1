// Permits and demand belong to one incarnation of a router. This tracks which incarnations are alive, so
// that the permits and the demand of a lost one are cleaned up exactly once.

import type { Clock, Incarnation, Milliseconds, RouterName } from '@catkinwheel/state';
import type { MemberView } from './ports.js';

/** A router without a heartbeat for this long is dead. */
export const deadTime: Milliseconds = 3_000;

interface Contact {
  readonly incarnation: Incarnation;
  readonly seen: Milliseconds;
}

/** A router that died or restarted; `keep` is the new incarnation of a restarted one. */
export interface Gone {
  readonly router: RouterName;
  readonly keep: Incarnation | undefined;
}

/** Live routers, and those that were alive within the dead time. */
export class Contacts {
  readonly #clock: Clock;
  readonly #members: MemberView;
  readonly #contacts = new Map<RouterName, Contact>();
  #alive: ReadonlyMap<RouterName, Incarnation> = new Map();

  private constructor(clock: Clock, members: MemberView) {
    this.#clock = clock;
    this.#members = members;
  }

  static create(clock: Clock, members: MemberView): Contacts {
    return new Contacts(clock, members);
  }

  /** Reads the live members; returns the routers that died or restarted since the last call. */
  refresh(): readonly Gone[] {
    const now = this.#clock.now();
    const alive = this.#members.alive();
    this.#alive = new Map(alive.map(({ name, incarnation }) => [name, incarnation]));
    const restarted = alive.filter(({ name, incarnation }) => {
      const before = this.#contacts.get(name);
      return before !== undefined && before.incarnation !== incarnation;
    });
    for (const { name, incarnation } of alive) this.#contacts.set(name, { incarnation, seen: now });
    const dead = [...this.#contacts].filter(([, { seen }]) => now - seen >= deadTime);
    for (const [name] of dead) this.#contacts.delete(name);
    return [
      ...restarted.map(({ name, incarnation }) => ({ router: name, keep: incarnation })),
      ...dead.map(([router]) => ({ router, keep: undefined })),
    ];
  }

  /** Incarnation of a live router; undefined if the router is not alive. */
  incarnation(router: RouterName): Incarnation | undefined {
    return this.#alive.get(router);
  }

  /** Whether no heartbeat of the router arrived within the dead time. */
  isDead(router: RouterName): boolean {
    return !this.#contacts.has(router);
  }

  /** Live routers that are not leaving, including this one. */
  staying(): readonly RouterName[] {
    return [...this.#alive.keys()].filter((name) => !this.#members.isLeaving(name));
  }
}
