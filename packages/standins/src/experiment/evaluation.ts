// Evaluates the outcomes of a run with the users' weights: in total, and by request kind, team and time window.

import type { Milliseconds } from '@catkinwheel/state';
import { build } from 'hdr-histogram-js';
import type { EmulationResult, RequestOutcome } from './emulator.js';

/** Length of a time window in the table and the chart. */
const windowLength: Milliseconds = 2_000;
/** Upper bound of the factor by which a request's size, relative to the mean of its kind, multiplies its worth. */
const maxRelativeSize = 4;
/** Fraction of a request's worth that does not depend on its size. */
const fixedWorthFraction = 0.3;
/** Weight of an output token in a request's size; a prompt token has weight 1. */
const outputTokenWeight = 10;

/** Results of a group of requests. `late` ones missed the latency target or the maximum gap between events. */
export interface GroupResult {
  readonly name: string;
  readonly requests: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Worth earned, as a fraction of the worth if all requests had been on time; 1 for an empty group. */
  readonly worth: number;
}

export interface Evaluation {
  readonly day: GroupResult;
  readonly kinds: readonly GroupResult[];
  readonly teams: readonly GroupResult[];
  readonly windows: readonly GroupResult[];
  readonly prefillTokens: number;
  readonly repeatedPrefillTokens: number;
  /** Median and 95th percentile of the absolute error of the predicted time to the first event. */
  readonly predictionError: readonly [median: Milliseconds, p95: Milliseconds];
}

export function evaluate({
  outcomes,
  prefillTokens,
  repeatedPrefillTokens,
  predictionErrors,
}: EmulationResult): Evaluation {
  const worthByRequest = worthByRequestOf(outcomes);
  const resultOf = (name: string, requests: readonly RequestOutcome[]): GroupResult => {
    const count = (result: RequestOutcome['result']): number =>
      requests.filter((request) => request.result === result).length;
    const possible = sumOf(requests, (request) => worthByRequest.get(request)?.possible ?? 0);
    const earned = sumOf(requests, (request) => worthByRequest.get(request)?.earned ?? 0);
    return {
      name,
      requests: requests.length,
      onTime: count('onTime'),
      late: count('late'),
      refused: count('refused'),
      failed: count('failed'),
      worth: possible === 0 ? 1 : earned / possible,
    };
  };
  const groupBy = (keyOf: (request: RequestOutcome) => string): readonly GroupResult[] => {
    const members = new Map<string, RequestOutcome[]>();
    for (const request of outcomes) {
      const key = keyOf(request);
      const group = members.get(key);
      if (group === undefined) members.set(key, [request]);
      else group.push(request);
    }
    return [...members].map(([name, requests]) => resultOf(name, requests));
  };
  const errorHistogram = build();
  for (const error of predictionErrors) errorHistogram.recordValue(Math.round(Math.abs(error)));
  return {
    day: resultOf('day', outcomes),
    kinds: groupBy(({ arrival }) => arrival.kind.name),
    teams: [...groupBy(({ arrival }) => arrival.team)].sort((a, b) => b.requests - a.requests),
    windows: [...groupBy(({ arrival }) => windowOf(arrival.at))].sort(
      (a, b) => Number(a.name) - Number(b.name),
    ),
    prefillTokens,
    repeatedPrefillTokens,
    predictionError: [
      errorHistogram.getValueAtPercentile(50),
      errorHistogram.getValueAtPercentile(95),
    ],
  };
}

function windowOf(at: Milliseconds): string {
  return String((Math.floor(at / windowLength) * windowLength) / 1_000);
}

interface Worth {
  readonly possible: number;
  readonly earned: number;
}

function worthByRequestOf(outcomes: readonly RequestOutcome[]): ReadonlyMap<RequestOutcome, Worth> {
  const sizesByKind = new Map<string, number[]>();
  for (const { arrival } of outcomes) {
    const sizes = sizesByKind.get(arrival.kind.name) ?? [];
    sizes.push(sizeOf(arrival));
    sizesByKind.set(arrival.kind.name, sizes);
  }
  const meanSizes = new Map(
    [...sizesByKind].map(([kind, all]) => [kind, sumOf(all, (size) => size) / all.length]),
  );
  return new Map(
    outcomes.map((request) => {
      const { kind } = request.arrival;
      const relativeSize = sizeOf(request.arrival) / (meanSizes.get(kind.name) ?? 1);
      const sizeFactor = Math.min(
        maxRelativeSize,
        fixedWorthFraction + (1 - fixedWorthFraction) * relativeSize,
      );
      const possible = kind.worth * sizeFactor;
      const late = kind.lateWorth * sizeFactor;
      const earned = request.result === 'onTime' ? possible : request.result === 'late' ? late : 0;
      return [request, { possible, earned }];
    }),
  );
}

function sizeOf({ prompt, outputTokens }: RequestOutcome['arrival']): number {
  return prompt.promptTokens + outputTokenWeight * outputTokens;
}

function sumOf<Item>(items: readonly Item[], amount: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + amount(item), 0);
}
