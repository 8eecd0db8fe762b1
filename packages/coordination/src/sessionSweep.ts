// Deletes the session rows of routers whose VM is gone, which would otherwise stay forever.

import type { Clock, Milliseconds, VmName } from '@catkinwheel/state';
import type { MemberView, Table } from './ports.js';
import { owner } from './rendezvous.js';
import { sessionKey } from './leaseRows.js';
import type { Session } from './session.js';

/** Minimum time without a change of a row before it is deleted. */
const minUnchangedTime: Milliseconds = 60_000;

export interface SessionSweepDependencies {
  readonly clock: Clock;
  readonly session: Session;
  readonly table: Table;
  readonly members: MemberView;
}

/** Deletes one old session row of a VM that is not in the VM list and for which this router is responsible. */
export async function sweepSessions(
  { clock, session, table, members }: SessionSweepDependencies,
  vms: ReadonlySet<VmName>,
): Promise<void> {
  if (!session.isHeld()) return;
  const names = members.alive().map(({ name }) => name);
  const old = session
    .sessionRows()
    .find(
      ({ router, vm, firstSeen }) =>
        !vms.has(vm) &&
        clock.now() - firstSeen >= minUnchangedTime &&
        session.hasLapsed(router) &&
        owner(sessionKey(router), names) === members.self.name,
    );
  if (old === undefined) return;
  const key = sessionKey(old.router);
  await table.transact({ checks: [{ key, version: old.version }], puts: [], deletes: [key] });
}
