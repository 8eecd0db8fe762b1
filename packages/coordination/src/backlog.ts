// Keeps recent catalogue changes, so that a peer that is a few revisions behind gets only those.

import type { CommittedChange, Revision } from '@catkinwheel/state';

/** Maximum number of changes: about half an hour at the planned load of 16,000 changes a day. */
const largestBacklog = 400;
/** Maximum size of the changes as JSON text. */
const largestBacklogBytes = 2 * 1024 * 1024;

interface Kept {
  readonly committed: CommittedChange;
  readonly bytes: number;
}

/** A bounded sequence of changes without gaps that ends at the current revision. */
export class Backlog {
  #kept: readonly Kept[] = [];

  static create(): Backlog {
    return new Backlog();
  }

  /** Adds the changes up to `revision`. If some are missing, all older changes are dropped. */
  add(changes: readonly CommittedChange[], revision: Revision): void {
    const first = changes[0];
    const last = this.#kept.at(-1)?.committed;
    const isComplete = changes.at(-1)?.revision === revision;
    const follows = last === undefined || first?.revision === last.revision + 1;
    const added = isComplete
      ? changes.map((committed) => ({ committed, bytes: JSON.stringify(committed).length }))
      : [];
    this.#kept = bounded(isComplete && follows ? [...this.#kept, ...added] : added);
  }

  /** Changes after `revision` up to `current`; undefined if some of them were dropped. */
  since(revision: Revision, current: Revision): readonly CommittedChange[] | undefined {
    if (revision >= current) return [];
    const changes = this.#kept
      .map(({ committed }) => committed)
      .filter((committed) => committed.revision > revision);
    return changes.length === current - revision ? changes : undefined;
  }
}

function bounded(kept: readonly Kept[]): readonly Kept[] {
  let bytes = 0;
  let start = kept.length;
  while (start > 0 && kept.length - start < largestBacklog) {
    bytes += kept[start - 1]?.bytes ?? 0;
    if (bytes > largestBacklogBytes) break;
    start -= 1;
  }
  return kept.slice(start);
}
