// Session rows as others see them: valid for 3 s from when a version was first seen, so that no
// synchronised clocks are needed.

import type { Clock, Milliseconds, Router, RouterName } from '@catkinwheel/state';

/** Time a session is valid after it was renewed. */
const sessionTtl: Milliseconds = 3000;

/**
 * After a longer time between two reads every session counts as just seen: its router may have been
 * as unable to renew it as this one was to read it, and may renew it any moment.
 */
const longestGap: Milliseconds = 2500;

/** A session row. */
export interface PeerSession {
  readonly router: Router;
  readonly version: number;
}

interface Seen extends PeerSession {
  readonly since: Milliseconds;
}

/** The session rows of the last successful read. */
export class PeerSessions {
  readonly #clock: Clock;
  #rows: ReadonlyMap<RouterName, Seen> = new Map();
  #read = Number.NEGATIVE_INFINITY;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): PeerSessions {
    return new PeerSessions(clock);
  }

  /** Replaces the rows by those of a successful read. */
  update(sessions: readonly PeerSession[]): void {
    const now = this.#clock.now();
    const isAfterOutage = now - this.#read > longestGap;
    this.#read = now;
    this.#rows = new Map(
      sessions.map((session) => {
        const before = this.#rows.get(session.router.name);
        const since = !isAfterOutage && before?.version === session.version ? before.since : now;
        return [session.router.name, { ...session, since }];
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
   * Whether the router's session was valid at the last successful read. While the platform is out of
   * reach its renewals cannot be seen, so the answer then stays as it was.
   */
  isValid(router: Router): boolean {
    const row = this.#rows.get(router.name);
    if (row?.router.incarnation !== router.incarnation) return false;
    return this.#read - row.since < sessionTtl;
  }

  /** Whether the last successful read is recent and shows no valid session of the router. */
  isConfirmedExpired(name: RouterName): boolean {
    const row = this.#rows.get(name);
    if (this.#clock.now() - this.#read > sessionTtl) return false;
    return row === undefined || !this.isValid(row.router);
  }
}
