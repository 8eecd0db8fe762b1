// Liveness of other routers' sessions: claims ask whether the router process that wrote a row still runs.

import type { Session, SessionLiveness } from '@catkinwheel/coordination';
import type { Incarnation, RouterName } from '@catkinwheel/state';

/**
 * Decides from the session rows, which are current only while this router's own lease is held;
 * `unknown` without it.
 */
export function sessionLivenessOf(session: Session): SessionLiveness {
  return {
    liveness: (router: RouterName, incarnation: Incarnation) => {
      if (!session.isHeld()) return Promise.resolve('unknown');
      const row = session.sessionRows().find((candidate) => candidate.router === router);
      const isLive = row?.incarnation === incarnation && !session.hasLapsed(router);
      return Promise.resolve(isLive ? 'live' : 'dead');
    },
  };
}
