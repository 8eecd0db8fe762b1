// Tracks the permits that this router holds, and rejects duplicate grants and those with an old fence.

import type { Revoke } from '@catkinwheel/protocol';
import type { FencingToken, Milliseconds, Permit, ServerName } from '@catkinwheel/state';
import { RecentIds } from './recentIds.js';
import type { ChargedPermitHandle } from './permitHandle.js';

/** Minimum time for which permit ids are kept to detect duplicate grants. */
const idRetention: Milliseconds = 5_000;

/** Whether a grant may be used. */
export type GrantCheck = 'usable' | 'duplicate' | 'oldFence';

/** The permits in use at this router, by server. */
export class OpenPermits {
  readonly #handles = new Map<ServerName, Map<string, ChargedPermitHandle>>();
  readonly #unsent = new Set<ChargedPermitHandle>();
  readonly #fences = new Map<ServerName, FencingToken>();
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
  recordFence(server: ServerName, fence: FencingToken): boolean {
    const highest = this.#fences.get(server);
    if (highest !== undefined && fence < highest) return false;
    this.#fences.set(server, fence);
    return true;
  }

  add(handle: ChargedPermitHandle): void {
    const { server, id } = handle.permit;
    const handles = this.#handles.get(server);
    if (handles === undefined) this.#handles.set(server, new Map([[id, handle]]));
    else handles.set(id, handle);
    this.#unsent.add(handle);
  }

  /** Removes a returned permit. False if it is not held. */
  remove(handle: ChargedPermitHandle): boolean {
    const handles = this.#handles.get(handle.permit.server);
    const held = handles?.delete(handle.permit.id) === true;
    if (handles?.size === 0) this.#handles.delete(handle.permit.server);
    this.#unsent.delete(handle);
    return held;
  }

  revoke({ server, permits }: Revoke): void {
    const handles = this.#handles.get(server);
    for (const id of permits) handles?.get(id)?.revoke();
  }

  /** Permits held for a server. */
  ofServer(server: ServerName): readonly Permit[] {
    return [...(this.#handles.get(server)?.values() ?? [])].map(({ permit }) => permit);
  }

  /** Returns permits that expired unused, and drops old permit ids. */
  tick(now: Milliseconds): void {
    this.#seen.rotate(now);
    for (const handle of this.#unsent) {
      if (!handle.expire(now)) return;
      this.#unsent.delete(handle);
    }
  }
}
