// Decides whether a keeper may grant permits, from this router's lease, the last session list and the
// state that peers report. It has no input or output, so that the whole rule can be read in one place.

import type { Authority, ServerPhase } from '@catkinwheel/protocol';
import type { MemberView } from './ports.js';
import type { SessionRow } from './leaseRows.js';

/** Inputs of the decision. */
export interface AuthorityInputs {
  /** Whether this router holds its session lease. */
  readonly held: boolean;
  /** A request to the platform failed within the evidence time, both directly and through a peer. */
  readonly outage: boolean;
  /** The router started too recently to grant permits for servers that are not warm. */
  readonly starting: boolean;
  /** Rows of the last session list, including this router's; undefined before the first read. */
  readonly sessions: readonly SessionRow[] | undefined;
  readonly members: MemberView;
}

/** The authority of this router over a server in `phase` whose keeper row it holds. */
export function authorityOf(view: AuthorityInputs, phase: ServerPhase): Authority {
  if (view.held) return phase !== 'warm' && view.starting ? 'none' : 'held';
  if (!view.outage || view.sessions === undefined) return 'none';
  const others = unreleasedPeers(view, view.sessions);
  if (others.length > 0 && !hasLivePeer(view.members)) return 'none';
  if (phase === 'warm') return 'acting';
  return !view.starting && allPeersAgree(view.members, others) ? 'acting' : 'none';
}

/** A router that released its session has given up all keepers, so its agreement is not needed. */
function unreleasedPeers(
  view: AuthorityInputs,
  sessions: readonly SessionRow[],
): readonly SessionRow[] {
  return sessions.filter(({ router, released }) => router !== view.members.self.name && !released);
}

function hasLivePeer(members: MemberView): boolean {
  return members.alive().some(({ name }) => name !== members.self.name);
}

/**
 * Whether every router of the session list is alive in the listed incarnation, and no live router
 * reaches the platform. A restarted router may have been the keeper of servers that it no longer knows
 * of, so another incarnation does not count.
 */
function allPeersAgree(members: MemberView, others: readonly SessionRow[]): boolean {
  const alive = members.alive();
  const allAlive = others.every((row) =>
    alive.some(({ name, incarnation }) => name === row.router && incarnation === row.incarnation),
  );
  const isPlatformReached = alive.some(
    ({ name }) => name !== members.self.name && members.reachesPlatform(name),
  );
  return allAlive && !isPlatformReached;
}
