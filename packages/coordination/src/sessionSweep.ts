// Session rows of routers whose VM is gone would stay forever; nobody else deletes them.

import type { Clock, Milliseconds, VmName } from '@catkinwheel/state';
import type { MemberView, Table } from './ports.js';
import { owner } from './rendezvous.js';
import { sessionKey } from './leaseRows.js';
import type { Session } from './session.js';

/** A row is deleted only when its version has not changed for this long. */
const sweepAge: Milliseconds = 60_000;

export interface SessionSweepParts {
  readonly clock: Clock;
  readonly session: Session;
  readonly table: Table;
  readonly members: MemberView;
}

/** Deletes one old session row of a VM that is not in the VM list, if this router is its sweeper. */
export async function sweepSessions(
  { clock, session, table, members }: SessionSweepParts,
  vms: ReadonlySet<VmName>,
): Promise<void> {
  if (!session.isHeld()) return;
  const names = members.alive().map(({ name }) => name);
  const old = session
    .sessionRows()
    .find(
      ({ router, vm, firstSeen }) =>
        !vms.has(vm) &&
        clock.now() - firstSeen >= sweepAge &&
        session.hasLapsed(router) &&
        owner(sessionKey(router), names) === members.self.name,
    );
  if (old === undefined) return;
  const key = sessionKey(old.router);
  await table.transact({ checks: [{ key, version: old.version }], puts: [], deletes: [key] });
}
