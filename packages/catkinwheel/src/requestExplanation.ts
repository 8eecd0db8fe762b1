// Explains the outcome of one request, its cause and nearby events from the logs of all routers.

import type { Milliseconds } from '@catkinwheel/state';
import { readLogs, type SkippedLines, type LogLine, type RequestRecord } from './routerLog.js';
import { Timeline, runKey } from './timeline.js';

/** How long before a request's arrival an event can still affect it. */
const windowBeforeArrival: Milliseconds = 5_000;
/** How long after a request's end its cause may first appear in the logs. */
const windowAfterEnd: Milliseconds = 2_000;
/** Limit of reported events; those nearest to the request's end are reported. */
const maxEvents = 25;

/** Events that affect every request at the router that logs them. */
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
  'exception inside the router',
]);

/** An event around the time of the request; `at` on the common timeline. */
export interface NearbyEvent {
  readonly at: Milliseconds;
  readonly router: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Attempts of other requests at a server around the same time. */
export interface OtherAttempts {
  readonly server: string;
  /** Count of attempts by result. */
  readonly results: Readonly<Record<string, number>>;
}

/** What the logs contain about one request at one router. */
export interface RequestExplanation {
  readonly id: string;
  readonly router: string;
  readonly boot: string;
  /** Arrival on the common timeline. */
  readonly arrived: Milliseconds;
  readonly request: RequestRecord;
  readonly cause: string;
  readonly next: string;
  readonly events: readonly NearbyEvent[];
  readonly neighbours: readonly OtherAttempts[];
  /** Whether the router's log times could be matched with those of other routers; if not, `events` may be wrong. */
  readonly isAligned: boolean;
}

/** JSON output for a request id; `stories` has one explanation for each router that received the id. */
export interface RequestExplanations extends SkippedLines {
  readonly stories: readonly RequestExplanation[];
}

/** A line, the request that it records if any, and its time on the common timeline. */
interface TimedLine {
  readonly line: LogLine;
  readonly request: RequestRecord | undefined;
  readonly at: Milliseconds;
}

/** Reads the files and explains request `id`. Throws `LogFileError`. */
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
  endTime: Milliseconds,
  timedLines: readonly TimedLine[],
): Omit<RequestExplanation, 'isAligned'> {
  const arrived = endTime - request.took;
  const nearby = timedLines.filter(
    ({ at }) => at >= arrived - windowBeforeArrival && at <= endTime + windowAfterEnd,
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
    .sort((a, b) => Math.abs(a.at - endTime) - Math.abs(b.at - endTime))
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

/** Whether an event concerns the request's router or a server that the request was sent to or queued for. */
function isRelated(
  candidate: LogLine,
  requestLine: LogLine,
  servers: ReadonlySet<string>,
): boolean {
  if (candidate.event === 'request') return false;
  if (candidate.router === requestLine.router && routerEvents.has(candidate.event)) return true;
  const { server, key, leaving, cold, lapsed } = candidate.fields;
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
  requestLine: LogLine,
): OtherAttempts {
  const results = new Map<string, number>();
  for (const { line, request } of nearby) {
    if (line === requestLine) continue;
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

/** Describes the decision that ended the request, and what to check next. */
function diagnose(request: RequestRecord): Diagnosis {
  const { reason = '', basis, attempts, waiting } = request;
  const lastAttempt = attempts.at(-1);
  switch (reason) {
    case '':
      return {
        cause: 'The response was delivered.',
        next: 'If it was late, compare the times at which it was sent and its first event arrived with the prediction.',
      };
    case 'overload': {
      const decision =
        basis === undefined
          ? `${waiting} requests were queued at the router`
          : `its first event was predicted after ${basis.start} ms at ${basis.server}, ` +
            `and ${basis.limit} ms were left for a useful first event; its team had received ${basis.received} tokens` +
            ((basis.standing ?? 0) > 0
              ? `; requests had been queued for ${basis.standing} ms without a break`
              : '');
      return {
        cause: `No server had capacity in time: ${decision}.`,
        next: 'Check whether one team sends excessive load and whether servers are cold, lost or leaving (catkinwheel logs).',
      };
    }
    case 'noServer':
      return {
        cause: 'The router knew no usable server of the service.',
        next: "Check the last 'servers table' and 'server lost' events of this router.",
      };
    case 'noDesiredState':
      return {
        cause: 'The router had just started and had not yet received a desired state.',
        next: "Check the events 'starting', 'store is lost' and 'desired state in force' of this router.",
      };
    case 'behind':
      return {
        cause: 'The router was overloaded: it had a backlog of earlier requests to process.',
        next: 'Check its request rate (catkinwheel logs) and the processor capacity of its VM.',
      };
    case 'stopping':
      return {
        cause:
          lastAttempt === undefined
            ? 'The router, or the one that held the connection, was stopping and could not have answered before its end.'
            : `The router, or the one that held the connection, ended its planned stop while ${lastAttempt.server} was at work.`,
        next: "Check the 'stopping' event of this router; callers cache the directory's response for some seconds.",
      };
    case 'unknownRoute':
    case 'unknownKey':
      return {
        cause: `Desired state ${request.desired ?? '(none)'} has no such ${reason === 'unknownKey' ? 'key' : 'route'}.`,
        next: "Compare with the 'desired state in force' events of the other routers at that time.",
      };
    case 'bodyTooLarge':
      return { cause: 'The request body exceeds the size limit.', next: 'No fault in the fleet.' };
    case 'bodyTimeout':
      return {
        cause:
          'The request body was not complete when the time of its route, or of its caller, had passed.',
        next: 'Check the network between the caller and the router, and how the caller sends its body.',
      };
    case 'callerGone':
      return {
        cause: 'The caller closed its connection before the response was complete.',
        next: 'Check how long it had waited: callers close a stream that sends no events.',
      };
    case 'deadline':
      return {
        cause:
          lastAttempt === undefined
            ? 'Its deadline passed while it was queued for a server.'
            : `Its deadline passed after ${lastAttempt.took} ms at ${lastAttempt.server}; its first event was predicted after ${lastAttempt.predicted} ms.`,
        next: 'Check other requests at that server; if all are slow there, the server is slow.',
      };
    case 'serverRefused':
      return {
        cause: `Server ${lastAttempt?.server ?? ''} refused the request without executing it.`,
        next: 'Check other requests at that server: it is full, or its limits are lower than the router assumes.',
      };
    case 'internal':
      return {
        cause: 'The request failed through an internal error of the router.',
        next: "Check the event 'request failed inside the router', which has the stack trace.",
      };
    default:
      return {
        cause: `Server ${lastAttempt?.server ?? ''} failed the request: ${lastAttempt?.result ?? reason}.`,
        next: 'Check other requests at that server; if none of them failed, only this response was damaged.',
      };
  }
}
