// Sessions of other routers as observed from the table: valid for 3 s from when a version was first seen, so
// that no synchronised clocks are needed.

import type { Clock, Milliseconds, Router, RouterName } from '@catkinwheel/state';

/** Time for which a session is valid after it was renewed. */
const sessionTtl: Milliseconds = 3000;

/**
 * After a longer gap between two reads every session counts as just renewed: its router may have been
 * as unable to renew it as this one was to read it, and may renew it at any moment.
 */
const maxReadGap: Milliseconds = 2500;

/** A session row. */
export interface PeerSession {
  readonly router: Router;
  readonly version: number;
}

interface ObservedSession extends PeerSession {
  readonly firstSeen: Milliseconds;
}

/** The session rows of the last successful read. */
export class PeerSessions {
  readonly #clock: Clock;
  #rows: ReadonlyMap<RouterName, ObservedSession> = new Map();
  #readAt = Number.NEGATIVE_INFINITY;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): PeerSessions {
    return new PeerSessions(clock);
  }

  /** Replaces the rows by those of a successful read. */
  update(sessions: readonly PeerSession[]): void {
    const now = this.#clock.now();
    const isAfterOutage = now - this.#readAt > maxReadGap;
    this.#readAt = now;
    this.#rows = new Map(
      sessions.map((session) => {
        const earlier = this.#rows.get(session.router.name);
        const firstSeen =
          !isAfterOutage && earlier?.version === session.version ? earlier.firstSeen : now;
        return [session.router.name, { ...session, firstSeen }];
      }),
    );
  }

  /** Routers whose session is valid. */
  routers(): readonly Router[] {
    return [...this.#rows.values()]
      .map(({ router }) => router)
      .filter((router) => this.isValid(router));
  }

  /**
   * Whether the router's session was valid at the last successful read. While the platform is unreachable
   * renewals cannot be observed, so the result then stays the same.
   */
  isValid(router: Router): boolean {
    const row = this.#rows.get(router.name);
    if (row?.router.incarnation !== router.incarnation) return false;
    return this.#readAt - row.firstSeen < sessionTtl;
  }

  /** Whether the last successful read is recent and shows no valid session of the router. */
  isConfirmedExpired(name: RouterName): boolean {
    const row = this.#rows.get(name);
    if (this.#clock.now() - this.#readAt > sessionTtl) return false;
    return row === undefined || !this.isValid(row.router);
  }
}
