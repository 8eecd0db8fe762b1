// Whether teams got fair parts of what the servers began, over windows of a few seconds.

import type { Milliseconds } from '@catkinwheel/state';
import type { Served } from './emulator.js';

const second: Milliseconds = 1_000;
/** Seconds over which shares are compared. */
const windowLength = 6;
/** Part of its due that a team has to get. */
const duePart = 0.5;
/** A team may miss its due by as many of its largest requests. */
const toleratedRequests = 3;

/** A team that got too little in a window. Amounts are tokens, read and generated ones alike. */
export interface Unfair {
  readonly team: string;
  /** Second of the day at which the window begins. */
  readonly from: number;
  readonly asked: number;
  readonly got: number;
  readonly best: string;
  readonly bestGot: number;
}

/**
 * The teams that waited all through a window, having in each second a request that was refused, failed or began later than
 * its aim, and got less than half of what they asked or the best served team got, whichever is less, second by second.
 */
export function unfairTeams(served: readonly Served[], seconds: number): readonly Unfair[] {
  const teams = [...new Set(served.map(({ arrival }) => arrival.team))];
  const asked = amounts(served, seconds, ({ arrival }) => arrival.at);
  const got = amounts(served, seconds, ({ begun }) => begun);
  const waited = waits(served, seconds);
  const unfair: Unfair[] = [];
  for (let from = 0; from + windowLength <= seconds; from += 1) {
    const window = Array.from({ length: windowLength }, (_, index) => from + index);
    const total = (of: Amounts, team: string): number =>
      window.reduce((sum, at) => sum + (of.get(team)?.[at] ?? 0), 0);
    const [best] = [...teams].sort((a, b) => total(got, b) - total(got, a));
    if (best === undefined) return [];
    for (const team of teams) {
      if (!window.every((at) => (waited.get(team)?.[at] ?? 0) > 0)) continue;
      const due = window.reduce((sum, at) => {
        return sum + Math.min(asked.get(team)?.[at] ?? 0, got.get(best)?.[at] ?? 0);
      }, 0);
      const tolerated = toleratedRequests * largestOf(served, team);
      if (total(got, team) + tolerated >= duePart * due) continue;
      const bestGot = total(got, best);
      unfair.push({ team, from, asked: total(asked, team), got: total(got, team), best, bestGot });
    }
  }
  return unfair;
}

/** By team, an amount for each second of the day. */
type Amounts = ReadonlyMap<string, readonly number[]>;

function amounts(
  served: readonly Served[],
  seconds: number,
  timeOf: (request: Served) => Milliseconds | undefined,
): Amounts {
  const sums = new Map<string, number[]>();
  for (const request of served) {
    const at = timeOf(request);
    if (at === undefined) continue;
    const { team } = request.arrival;
    const row = sums.get(team) ?? Array.from({ length: seconds }, () => 0);
    sums.set(team, row);
    const index = Math.floor(at / second);
    if (index < seconds) row[index] = (row[index] ?? 0) + costOf(request);
  }
  return sums;
}

/** By team, the requests in each second that waited for longer than their aim or were not served. */
function waits(served: readonly Served[], seconds: number): Amounts {
  const sums = new Map<string, number[]>();
  for (const { arrival, result } of served) {
    if (result === 'inAim') continue;
    const row = sums.get(arrival.team) ?? Array.from({ length: seconds }, () => 0);
    sums.set(arrival.team, row);
    const index = Math.floor(arrival.at / second);
    row[index] = (row[index] ?? 0) + 1;
  }
  return sums;
}

function largestOf(served: readonly Served[], team: string): number {
  const costs = served.filter(({ arrival }) => arrival.team === team).map(costOf);
  return Math.max(0, ...costs);
}

function costOf({ arrival }: Served): number {
  return arrival.prompt.promptTokens + arrival.prompt.outputLimit;
}
