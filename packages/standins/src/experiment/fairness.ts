// Checks over windows of a few seconds that teams got fair shares of the requests that servers started.

import type { Milliseconds } from '@catkinwheel/state';
import type { RequestOutcome } from './emulator.js';

const second: Milliseconds = 1_000;
/** Length of the windows over which shares are compared. */
const windowSeconds = 6;
/** Minimum fraction of its due that a team must get. */
const minDueFraction = 0.5;
/** A team may fall short of that minimum by this many of its largest requests. */
const toleratedRequests = 3;

/** A window in which a team got too little. Amounts are prompt tokens plus the output limit. */
export interface UnfairWindow {
  readonly team: string;
  /** Start of the window in seconds of the scenario. */
  readonly from: number;
  readonly requestedTokens: number;
  readonly startedTokens: number;
  readonly bestTeam: string;
  readonly bestTeamTokens: number;
}

/**
 * The windows in which a team was starved: in each second it had a request that was late, refused or failed, and it got
 * less than `minDueFraction` of its due. The due of a second is the tokens that the team requested or the tokens that
 * the best-served team of the window got, whichever is less.
 */
export function findUnfairWindows(
  outcomes: readonly RequestOutcome[],
  seconds: number,
): readonly UnfairWindow[] {
  const teams = [...new Set(outcomes.map(({ arrival }) => arrival.team))];
  const requested = tokensPerSecond(outcomes, seconds, ({ arrival }) => arrival.at);
  const started = tokensPerSecond(outcomes, seconds, ({ startedAt }) => startedAt);
  const delayed = delayedPerSecond(outcomes, seconds);
  const unfair: UnfairWindow[] = [];
  for (let from = 0; from + windowSeconds <= seconds; from += 1) {
    const secondsOfWindow = Array.from({ length: windowSeconds }, (_, index) => from + index);
    const total = (of: PerSecond, team: string): number =>
      secondsOfWindow.reduce((sum, at) => sum + (of.get(team)?.[at] ?? 0), 0);
    const [bestTeam] = [...teams].sort((a, b) => total(started, b) - total(started, a));
    if (bestTeam === undefined) return [];
    for (const team of teams) {
      if (!secondsOfWindow.every((at) => (delayed.get(team)?.[at] ?? 0) > 0)) continue;
      const due = secondsOfWindow.reduce((sum, at) => {
        return sum + Math.min(requested.get(team)?.[at] ?? 0, started.get(bestTeam)?.[at] ?? 0);
      }, 0);
      const tolerated = toleratedRequests * largestRequestOf(outcomes, team);
      if (total(started, team) + tolerated >= minDueFraction * due) continue;
      const bestTeamTokens = total(started, bestTeam);
      unfair.push({
        team,
        from,
        requestedTokens: total(requested, team),
        startedTokens: total(started, team),
        bestTeam,
        bestTeamTokens,
      });
    }
  }
  return unfair;
}

/** By team, an amount for each second of the scenario. */
type PerSecond = ReadonlyMap<string, readonly number[]>;

function tokensPerSecond(
  outcomes: readonly RequestOutcome[],
  seconds: number,
  timeOf: (request: RequestOutcome) => Milliseconds | undefined,
): PerSecond {
  const sums = new Map<string, number[]>();
  for (const request of outcomes) {
    const at = timeOf(request);
    if (at === undefined) continue;
    const { team } = request.arrival;
    const row = sums.get(team) ?? Array.from({ length: seconds }, () => 0);
    sums.set(team, row);
    const index = Math.floor(at / second);
    if (index < seconds) row[index] = (row[index] ?? 0) + tokensOf(request);
  }
  return sums;
}

/** By team, the requests that arrived in each second and were late, refused or failed. */
function delayedPerSecond(outcomes: readonly RequestOutcome[], seconds: number): PerSecond {
  const sums = new Map<string, number[]>();
  for (const { arrival, result } of outcomes) {
    if (result === 'onTime') continue;
    const row = sums.get(arrival.team) ?? Array.from({ length: seconds }, () => 0);
    sums.set(arrival.team, row);
    const index = Math.floor(arrival.at / second);
    row[index] = (row[index] ?? 0) + 1;
  }
  return sums;
}

function largestRequestOf(outcomes: readonly RequestOutcome[], team: string): number {
  const sizes = outcomes.filter(({ arrival }) => arrival.team === team).map(tokensOf);
  return Math.max(0, ...sizes);
}

function tokensOf({ arrival }: RequestOutcome): number {
  return arrival.prompt.promptTokens + arrival.prompt.outputLimit;
}
