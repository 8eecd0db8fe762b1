// Summarises a day from the logs of all routers: requests served and refused, servers detected as faulty, cold
// or lost, and store outages of each router.

import { build, type Histogram } from 'hdr-histogram-js';
import type { Milliseconds } from '@catkinwheel/state';
import { readLogs, type SkippedLines, type LogLine, type RequestRecord } from './routerLog.js';
import { Timeline, runKey } from './timeline.js';

/** Counts of the requests of one team. */
export interface RequestCounts {
  readonly requests: number;
  readonly delivered: number;
  readonly refused: number;
  readonly failed: number;
  /** Prompt tokens of all requests, and of the delivered ones. */
  readonly tokensAsked: number;
  readonly tokensDelivered: number;
}

/** Times in milliseconds. */
export interface Quantiles {
  readonly median: Milliseconds;
  readonly p95: Milliseconds;
  /** The maximum. */
  readonly most: Milliseconds;
}

/** A state change that a router logged; `at` in seconds since the first line. */
export interface Notice {
  readonly at: number;
  readonly router: string;
  readonly what: string;
}

/** A period in which a router could not reach a dependency, in seconds since the first line. */
export interface Outage {
  readonly router: string;
  readonly dependency: string;
  readonly from: number;
  /** Undefined if the outage was not over at the end of the logs. */
  readonly to: number | undefined;
}

/** JSON output for the logs of a day. */
export interface DaySummary extends SkippedLines {
  readonly routers: number;
  readonly seconds: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly reasons: Readonly<Record<string, number>>;
  readonly teams: Readonly<Record<string, RequestCounts>>;
  /** Time to first byte of delivered responses, by route. */
  readonly first: Readonly<Record<string, Quantiles>>;
  readonly notices: readonly Notice[];
  /** Outages of dependencies. */
  readonly gaps: readonly Outage[];
  /** Runs whose log times could not be matched with those of other runs, so that their times may be wrong. */
  readonly unaligned: readonly string[];
}

const noRequests: RequestCounts = {
  requests: 0,
  delivered: 0,
  refused: 0,
  failed: 0,
  tokensAsked: 0,
  tokensDelivered: 0,
};

/** Upper bound of the histograms, above the longest time limit of a route. Larger times are recorded as this. */
const maxFirstByte: Milliseconds = 60_000;

/** Summarises the log files. Throws `LogFileError`. */
export async function summarize(paths: readonly string[]): Promise<DaySummary> {
  const eventLines: LogLine[] = [];
  const outcomes = new Map<string, number>();
  const reasons = new Map<string, number>();
  const teams = new Map<string, RequestCounts>();
  const firstBytes = new Map<string, Histogram>();
  const skipped = await readLogs(paths, (line, request) => {
    if (request === undefined) {
      eventLines.push(line);
      return;
    }
    increment(outcomes, request.outcome);
    if (request.reason !== undefined) increment(reasons, `${request.outcome} ${request.reason}`);
    const team = request.team ?? '(none)';
    teams.set(team, addRequest(teams.get(team) ?? noRequests, request));
    recordFirstByte(firstBytes, request);
  });
  const timeline = Timeline.create(eventLines);
  const lines = eventLines.map((line) => ({ line, at: timeline.at(line) }));
  lines.sort((a, b) => a.at - b.at);
  const origin = lines[0]?.at ?? 0;
  const timedLines = lines.map(({ line, at }): TimedLine => ({ line, at: seconds(at - origin) }));
  return {
    routers: new Set(eventLines.map(({ router }) => router)).size,
    seconds: timedLines.at(-1)?.at ?? 0,
    outcomes: Object.fromEntries(outcomes),
    reasons: Object.fromEntries([...reasons].sort(([, a], [, b]) => b - a)),
    teams: Object.fromEntries(
      [...teams].sort(([, a], [, b]) => b.tokensAsked - a.tokensAsked || b.requests - a.requests),
    ),
    first: Object.fromEntries([...firstBytes].map(([route, times]) => [route, quantiles(times)])),
    notices: timedLines.flatMap(noticesOf),
    gaps: outagesOf(timedLines),
    ...skipped,
    unaligned: [...timeline.unaligned],
  };
}

interface TimedLine {
  readonly line: LogLine;
  /** Seconds since the first line. */
  readonly at: number;
}

function recordFirstByte(firstBytes: Map<string, Histogram>, request: RequestRecord): void {
  const { route, first, outcome } = request;
  if (route === undefined || first === undefined || outcome !== 'delivered') return;
  let times = firstBytes.get(route);
  if (times === undefined) {
    times = build({ highestTrackableValue: maxFirstByte });
    firstBytes.set(route, times);
  }
  times.recordValue(Math.min(maxFirstByte, first));
}

function quantiles(times: Histogram): Quantiles {
  return {
    median: times.getValueAtPercentile(50),
    p95: times.getValueAtPercentile(95),
    most: times.maxValue,
  };
}

function addRequest(counts: RequestCounts, request: RequestRecord): RequestCounts {
  const tokens = request.tokens?.[0] ?? 0;
  const isDelivered = request.outcome === 'delivered';
  return {
    requests: counts.requests + 1,
    delivered: counts.delivered + Number(isDelivered),
    refused: counts.refused + Number(request.outcome === 'refused'),
    failed: counts.failed + Number(request.outcome === 'failed'),
    tokensAsked: counts.tokensAsked + tokens,
    tokensDelivered: counts.tokensDelivered + (isDelivered ? tokens : 0),
  };
}

/** Notices of router starts and stops, of errors and of changes in server health. */
function noticesOf({ line, at }: TimedLine): readonly Notice[] {
  const { router, event, fields } = line;
  const notice = (what: string): readonly Notice[] => [{ at, router, what }];
  switch (event) {
    case 'starting':
    case 'stopping':
    case 'stopped':
    case 'settings read again':
      return notice(event);
    case 'desired state refused':
    case 'server entry refused':
    case 'request failed inside the router':
    case 'exception inside the router':
      return notice(`${event}: ${String(fields.detail)}`);
    case 'server lost':
    case 'server back':
    case 'server faulty':
    case 'server sound':
      return notice(`${event}: ${String(fields.server)}`);
    case 'servers table': {
      const { leaving, cold, lapsed, source } = fields;
      // Routers that read the store get a version first; the others would only repeat it.
      if (source !== 'store') return [];
      const parts = Object.entries({ leaving, cold, lapsed }).flatMap(([name, ids]) =>
        Array.isArray(ids) && ids.length > 0 ? [`${name} ${ids.join(', ')}`] : [],
      );
      return parts.length === 0 ? [] : notice(`servers ${parts.join('; ')}`);
    }
    default:
      return [];
  }
}

/** Periods between the loss of a store table and its return, for each run. */
function outagesOf(lines: readonly TimedLine[]): readonly Outage[] {
  const ongoing = new Map<string, Outage>();
  const outages: Outage[] = [];
  for (const { line, at } of lines) {
    const { router, event, fields } = line;
    const table = String(fields.table);
    const key = `${runKey(line)} ${table}`;
    if (event === 'store is lost')
      ongoing.set(key, { router, dependency: `store, ${table}`, from: at, to: undefined });
    if (event !== 'store is back') continue;
    const outage = ongoing.get(key);
    if (outage !== undefined) outages.push({ ...outage, to: at });
    ongoing.delete(key);
  }
  return [...outages, ...ongoing.values()].sort((a, b) => a.from - b.from);
}

function seconds(time: Milliseconds): number {
  return Math.round(time) / 1_000;
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
