// Tracks the permits that this router holds, and rejects duplicate grants and those with an old fence.

import type { Revoke } from '@catkinwheel/protocol';
import type { Fence, Milliseconds, Permit, ServerName } from '@catkinwheel/state';
import { RecentIds } from './recent.js';
import type { HeldTicket } from './ticket.js';

/** Minimum time for which permit ids are kept to detect duplicate grants. */
const idRetention: Milliseconds = 5_000;

/** Whether a grant may be used. */
export type GrantCheck = 'usable' | 'duplicate' | 'oldFence';

/** The permits in use at this router, by server. */
export class OpenPermits {
  readonly #tickets = new Map<ServerName, Map<string, HeldTicket>>();
  readonly #unsent = new Set<HeldTicket>();
  readonly #fences = new Map<ServerName, Fence>();
  readonly #seen: RecentIds;

  private constructor(now: Milliseconds) {
    this.#seen = RecentIds.create(idRetention, now);
  }

  static create(now: Milliseconds): OpenPermits {
    return new OpenPermits(now);
  }

  /** Records a grant. A repeated permit or one of a replaced keeper must not be used. */
  recordGrant(permit: Permit): GrantCheck {
    if (!this.#seen.add(permit.id)) return 'duplicate';
    return this.recordFence(permit.server, permit.fence) ? 'usable' : 'oldFence';
  }

  /** Records the fence of a keeper. False if a higher one is known. */
  recordFence(server: ServerName, fence: Fence): boolean {
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

  /** Removes a returned ticket. False if it is not held. */
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

  /** Permits held for a server. */
  ofServer(server: ServerName): readonly Permit[] {
    return [...(this.#tickets.get(server)?.values() ?? [])].map(({ permit }) => permit);
  }

  /** Returns permits that expired unused, and drops old permit ids. */
  tick(now: Milliseconds): void {
    this.#seen.rotate(now);
    for (const ticket of this.#unsent) {
      if (!ticket.expire(now)) return;
      this.#unsent.delete(ticket);
    }
  }
}
