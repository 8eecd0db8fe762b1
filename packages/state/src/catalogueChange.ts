// A change of the catalogue names only what differs, so that a single new key does not send
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

/** A change that was committed. It leads from `revision` - 1 to `revision`. */
export interface CommittedChange {
  readonly revision: Revision;
  readonly change: CatalogueChange;
  /** Who made the change, as operators name themselves. */
  readonly author: string;
  /** Date and time of the commit by the committing router's calendar clock, in ISO 8601. */
  readonly at: string;
}

/** A catalogue as operators write it. Without `drain` it leaves the present drains as they are. */
export type CatalogueDocument = Omit<Catalogue, 'revision' | 'drain'> & {
  readonly revision?: Revision;
  readonly drain?: Drain;
};

/** The change that leads from one catalogue to another. */
export function diffCatalogues(from: Catalogue, to: Catalogue): CatalogueChange {
  return {
    services: differing(from.services, to.services),
    servers: differing(from.servers, to.servers),
    teams: differing(from.teams, to.teams),
    entries: differing(from.entries, to.entries),
    drain: same(from.drain, to.drain) ? null : to.drain,
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
    services: patched(catalogue.services, change.services),
    servers: patched(catalogue.servers, change.servers),
    teams: patched(catalogue.teams, change.teams),
    entries: patched(catalogue.entries, change.entries),
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

/** What operators take out of service or put back. */
export type DrainTarget =
  | { readonly kind: 'dataCentre'; readonly name: DataCentreName }
  | { readonly kind: 'vm'; readonly name: VmName };

/** The change that takes a data centre or VM out of service, or puts it back. */
export function drainChange(
  catalogue: Catalogue,
  target: DrainTarget,
  isDrained: boolean,
): CatalogueChange {
  const { dataCentres, vms } = catalogue.drain;
  const toggled = (names: readonly string[]): readonly string[] => {
    const others = names.filter((name) => name !== target.name);
    return isDrained ? [...others, target.name].sort() : others;
  };
  const drain: Drain =
    target.kind === 'vm'
      ? { dataCentres, vms: toggled(vms) }
      : { dataCentres: toggled(dataCentres), vms };
  return diffCatalogues(catalogue, { ...catalogue, drain });
}

type Named<T> = Readonly<Record<string, T>>;

function differing<T>(from: Named<T>, to: Named<T>): Named<T | null> {
  const put = Object.entries(to).filter(([name, value]) => !same(own(from, name), value));
  const removed = Object.keys(from)
    .filter((name) => !Object.hasOwn(to, name))
    .map((name): [string, null] => [name, null]);
  return Object.fromEntries<T | null>([...put, ...removed]);
}

function patched<T>(part: Named<T>, change: Named<T | null>): Named<T> {
  if (Object.keys(change).length === 0) return part;
  const result: Record<string, T> = { ...part };
  for (const [name, value] of Object.entries(change)) {
    if (value === null) Reflect.deleteProperty(result, name);
    else result[name] = value;
  }
  return result;
}

function own<T>(part: Named<T>, name: string): T | undefined {
  return Object.hasOwn(part, name) ? part[name] : undefined;
}

/** Equality of JSON values, whatever the order of properties. */
function same(a: unknown, b: unknown): boolean {
  if (a === b) return true;
  if (typeof a !== 'object' || typeof b !== 'object' || a === null || b === null) return false;
  if (Array.isArray(a) !== Array.isArray(b)) return false;
  const left = a as Readonly<Record<string, unknown>>;
  const right = b as Readonly<Record<string, unknown>>;
  const keys = Object.keys(left);
  return (
    keys.length === Object.keys(right).length &&
    keys.every((key) => Object.hasOwn(right, key) && same(left[key], right[key]))
  );
}
