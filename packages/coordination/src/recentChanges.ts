// Keeps recent catalogue changes, so that a peer that is a few revisions behind gets only those.

import type { CommittedChange, Revision } from '@catkinwheel/state';

/** Maximum number of changes: about half an hour at the planned load of 16,000 changes a day. */
const maxChanges = 400;
/** Maximum size of the changes as JSON text. */
const maxBytes = 2 * 1024 * 1024;

interface RecentChange {
  readonly committed: CommittedChange;
  readonly bytes: number;
}

/** A bounded sequence of changes without gaps that ends at the current revision. */
export class RecentChanges {
  #changes: readonly RecentChange[] = [];

  static create(): RecentChanges {
    return new RecentChanges();
  }

  /** Adds the changes up to `revision`. If some are missing, all older changes are dropped. */
  add(changes: readonly CommittedChange[], revision: Revision): void {
    const first = changes[0];
    const last = this.#changes.at(-1)?.committed;
    const isComplete = changes.at(-1)?.revision === revision;
    const follows = last === undefined || first?.revision === last.revision + 1;
    const added = isComplete
      ? changes.map((committed) => ({ committed, bytes: JSON.stringify(committed).length }))
      : [];
    this.#changes = withinBounds(isComplete && follows ? [...this.#changes, ...added] : added);
  }

  /** Changes after `revision` up to `current`; undefined if some of them were dropped. */
  since(revision: Revision, current: Revision): readonly CommittedChange[] | undefined {
    if (revision >= current) return [];
    const changes = this.#changes
      .map(({ committed }) => committed)
      .filter((committed) => committed.revision > revision);
    return changes.length === current - revision ? changes : undefined;
  }
}

function withinBounds(changes: readonly RecentChange[]): readonly RecentChange[] {
  let bytes = 0;
  let start = changes.length;
  while (start > 0 && changes.length - start < maxChanges) {
    bytes += changes[start - 1]?.bytes ?? 0;
    if (bytes > maxBytes) break;
    start -= 1;
  }
  return changes.slice(start);
}
