// What a day was worth: by kind, team and window, as the users weigh it.

import type { Milliseconds } from '@catkinwheel/state';
import { build } from 'hdr-histogram-js';
import type { Played, Served } from './emulator.js';

/** Length of a window of the table and the plot. */
const window: Milliseconds = 2_000;
/** A request counts by its size against the mean of its kind, up to this many times. */
const largestSize = 4;
/** Part of a request's worth that does not depend on its size. */
const fixedWorth = 0.3;
/** Weight of generated tokens in a request's size. */
const outputWeight = 10;

/** Requests of one group. */
export interface Group {
  readonly name: string;
  readonly requests: number;
  readonly inAim: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Credit earned by credit owed. */
  readonly worth: number;
}

/** The account of a day. */
export interface Account {
  readonly day: Group;
  readonly kinds: readonly Group[];
  readonly teams: readonly Group[];
  readonly windows: readonly Group[];
  readonly read: number;
  readonly readAgain: number;
  /** Median and 95th percentile of the error of predicted first events, without its sign. */
  readonly predictionError: readonly [median: Milliseconds, p95: Milliseconds];
}

export function accountOf({ served, read, readAgain, predictionErrors }: Played): Account {
  const worths = worthsOf(served);
  const group = (name: string, requests: readonly Served[]): Group => {
    const count = (result: Served['result']): number =>
      requests.filter((request) => request.result === result).length;
    const owed = sumOf(requests, (request) => worths.get(request)?.owed ?? 0);
    const earned = sumOf(requests, (request) => worths.get(request)?.earned ?? 0);
    return {
      name,
      requests: requests.length,
      inAim: count('inAim'),
      late: count('late'),
      refused: count('refused'),
      failed: count('failed'),
      worth: owed === 0 ? 1 : earned / owed,
    };
  };
  const groups = (keyOf: (request: Served) => string): readonly Group[] => {
    const members = new Map<string, Served[]>();
    for (const request of served) {
      const key = keyOf(request);
      const known = members.get(key);
      if (known === undefined) members.set(key, [request]);
      else known.push(request);
    }
    return [...members].map(([name, requests]) => group(name, requests));
  };
  const errors = build();
  for (const error of predictionErrors) errors.recordValue(Math.round(Math.abs(error)));
  return {
    day: group('day', served),
    kinds: groups(({ arrival }) => arrival.kind.name),
    teams: [...groups(({ arrival }) => arrival.team)].sort((a, b) => b.requests - a.requests),
    windows: [...groups(({ arrival }) => windowOf(arrival.at))].sort(
      (a, b) => Number(a.name) - Number(b.name),
    ),
    read,
    readAgain,
    predictionError: [errors.getValueAtPercentile(50), errors.getValueAtPercentile(95)],
  };
}

function windowOf(at: Milliseconds): string {
  return String((Math.floor(at / window) * window) / 1_000);
}

interface Worth {
  readonly owed: number;
  readonly earned: number;
}

function worthsOf(served: readonly Served[]): ReadonlyMap<Served, Worth> {
  const sizes = new Map<string, number[]>();
  for (const { arrival } of served) {
    const known = sizes.get(arrival.kind.name) ?? [];
    known.push(sizeOf(arrival));
    sizes.set(arrival.kind.name, known);
  }
  const means = new Map(
    [...sizes].map(([kind, all]) => [kind, sumOf(all, (size) => size) / all.length]),
  );
  return new Map(
    served.map((request) => {
      const { kind } = request.arrival;
      const size = sizeOf(request.arrival) / (means.get(kind.name) ?? 1);
      const part = Math.min(largestSize, fixedWorth + (1 - fixedWorth) * size);
      const owed = kind.worth * part;
      const late = kind.lateWorth * part;
      const earned = request.result === 'inAim' ? owed : request.result === 'late' ? late : 0;
      return [request, { owed, earned }];
    }),
  );
}

function sizeOf({ prompt, output }: Served['arrival']): number {
  return prompt.promptTokens + outputWeight * output;
}

function sumOf<Item>(items: readonly Item[], amount: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + amount(item), 0);
}
