// The platform's table service, object store and VM list, as published by the platform.

import type { DataCentreName, VmName } from '@catkinwheel/state';

/** A row of the table service. Versions rise with each write of the key; 0 means absent. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

export interface VersionCheck {
  readonly key: string;
  readonly version: number;
}

export interface Put {
  readonly key: string;
  readonly value: unknown;
}

/** Applied as a whole if every check matches the current version, else not at all. */
export interface Transaction {
  readonly checks: readonly VersionCheck[];
  readonly puts: readonly Put[];
  readonly deletes: readonly string[];
}

/** The version that a committed transaction gave to each row it wrote. */
export interface Commit {
  readonly version: number;
}

export interface Vm {
  readonly vm: VmName;
  readonly dataCentre: DataCentreName;
  readonly state: 'live' | 'leaving';
}

/** Why a request to the platform did not succeed. */
export type PlatformFailure =
  /** A check did not match; nothing was written. */
  | { readonly kind: 'conflict'; readonly keys: readonly string[] }
  /** The platform refused or could not be reached; nothing was written. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** No answer came; the write may have taken effect and must be read back. */
  | { readonly kind: 'unknown'; readonly detail: string };
