// The arithmetic of the measures, apart from the runs that produce their figures.

import type { Milliseconds, TeamName } from '@catkinwheel/state';

/** What one team had received at one moment. */
export interface TeamSample {
  /** Service received so far divided by the weight. */
  readonly level: number;
  /** Whether the team had work waiting. */
  readonly isWaiting: boolean;
}

/** All teams at one moment. */
export interface Sample {
  readonly at: Milliseconds;
  readonly teams: ReadonlyMap<TeamName, TeamSample>;
}

/** The largest gap found, and where. */
export interface Gap {
  readonly gap: number;
  readonly at: Milliseconds;
  readonly least: TeamName;
  readonly most: TeamName;
  /** Windows in which at least two teams were waiting throughout. */
  readonly windows: number;
}

/**
 * The largest difference of normalised service between two teams that both had work waiting at
 * every sample of a window, over all windows of `width`. Samples are in order of time.
 */
export function largestGap(samples: readonly Sample[], width: Milliseconds): Gap {
  let largest: Gap = { gap: 0, at: 0, least: '', most: '', windows: 0 };
  let windows = 0;
  let first = 0;
  for (const [last, sample] of samples.entries()) {
    while ((samples[first + 1]?.at ?? Infinity) <= sample.at - width) first += 1;
    if (sample.at - (samples[first]?.at ?? Infinity) < width) continue;
    const window = samples.slice(first, last + 1);
    const gains = gainsIn(window).sort((a, b) => a.gain - b.gain);
    const [least, most] = [gains[0], gains.at(-1)];
    if (least === undefined || most === undefined || gains.length < 2) continue;
    windows += 1;
    const gap = most.gain - least.gain;
    if (gap > largest.gap) {
      largest = { gap, at: sample.at - width, least: least.team, most: most.team, windows };
    }
  }
  return { ...largest, windows };
}

interface Gain {
  readonly team: TeamName;
  readonly gain: number;
}

function gainsIn(window: readonly Sample[]): Gain[] {
  const [start, end] = [window[0], window.at(-1)];
  if (start === undefined || end === undefined) return [];
  return [...end.teams]
    .filter(([team]) => window.every((sample) => sample.teams.get(team)?.isWaiting === true))
    .map(([team, { level }]) => ({ team, gain: level - (start.teams.get(team)?.level ?? 0) }));
}

/** A straight line through points, with the root mean square of what it leaves unexplained. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  readonly residual: number;
}

/** The line of least squares through `points`; all of one x give slope 0. */
export function lineThrough(points: readonly (readonly [number, number])[]): Line {
  const count = Math.max(1, points.length);
  const meanX = sum(points.map(([x]) => x)) / count;
  const meanY = sum(points.map(([, y]) => y)) / count;
  const spread = sum(points.map(([x]) => (x - meanX) ** 2));
  const common = sum(points.map(([x, y]) => (x - meanX) * (y - meanY)));
  const slope = spread === 0 ? 0 : common / spread;
  const intercept = meanY - slope * meanX;
  const squares = sum(points.map(([x, y]) => (y - intercept - slope * x) ** 2));
  return { slope, intercept, residual: Math.sqrt(squares / count) };
}

/** The value below which `share` (0 to 1) of the values lie, by nearest rank; 0 without values. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.max(1, Math.ceil(share * sorted.length));
  return sorted[rank - 1] ?? 0;
}

export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Rounds to four places for output; two would show a missed target as met. */
export function rounded(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
