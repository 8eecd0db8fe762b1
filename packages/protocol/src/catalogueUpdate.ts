// How routers pass the catalogue to each other.

import type { Catalogue, CommittedChange } from '@catkinwheel/state';

/** Brings a router from the revision that it has to the newest one that its peer has. */
export type CatalogueUpdate =
  /** Changes in order of revision, without gaps; empty if the asking router is up to date. */
  | { readonly kind: 'changes'; readonly changes: readonly CommittedChange[] }
  /** The whole catalogue, if the peer no longer has the changes or they are larger. */
  | { readonly kind: 'snapshot'; readonly catalogue: Catalogue };
