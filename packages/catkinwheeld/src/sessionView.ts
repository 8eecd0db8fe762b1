// Tells claims whether the run of a router that wrote a row still exists.

import type { Session, SessionLiveness } from '@catkinwheel/coordination';
import type { Incarnation, RouterName } from '@catkinwheel/state';

/** Answers from the session rows that this router's own lease keeps fresh. */
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
