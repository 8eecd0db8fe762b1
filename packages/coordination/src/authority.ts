// Whether a keeper may grant is one decision from the own lease, the last session list and what
// peers say. It is kept apart from input and output so that it can be read in one place.

import type { Authority, ServerPhase } from '@catkinwheel/protocol';
import type { MemberView } from './ports.js';
import type { SessionRow } from './leaseRows.js';

/** What the decision depends on. */
export interface AuthorityInputs {
  readonly held: boolean;
  /** A request to the platform, directly and by relay, failed within the evidence time. */
  readonly outage: boolean;
  /** The just-started rule still forbids grants on servers that are not warm. */
  readonly starting: boolean;
  /** Rows of the last session list, the own one included; undefined before the first read. */
  readonly sessions: readonly SessionRow[] | undefined;
  readonly members: MemberView;
}

/** The authority of this router over a server in `phase` that it holds the keeper row of. */
export function authorityOf(view: AuthorityInputs, phase: ServerPhase): Authority {
  if (view.held) return phase !== 'warm' && view.starting ? 'none' : 'held';
  if (!view.outage || view.sessions === undefined) return 'none';
  const others = othersOf(view, view.sessions);
  if (others.length > 0 && !hasContact(view.members)) return 'none';
  if (phase === 'warm') return 'acting';
  return !view.starting && isUnanimous(view.members, others) ? 'acting' : 'none';
}

/** A released session gives up all keepers, so its router is no party to the agreement. */
function othersOf(view: AuthorityInputs, sessions: readonly SessionRow[]): readonly SessionRow[] {
  return sessions.filter(({ router, released }) => router !== view.members.self.name && !released);
}

function hasContact(members: MemberView): boolean {
  return members.alive().some(({ name }) => name !== members.self.name);
}

/**
 * Every router of the list is in contact, in the same incarnation, and no router in contact reaches
 * the platform. A restarted router may have kept servers that it no longer knows of, so another
 * incarnation does not count.
 */
function isUnanimous(members: MemberView, others: readonly SessionRow[]): boolean {
  const alive = members.alive();
  const present = others.every((row) =>
    alive.some(({ name, incarnation }) => name === row.router && incarnation === row.incarnation),
  );
  const reached = alive.some(
    ({ name }) => name !== members.self.name && members.reachesPlatform(name),
  );
  return present && !reached;
}
