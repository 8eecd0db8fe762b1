// Puts the logs of several routers on a common timeline. The VMs' clocks differ and jump, but every router logs
// each version of the store's tables, and a version reaches all routers at nearly the same time.

import type { Milliseconds } from '@catkinwheel/state';
import type { LogLine } from './routerLog.js';

/** Events that every router logs, each with the version of a store table. */
const sharedEvents: ReadonlySet<string> = new Set(['operators table', 'servers table']);

/** One run of a router process. */
interface Run {
  readonly key: string;
  /** Time of day at its start, by the VM's clock when the first line was logged. */
  readonly start: Milliseconds;
  /** Time since the start at which each shared version was first logged. */
  readonly versions: Map<string, Milliseconds>;
}

/** Maps log lines of several runs to a common time. */
export class Timeline {
  private constructor(
    /** Common time at which each run started. */
    private readonly starts: ReadonlyMap<string, Milliseconds>,
    /** Runs whose log times could not be matched with those of other runs; the time of day at their start is used. */
    readonly unaligned: ReadonlySet<string>,
  ) {}

  /** Aligns the runs that wrote `lines`. The lines of each run must be in order. */
  static create(lines: Iterable<LogLine>): Timeline {
    const runs = [...collectRuns(lines).values()].sort((a, b) => b.versions.size - a.versions.size);
    const starts = new Map<string, Milliseconds>();
    const [reference] = runs;
    if (reference !== undefined) starts.set(reference.key, reference.start);
    // Runs that share no version with the reference may share one with a run that is already aligned.
    for (let alignedCount = 0; alignedCount < starts.size;) {
      alignedCount = starts.size;
      for (const run of runs) {
        if (starts.has(run.key)) continue;
        const start = estimateStart(run, runs, starts);
        if (start !== undefined) starts.set(run.key, start);
      }
      if (alignedCount === starts.size) break;
    }
    const unaligned = runs.filter(({ key }) => !starts.has(key));
    for (const { key, start } of unaligned) starts.set(key, start);
    return new Timeline(starts, new Set(unaligned.map(({ key }) => key)));
  }

  /** Common time of a line. */
  at(line: LogLine): Milliseconds {
    return (this.starts.get(runKey(line)) ?? line.time - line.up) + line.up;
  }
}

/** Identifies the run that wrote the line. */
export function runKey({ router, boot }: LogLine): string {
  return `${router} ${boot}`;
}

function collectRuns(lines: Iterable<LogLine>): Map<string, Run> {
  const runs = new Map<string, Run>();
  for (const line of lines) {
    const key = runKey(line);
    let run = runs.get(key);
    if (run === undefined) {
      run = { key, start: line.time - line.up, versions: new Map() };
      runs.set(key, run);
    }
    const { version } = line.fields;
    if (!sharedEvents.has(line.event) || typeof version !== 'number') continue;
    const name = `${line.event} ${version}`;
    if (!run.versions.has(name)) run.versions.set(name, line.up);
  }
  // The first version that a run logs may have been published long before, so its time can't be compared.
  for (const run of runs.values()) {
    for (const event of sharedEvents) {
      const first = [...run.versions.keys()].find((name) => name.startsWith(event));
      if (first !== undefined) run.versions.delete(first);
    }
  }
  return runs;
}

/** Median of the estimates from shared versions; undefined if none is shared with an aligned run. */
function estimateStart(
  run: Run,
  runs: readonly Run[],
  starts: ReadonlyMap<string, Milliseconds>,
): Milliseconds | undefined {
  const estimates: Milliseconds[] = [];
  for (const other of runs) {
    const start = starts.get(other.key);
    if (start === undefined) continue;
    for (const [name, up] of other.versions) {
      const own = run.versions.get(name);
      if (own !== undefined) estimates.push(start + up - own);
    }
  }
  estimates.sort((a, b) => a - b);
  return estimates[Math.floor(estimates.length / 2)];
}
