// What became of one request and why, told from the logs of all routers.

import type { Milliseconds } from '@catkinwheel/state';
import { readLogs, type SkippedLines, type LogLine, type RequestRecord } from './routerLog.js';
import { Timeline, runKey } from './timeline.js';

/** Time before a request's arrival from which events can matter to it. */
const windowBeforeArrival: Milliseconds = 5_000;
/** Time after its end in which the cause may first show in the log. */
const windowAfterEnd: Milliseconds = 2_000;
/** Events told at most; the nearest to the request's end are kept. */
const maxEvents = 25;

/** Events of a router that touch every request there. */
const routerEvents: ReadonlySet<string> = new Set([
  'starting',
  'listening',
  'stopping',
  'stopped',
  'settings read again',
  'store is lost',
  'store is back',
  'store lost its history',
  'desired state in force',
  'desired state refused',
  'lines dropped',
  'request failed inside the router',
]);

/** An event near the request, `at` in common time. */
export interface NearbyEvent {
  readonly at: Milliseconds;
  readonly router: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What other requests met at a server near that time. */
export interface OtherAttempts {
  readonly server: string;
  /** Attempts by result. */
  readonly results: Readonly<Record<string, number>>;
}

/** All that the logs tell of one request. */
export interface RequestExplanation {
  readonly id: string;
  readonly router: string;
  readonly boot: string;
  /** Arrival in common time. */
  readonly arrived: Milliseconds;
  readonly request: RequestRecord;
  readonly cause: string;
  readonly next: string;
  readonly events: readonly NearbyEvent[];
  readonly neighbours: readonly OtherAttempts[];
  /** Whether the router's clock could be compared with the others'. */
  readonly isAligned: boolean;
}

/** The stories of a request in the log files; more than one if several routers received its id. */
export interface RequestExplanations extends SkippedLines {
  readonly stories: readonly RequestExplanation[];
}

/** A line, the request that it tells of, and its common time. */
interface TimedLine {
  readonly line: LogLine;
  readonly request: RequestRecord | undefined;
  readonly at: Milliseconds;
}

/** Reads the files and tells what became of request `id`. Throws `LogFileError`. */
export async function explain(id: string, paths: readonly string[]): Promise<RequestExplanations> {
  const lines: Omit<TimedLine, 'at'>[] = [];
  const skipped = await readLogs(paths, (line, request) => lines.push({ line, request }));
  const timeline = Timeline.create(lines.map(({ line }) => line));
  const timedLines = lines.map((parsedLine): TimedLine => ({
    ...parsedLine,
    at: timeline.at(parsedLine.line),
  }));
  const stories = timedLines.flatMap(({ line, request, at }) => {
    if (request?.id !== id) return [];
    const isAligned = !timeline.unaligned.has(runKey(line));
    return [{ ...explainLine(line, request, at, timedLines), isAligned }];
  });
  return { stories, ...skipped };
}

function explainLine(
  line: LogLine,
  request: RequestRecord,
  ended: Milliseconds,
  timedLines: readonly TimedLine[],
): Omit<RequestExplanation, 'isAligned'> {
  const arrived = ended - request.took;
  const nearby = timedLines.filter(
    ({ at }) => at >= arrived - windowBeforeArrival && at <= ended + windowAfterEnd,
  );
  const servers = new Set(request.attempts.map(({ server }) => server));
  if (request.basis !== undefined) servers.add(request.basis.server);
  const events = nearby
    .filter((other) => isRelated(other.line, line, servers))
    .map((other) => ({
      at: other.at,
      router: other.line.router,
      event: other.line.event,
      fields: detailsOf(other.line),
    }))
    .sort((a, b) => Math.abs(a.at - ended) - Math.abs(b.at - ended))
    .slice(0, maxEvents)
    .sort((a, b) => a.at - b.at);
  return {
    id: request.id ?? '',
    router: line.router,
    boot: line.boot,
    arrived,
    request,
    ...diagnose(request),
    events,
    neighbours: [...servers].map((server) => otherAttemptsAt(server, nearby, line)),
  };
}

/** Whether an event is one of the request's router or of a server that it needed. */
function isRelated(other: LogLine, own: LogLine, servers: ReadonlySet<string>): boolean {
  if (other.event === 'request') return false;
  if (other.router === own.router && routerEvents.has(other.event)) return true;
  const { server, key, leaving, cold, lapsed } = other.fields;
  const namedServers = [server, key, leaving, cold, lapsed].flat();
  return namedServers.some((name) => typeof name === 'string' && servers.has(name));
}

function detailsOf(line: LogLine): Readonly<Record<string, unknown>> {
  const commonFields = new Set(['time', 'router', 'boot', 'up', 'event']);
  return Object.fromEntries(
    Object.entries(line.fields).filter(([name]) => !commonFields.has(name)),
  );
}

function otherAttemptsAt(
  server: string,
  nearby: readonly TimedLine[],
  own: LogLine,
): OtherAttempts {
  const results = new Map<string, number>();
  for (const { line, request } of nearby) {
    if (line === own) continue;
    for (const attempt of request?.attempts ?? []) {
      if (attempt.server !== server) continue;
      results.set(attempt.result, (results.get(attempt.result) ?? 0) + 1);
    }
  }
  return { server, results: Object.fromEntries(results) };
}

interface Diagnosis {
  readonly cause: string;
  readonly next: string;
}

/** The decision that ended the request in words, and what to look at next. */
function diagnose(request: RequestRecord): Diagnosis {
  const { reason = '', basis, attempts, waiting } = request;
  const last = attempts.at(-1);
  switch (reason) {
    case '':
      return {
        cause: 'The answer was delivered.',
        next: 'If it was late, compare when it was sent and its first event with what was predicted.',
      };
    case 'overload': {
      const decision =
        basis === undefined
          ? `${waiting} requests waited at the router`
          : `its first event was predicted in ${basis.start} ms at ${basis.server}, ` +
            `and ${basis.limit} ms were left for it; its team had received ${basis.received} tokens`;
      return {
        cause: `There was no room in time: ${decision}.`,
        next: 'See whether one team floods and whether servers are cold, lost or leaving (catkinwheel logs).',
      };
    }
    case 'noServer':
      return {
        cause: 'No usable server of its service was known.',
        next: "See the last 'servers table' and 'server lost' of this router.",
      };
    case 'noDesiredState':
      return {
        cause: 'The router had just started and knew no desired state yet.',
        next: "See 'starting', 'store is lost' and 'desired state in force' of this router.",
      };
    case 'behind':
      return {
        cause: 'The router had not caught up with the requests before it.',
        next: 'See how many requests it gets (catkinwheel logs) and the processor that its VM has.',
      };
    case 'stopping':
      return {
        cause: 'The router was stopping and took no new requests.',
        next: "See 'stopping' of this router; callers keep the directory's answer for some seconds.",
      };
    case 'unknownRoute':
    case 'unknownKey':
      return {
        cause: `Desired state ${request.desired ?? '(none)'} has no such ${reason === 'unknownKey' ? 'key' : 'route'}.`,
        next: "Compare with 'desired state in force' of the other routers at that time.",
      };
    case 'bodyTooLarge':
      return { cause: 'The body is larger than allowed.', next: 'Nothing failed.' };
    case 'callerGone':
      return {
        cause: 'The caller closed its connection before the answer was complete.',
        next: 'See how long it had waited: callers leave a stream that is silent.',
      };
    case 'deadline':
      return {
        cause:
          last === undefined
            ? 'Its time was over while it waited for a server.'
            : `Its time was over after ${last.took} ms at ${last.server}, predicted were ${last.predicted} ms.`,
        next: 'See what others met at that server; if all are slow there, the server is.',
      };
    case 'serverRefused':
      return {
        cause: `Server ${last?.server ?? ''} refused it without running it.`,
        next: 'See what others met at that server: it is full, or its limits are below what is assumed.',
      };
    case 'internal':
      return {
        cause: 'The router itself failed.',
        next: "See 'request failed inside the router' with the stack.",
      };
    default:
      return {
        cause: `Server ${last?.server ?? ''} failed it: ${last?.result ?? reason}.`,
        next: 'See what others met at that server; only this request: one answer was spoilt.',
      };
  }
}
