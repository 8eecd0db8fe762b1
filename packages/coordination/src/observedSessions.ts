// The session rows as this router observes them. Age counts from when it saw a row change, never by another
// router's clock; and a newly started router waits until one of the routers that it found acknowledges it.

import type { Row } from '@catkinwheel/protocol';
import type { Milliseconds, RouterName, VmName } from '@catkinwheel/state';
import type { SessionRow } from './leaseRows.js';
import { decodeSessionValue } from './leaseRows.js';

/** Session rows of the last read, with the times at which they were observed. */
export class ObservedSessions {
  readonly #self: RouterName;
  #rows: readonly SessionRow[] | undefined;
  /** Sessions of other routers found by the first read, for whose acknowledgement this router waits. */
  #awaited: readonly SessionRow[] | undefined;
  #startedUpAt: Milliseconds | undefined;
  #readAt = Number.NEGATIVE_INFINITY;

  private constructor(self: RouterName) {
    this.#self = self;
  }

  static create(self: RouterName): ObservedSessions {
    return new ObservedSessions(self);
  }

  /** Rows in key order; undefined before the first read. */
  rows(): readonly SessionRow[] | undefined {
    return this.#rows;
  }

  /** When the last successful read was sent. */
  readAt(): Milliseconds {
    return this.#readAt;
  }

  row(router: RouterName): SessionRow | undefined {
    return this.#rows?.find((row) => row.router === router);
  }

  /** Replaces the rows by those of a read that was sent at `sent` and answered at `now`. */
  update(rows: readonly Row[], sent: Milliseconds, now: Milliseconds): void {
    this.#rows = rows.flatMap((row) => {
      const value = decodeSessionValue(row);
      if (value === undefined) return [];
      const { renewal, released } = value;
      const { name: router, incarnation, vm } = value.router;
      const { version } = row;
      const earlier = this.row(router);
      const firstSeen = earlier?.version === version ? earlier.firstSeen : now;
      return [{ router, incarnation, vm, renewal, released, version, firstSeen, lastSeen: sent }];
    });
    this.#readAt = sent;
    if (this.#awaited !== undefined) return;
    this.#awaited = this.#rows.filter(({ router, released }) => router !== this.#self && !released);
    if (this.#awaited.length === 0) this.#startedUpAt = Number.NEGATIVE_INFINITY;
  }

  /** Whether a row is absent, released or was seen unchanged over `ttl`. False before the first read. */
  hasLapsed(router: RouterName, ttl: Milliseconds): boolean {
    if (this.#rows === undefined) return false;
    const row = this.row(router);
    return row === undefined || row.released || row.lastSeen - row.firstSeen >= ttl;
  }

  /** Records an acknowledgement of this incarnation; it counts if the first read found that router. */
  recordAcknowledgement(router: RouterName, now: Milliseconds): void {
    if (this.#awaited?.some((row) => row.router === router) === true) this.#startedUpAt ??= now;
  }

  /** Stops waiting for routers whose VM no longer exists. */
  updateVmList(vms: ReadonlySet<VmName>, now: Milliseconds): void {
    if (this.#awaited === undefined || this.#awaited.length === 0) return;
    this.#awaited = this.#awaited.filter(({ vm }) => vms.has(vm));
    if (this.#awaited.length === 0) this.#startedUpAt ??= now;
  }

  /** Whether this router still waited for an acknowledgement at `time`. */
  isStarting(time: Milliseconds): boolean {
    return this.#startedUpAt === undefined || this.#startedUpAt > time;
  }
}
