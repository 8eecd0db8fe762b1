// Recent changes of the catalogue, so that a peer that is a little behind gets only these.

import type { CommittedChange, Revision } from '@catkinwheel/state';

/** Changes kept; at the size to come (16,000 changes a day) about half an hour. */
const largestBacklog = 400;
/** Size of the kept changes as JSON. */
const largestBacklogBytes = 2 * 1024 * 1024;

interface Kept {
  readonly committed: CommittedChange;
  readonly bytes: number;
}

/** A bounded run of changes without gaps that ends at the present revision. */
export class RecentChanges {
  #kept: readonly Kept[] = [];

  static create(): RecentChanges {
    return new RecentChanges();
  }

  /** Adds changes that lead to `revision`; a jump to it without all changes empties the backlog. */
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

  /** Changes after `revision` up to `current`; undefined if they are not all here. */
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
