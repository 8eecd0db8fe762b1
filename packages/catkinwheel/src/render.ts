// Plain text output of the commands that call a router: tables and lists of changes.

import type { ChangeRecord, FleetStatus, ServerStatus, TeamUsage } from '@catkinwheel/protocol';
import type { Catalogue, CatalogueChange } from '@catkinwheel/state';

/** Formats a table; the first row is the heading, and columns are as wide as their widest cell. */
export function table(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

export function statusText({ revision, routers, unreachable }: FleetStatus): string {
  const phases = new Map(
    routers[0]?.members.map(({ router, phase }) => [router.name, phase] as const),
  );
  // The first router does not list itself among its members; it answered, so it is alive.
  const rows = routers.map((status) => [
    status.router.name,
    phases.get(status.router.name) ?? 'alive',
    status.router.dataCentre,
    status.router.vm,
    status.router.address,
    String(status.revision),
    yesNo(status.platform),
    yesNo(status.leaving),
    String(status.servers.length),
  ]);
  const heading = [
    'ROUTER',
    'STATE',
    'DATA CENTRE',
    'VM',
    'ADDRESS',
    'REVISION',
    'PLATFORM',
    'LEAVING',
    'KEEPER OF',
  ];
  const unreachableNote =
    unreachable.length === 0 ? [] : [`no response from ${unreachable.join(', ')}`];
  return [`catalogue revision ${revision}`, table([heading, ...rows]), ...unreachableNote].join(
    '\n',
  );
}

export function teamsText(teams: readonly TeamUsage[]): string {
  const rows = teams.map((usage) => [
    usage.team,
    usage.service,
    String(usage.waiting),
    seconds(usage.oldestWait),
    String(usage.inFlight),
    usage.level.toFixed(0),
  ]);
  return table([['TEAM', 'SERVICE', 'WAITING', 'OLDEST', 'IN FLIGHT', 'LEVEL'], ...rows]);
}

export function serversText(servers: readonly ServerStatus[]): string {
  const rows = servers.map((server) => [
    server.name,
    server.service,
    server.dataCentre,
    server.vm,
    server.drained ? 'drained' : (server.state?.phase ?? 'no keeper'),
    server.state === null ? '-' : `${server.state.inFlight}/${server.state.limit}`,
    server.keeper ?? '-',
  ]);
  const heading = ['SERVER', 'SERVICE', 'DATA CENTRE', 'VM', 'STATE', 'IN FLIGHT', 'KEEPER'];
  return table([heading, ...rows]);
}

export function historyText(history: readonly ChangeRecord[]): string {
  const rows = history.map(({ revision, at, author, change }) => [
    String(revision),
    at,
    author,
    change === null ? 'large change' : changeSummary(change),
  ]);
  return table([['REVISION', 'AT', 'BY', 'CHANGE'], ...rows]);
}

/** One line for each name that is added (`+`), modified (`~`) or removed (`-`). */
export function changeText(from: Catalogue, change: CatalogueChange): string {
  const lines = sections.flatMap((section) =>
    Object.entries(change[section]).map(([name, value]) => {
      const sign = value === null ? '-' : Object.hasOwn(from[section], name) ? '~' : '+';
      return `${sign} ${section}.${name}`;
    }),
  );
  const drain = change.drain === null ? [] : [`~ drain ${JSON.stringify(change.drain)}`];
  return [...lines, ...drain].join('\n');
}

const sections = ['services', 'servers', 'teams', 'entries'] as const;

function changeSummary(change: CatalogueChange): string {
  const counts = sections.flatMap((section) => {
    const names = Object.keys(change[section]);
    if (names.length === 0) return [];
    return [names.length === 1 ? `${section}.${names[0] ?? ''}` : `${names.length} ${section}`];
  });
  return [...counts, ...(change.drain === null ? [] : ['drain'])].join(', ');
}

function yesNo(value: boolean): string {
  return value ? 'yes' : 'no';
}

function seconds(milliseconds: number): string {
  return `${(milliseconds / 1000).toFixed(1)} s`;
}
