// Types of the platform's API: table service, object store and VM list.

import type { DataCentreName, VmName } from '@catkinwheel/state';

/**
 * A row of the table service. The version rises with each write of the key; 0 means that there is
 * no row.
 */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** Precondition of a transaction: the current version of a row. */
export interface VersionCheck {
  readonly key: string;
  readonly version: number;
}

export interface Put {
  readonly key: string;
  readonly value: unknown;
}

/** Applied atomically if every check matches, otherwise not at all. */
export interface Transaction {
  readonly checks: readonly VersionCheck[];
  readonly puts: readonly Put[];
  readonly deletes: readonly string[];
}

/** The version that a committed transaction gave to each row that it wrote. */
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
  /** No response came; the write may have taken effect and must be read back. */
  | { readonly kind: 'unknown'; readonly detail: string };
