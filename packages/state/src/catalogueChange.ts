// Catalogue changes carry only the values that differ, so that one added key of a team does not send
// thousands of teams over the network.

import type { Catalogue, Drain, Entry, Server, Service, Team } from './catalogue.js';
import type {
  DataCentreName,
  EntryName,
  Revision,
  ServerName,
  ServiceName,
  TeamName,
  VmName,
} from './identity.js';

/** New values by name; null removes the name. `drain` replaces the whole value unless null. */
export interface CatalogueChange {
  readonly services: Readonly<Record<ServiceName, Service | null>>;
  readonly servers: Readonly<Record<ServerName, Server | null>>;
  readonly teams: Readonly<Record<TeamName, Team | null>>;
  readonly entries: Readonly<Record<EntryName, Entry | null>>;
  readonly drain: Drain | null;
}

/** A committed change, which leads from `revision` - 1 to `revision`. */
export interface CommittedChange {
  readonly revision: Revision;
  readonly change: CatalogueChange;
  /** The operator who made the change, by the name given with it. */
  readonly author: string;
  /** Time of the commit by the wall clock of the committing router, in ISO 8601. */
  readonly at: string;
}

/**
 * A catalogue as operators write it. `revision`, if given, is the one that it was edited from. Without
 * `drain`, the current drains stay in force.
 */
export type CatalogueDocument = Omit<Catalogue, 'revision' | 'drain'> & {
  readonly revision?: Revision;
  readonly drain?: Drain;
};

/** The change that leads from one catalogue to another. */
export function diffCatalogues(from: Catalogue, to: Catalogue): CatalogueChange {
  return {
    services: diffRecords(from.services, to.services),
    servers: diffRecords(from.servers, to.servers),
    teams: diffRecords(from.teams, to.teams),
    entries: diffRecords(from.entries, to.entries),
    drain: isEqualJson(from.drain, to.drain) ? null : to.drain,
  };
}

/** The catalogue after a change, with the given revision. */
export function applyChange(
  catalogue: Catalogue,
  change: CatalogueChange,
  revision: Revision,
): Catalogue {
  return {
    revision,
    services: patchRecord(catalogue.services, change.services),
    servers: patchRecord(catalogue.servers, change.servers),
    teams: patchRecord(catalogue.teams, change.teams),
    entries: patchRecord(catalogue.entries, change.entries),
    drain: change.drain ?? catalogue.drain,
  };
}

/** Whether a change changes nothing. */
export function isEmptyChange(change: CatalogueChange): boolean {
  return (
    change.drain === null &&
    [change.services, change.servers, change.teams, change.entries].every(
      (part) => Object.keys(part).length === 0,
    )
  );
}

/** The data centre or VM that operators drain or restore. */
export type DrainTarget =
  | { readonly kind: 'dataCentre'; readonly name: DataCentreName }
  | { readonly kind: 'vm'; readonly name: VmName };

/** The change that drains a data centre or VM, or restores it to service. */
export function drainChange(
  catalogue: Catalogue,
  target: DrainTarget,
  shouldDrain: boolean,
): CatalogueChange {
  const { dataCentres, vms } = catalogue.drain;
  const withTarget = (names: readonly string[]): readonly string[] => {
    const others = names.filter((name) => name !== target.name);
    return shouldDrain ? [...others, target.name].sort() : others;
  };
  const drain: Drain =
    target.kind === 'vm'
      ? { dataCentres, vms: withTarget(vms) }
      : { dataCentres: withTarget(dataCentres), vms };
  return diffCatalogues(catalogue, { ...catalogue, drain });
}

type ByName<T> = Readonly<Record<string, T>>;

function diffRecords<T>(from: ByName<T>, to: ByName<T>): ByName<T | null> {
  const put = Object.entries(to).filter(
    ([name, value]) => !isEqualJson(ownValue(from, name), value),
  );
  const removed = Object.keys(from)
    .filter((name) => !Object.hasOwn(to, name))
    .map((name): [string, null] => [name, null]);
  return Object.fromEntries<T | null>([...put, ...removed]);
}

function patchRecord<T>(part: ByName<T>, change: ByName<T | null>): ByName<T> {
  if (Object.keys(change).length === 0) return part;
  const result: Record<string, T> = { ...part };
  for (const [name, value] of Object.entries(change)) {
    if (value === null) Reflect.deleteProperty(result, name);
    else result[name] = value;
  }
  return result;
}

function ownValue<T>(part: ByName<T>, name: string): T | undefined {
  return Object.hasOwn(part, name) ? part[name] : undefined;
}

/** Deep equality of JSON values, independent of the order of properties. */
function isEqualJson(a: unknown, b: unknown): boolean {
  if (a === b) return true;
  if (typeof a !== 'object' || typeof b !== 'object' || a === null || b === null) return false;
  if (Array.isArray(a) !== Array.isArray(b)) return false;
  const left = a as Readonly<Record<string, unknown>>;
  const right = b as Readonly<Record<string, unknown>>;
  const keys = Object.keys(left);
  return (
    keys.length === Object.keys(right).length &&
    keys.every((key) => Object.hasOwn(right, key) && isEqualJson(left[key], right[key]))
  );
}
