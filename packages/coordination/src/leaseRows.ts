// Keys, values and decoders of the table rows that hold the leases of sessions and keepers. A session is the lease by
// which an incarnation of a router shows that it is alive.

import type { Row } from '@catkinwheel/protocol';
import { decodeForeign, routerCodec } from '@catkinwheel/protocol';
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
  /** Number of renewals by this incarnation. Shows whether a renewal whose response was lost took effect. */
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
  /** When this version was first seen, on this router's clock. */
  readonly firstSeen: Milliseconds;
  /** When the last read that showed this version was sent, on this router's clock. */
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

/** Decodes the value of a session row; undefined if it is malformed. */
export function decodeSessionValue(row: Row): SessionValue | undefined {
  return decodeForeign(SessionValue, row.value).unwrapOr(undefined);
}

/**
 * The router that a session row describes, with the addresses at which others reach it; undefined if the session was
 * released.
 */
export function routerOfOpenSession(row: Row): Router | undefined {
  const value = decodeSessionValue(row);
  return value?.released === false ? value.router : undefined;
}

/** Decodes a keeper row; undefined if its value is malformed. */
export function decodeKeeperRow(row: Row): KeeperRow | undefined {
  return decodeForeign(KeeperValue, row.value)
    .map((value) => ({
      ...value,
      server: row.key.slice(keeperPrefix.length),
      version: row.version,
    }))
    .unwrapOr(undefined);
}
