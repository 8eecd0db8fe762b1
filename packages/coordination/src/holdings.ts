// Permits that this router holds, and which grants it may still accept.

import type { Revoke } from '@catkinwheel/protocol';
import type { FencingToken, Milliseconds, Permit, ServerName } from '@catkinwheel/state';
import { RecentIds } from './recent.js';
import type { HeldTicket } from './permitHandle.js';

/** Permit ids are remembered at least this long to recognise a grant that arrives again. */
const rememberIds: Milliseconds = 5_000;

/** Whether a grant may be used. */
export type GrantCheck = 'usable' | 'duplicate' | 'oldFence';

export class Holdings {
  readonly #tickets = new Map<ServerName, Map<string, HeldTicket>>();
  readonly #unsent = new Set<HeldTicket>();
  readonly #fences = new Map<ServerName, FencingToken>();
  readonly #seen: RecentIds;

  private constructor(now: Milliseconds) {
    this.#seen = RecentIds.create(rememberIds, now);
  }

  static create(now: Milliseconds): Holdings {
    return new Holdings(now);
  }

  /** Notes a grant. A permit counts once, and one of a replaced keeper must not be used. */
  check(permit: Permit): GrantCheck {
    if (!this.#seen.add(permit.id)) return 'duplicate';
    return this.noteFence(permit.server, permit.fence) ? 'usable' : 'oldFence';
  }

  /** Notes the fence of a keeper. False if a higher one is known. */
  noteFence(server: ServerName, fence: FencingToken): boolean {
    const highest = this.#fences.get(server);
    if (highest !== undefined && fence < highest) return false;
    this.#fences.set(server, fence);
    return true;
  }

  add(ticket: HeldTicket): void {
    const { server, id } = ticket.permit;
    const tickets = this.#tickets.get(server);
    if (tickets === undefined) this.#tickets.set(server, new Map([[id, ticket]]));
    else tickets.set(id, ticket);
    this.#unsent.add(ticket);
  }

  /** Forgets a ticket that was returned. False if it is not held. */
  remove(ticket: HeldTicket): boolean {
    const tickets = this.#tickets.get(ticket.permit.server);
    const held = tickets?.delete(ticket.permit.id) === true;
    if (tickets?.size === 0) this.#tickets.delete(ticket.permit.server);
    this.#unsent.delete(ticket);
    return held;
  }

  revoke({ server, permits }: Revoke): void {
    const tickets = this.#tickets.get(server);
    for (const id of permits) tickets?.get(id)?.revoke();
  }

  /** Permits in use on a server. */
  on(server: ServerName): readonly Permit[] {
    return [...(this.#tickets.get(server)?.values() ?? [])].map(({ permit }) => permit);
  }

  /** Returns permits that were not used in time, and forgets what is no longer needed. */
  tick(now: Milliseconds): void {
    this.#seen.turn(now);
    for (const ticket of this.#unsent) {
      if (!ticket.expire(now)) return;
      this.#unsent.delete(ticket);
    }
  }
}
