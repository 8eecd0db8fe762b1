// The rows of the table service that hold sessions and keepers, and how they are read.

import type { Row } from '@catkinwheel/protocol';
import { routerCodec } from '@catkinwheel/protocol';
import type {
  FencingToken,
  Incarnation,
  Milliseconds,
  Router,
  RouterName,
  ServerName,
  VmName,
} from '@catkinwheel/state';
import type { GetType } from 'purify-ts';
import { boolean, Codec, number, string } from 'purify-ts';

export const sessionPrefix = 'session/';
export const keeperPrefix = 'keeper/';

const SessionValue = Codec.interface({ router: routerCodec, renewal: number, released: boolean });

/** Value of a session row. */
export interface SessionValue {
  readonly router: Router;
  /** Counts the renewals of this incarnation, so that a lost answer can be told from an older one. */
  readonly renewal: number;
  readonly released: boolean;
}

const KeeperValue = Codec.interface({
  holder: string,
  incarnation: string,
  fence: number,
  released: boolean,
});
export type KeeperValue = GetType<typeof KeeperValue>;

/** A session row as last read. */
export interface SessionRow {
  readonly router: RouterName;
  readonly incarnation: Incarnation;
  readonly vm: VmName;
  readonly renewal: number;
  readonly released: boolean;
  readonly version: number;
  /** When this version was first seen, on the own clock. */
  readonly firstSeen: Milliseconds;
  /** When the last read that showed this version was sent, on the own clock. */
  readonly lastSeen: Milliseconds;
}

/** A keeper row as last read. */
export interface KeeperRow {
  readonly server: ServerName;
  readonly holder: RouterName;
  readonly incarnation: Incarnation;
  readonly fence: FencingToken;
  readonly released: boolean;
  readonly version: number;
}

export function sessionKey(router: RouterName): string {
  return `${sessionPrefix}${router}`;
}

export function keeperKey(server: ServerName): string {
  return `${keeperPrefix}${server}`;
}

/** Decodes a session row; undefined if its value has another form. */
export function sessionValue(row: Row): SessionValue | undefined {
  return SessionValue.decode(row.value).toMaybe().extract();
}

/** The identity in a session row that was not released, by which others find the router. */
export function unreleasedRouter(row: Row): Router | undefined {
  const value = sessionValue(row);
  return value?.released === false ? value.router : undefined;
}

/** Decodes a keeper row; undefined if its value has another form. */
export function decodeKeeperRow(row: Row): KeeperRow | undefined {
  return KeeperValue.decode(row.value)
    .map((value) => ({
      ...value,
      server: row.key.slice(keeperPrefix.length),
      version: row.version,
    }))
    .toMaybe()
    .extract();
}
