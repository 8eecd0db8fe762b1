// Routers judge each other's sessions by when they saw a row change, never by another clock; and a
// router that just started remembers whom it found.

import type { Row } from '@catkinwheel/protocol';
import type { Milliseconds, RouterName, VmName } from '@catkinwheel/state';
import type { SessionRow } from './leaseRows.js';
import { sessionValue } from './leaseRows.js';

/** The session rows as one router has observed them. */
export class SessionList {
  readonly #self: RouterName;
  #rows: readonly SessionRow[] | undefined;
  /** Sessions of other routers found by the first read that still hold back this router. */
  #found: readonly SessionRow[] | undefined;
  #clearedAt: Milliseconds | undefined;
  #readAt = Number.NEGATIVE_INFINITY;

  private constructor(self: RouterName) {
    this.#self = self;
  }

  static create(self: RouterName): SessionList {
    return new SessionList(self);
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

  /** Takes over the rows of a read that was sent at `sent` and answered at `now`. */
  update(rows: readonly Row[], sent: Milliseconds, now: Milliseconds): void {
    this.#rows = rows.flatMap((row) => {
      const value = sessionValue(row);
      if (value === undefined) return [];
      const { renewal, released } = value;
      const { name: router, incarnation, vm } = value.router;
      const { version } = row;
      const earlier = this.row(router);
      const firstSeen = earlier?.version === version ? earlier.firstSeen : now;
      return [{ router, incarnation, vm, renewal, released, version, firstSeen, lastSeen: sent }];
    });
    this.#readAt = sent;
    if (this.#found !== undefined) return;
    this.#found = this.#rows.filter(({ router, released }) => router !== this.#self && !released);
    if (this.#found.length === 0) this.#clearedAt = Number.NEGATIVE_INFINITY;
  }

  /** Whether a row is absent, released or was seen unchanged over `ttl`. False before the first read. */
  hasLapsed(router: RouterName, ttl: Milliseconds): boolean {
    if (this.#rows === undefined) return false;
    const row = this.row(router);
    return row === undefined || row.released || row.lastSeen - row.firstSeen >= ttl;
  }

  /** A router answered this incarnation; it counts if the first read found it. */
  acknowledged(router: RouterName, now: Milliseconds): void {
    if (this.#found?.some((row) => row.router === router) === true) this.#clearedAt ??= now;
  }

  /** Forgets found routers whose VM no longer exists. */
  vmsListed(vms: ReadonlySet<VmName>, now: Milliseconds): void {
    if (this.#found === undefined || this.#found.length === 0) return;
    this.#found = this.#found.filter(({ vm }) => vms.has(vm));
    if (this.#found.length === 0) this.#clearedAt ??= now;
  }

  /** Whether nobody had acknowledged this router by `time`. */
  isStarting(time: Milliseconds): boolean {
    return this.#clearedAt === undefined || this.#clearedAt > time;
  }
}
