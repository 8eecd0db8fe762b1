// Plain text output of the commands that read logs.

import type { DaySummary, RequestCounts } from './daySummary.js';
import { table } from './render.js';
import type { RequestExplanation, NearbyEvent, RequestExplanations } from './requestExplanation.js';

/** Maximum number of notices (logged state changes) in the text; `--json` prints all. */
const maxNotices = 60;

/** `stories` are the explanations. */
export function explanationsText({ stories, unreadable, dropped }: RequestExplanations): string {
  const notes = [
    ...(dropped > 0 ? [`${dropped} lines were dropped by routers under load.`] : []),
    ...(unreadable > 0
      ? [`${unreadable} lines were not written by a router and were skipped.`]
      : []),
  ];
  return [...stories.map(explanationText), ...notes].join('\n');
}

function explanationText(explanation: RequestExplanation): string {
  const { request, arrived, events, neighbours } = explanation;
  const offsetText = (time: number): string => `+${Math.round(time)} ms`;
  const steps: (readonly [string, string])[] = [[timeOfDay(arrived), arrivalText(explanation)]];
  for (const { server, predicted, missing, at, first, took, result } of request.attempts) {
    const uncached = missing > 0 ? `, ${missing} uncached tokens` : '';
    steps.push([
      offsetText(at),
      `sent to server ${server} (first event predicted after ${predicted} ms${uncached})`,
    ]);
    if (first !== undefined) steps.push([offsetText(at + first), `first event, after ${first} ms`]);
    steps.push([offsetText(at + took), result]);
  }
  const reason = request.reason === undefined ? '' : `: ${request.reason}`;
  const verdict = request.verdict === undefined ? '' : `, ${request.verdict}`;
  const status = request.status === undefined ? '' : `, status ${request.status}`;
  steps.push([offsetText(request.took), `${request.outcome}${reason}${verdict}${status}`]);
  return [
    `request ${explanation.id} at ${explanation.router} (run ${explanation.boot})`,
    ...(explanation.isAligned
      ? []
      : ["  The router's clock could not be aligned with the others'."]),
    indented(table(steps)),
    `  State at the router: ${routerStateText(explanation)}`,
    `  Cause: ${explanation.cause}`,
    `  Next: ${explanation.next}`,
    ...(neighbours.length === 0 ? [] : ['  Other attempts at these servers around that time:']),
    ...neighbours.map(({ server, results }) => `    ${server}: ${countsText(results)}`),
    ...(events.length === 0 ? [] : ['  Events around that time:']),
    ...events.map((event) => `    ${eventText(event, arrived)}`),
  ].join('\n');
}

function arrivalText({ request }: RequestExplanation): string {
  const { route, team, tokens, timeLeft } = request;
  const parts = [
    `arrived for route ${route ?? '(none)'}`,
    ...(team === undefined ? [] : [`team ${team}`]),
    ...(tokens === undefined ? [] : [`${tokens[0] ?? 0} tokens in, at most ${tokens[1] ?? 0} out`]),
    ...(timeLeft === undefined ? [] : [`${timeLeft} ms left`]),
  ];
  return parts.join(', ');
}

function routerStateText({ request }: RequestExplanation): string {
  const { desired, waiting, reportAge } = request;
  return [
    desired === undefined ? 'no desired state' : `desired state ${desired}`,
    `${waiting} requests queued`,
    reportAge === undefined
      ? 'no load reports from other routers'
      : `load reports from other routers ${reportAge} ms old`,
  ].join(', ');
}

function eventText({ at, router, event, fields }: NearbyEvent, arrived: number): string {
  const details = Object.entries(fields).map(([name, value]) => `${name} ${JSON.stringify(value)}`);
  const offset = (at - arrived) / 1_000;
  const sign = offset < 0 ? '' : '+';
  return `${sign}${offset.toFixed(1)} s ${router}: ${event}${details.length > 0 ? ` (${details.join(', ')})` : ''}`;
}

/** `first` are times to the first byte, `most` is their maximum, and `gaps` are outages of dependencies. */
export function summaryText(summary: DaySummary): string {
  const { routers, seconds, outcomes, reasons, teams, first, notices, gaps } = summary;
  const teamRows = Object.entries(teams).map(([team, counts]) => teamRow(team, counts));
  const firstByteRows = Object.entries(first).map(([route, { median, p95, most }]) => [
    route,
    String(median),
    String(p95),
    String(most),
  ]);
  const outageRows = gaps.map(({ router, dependency, from, to }) => [
    router,
    dependency,
    from.toFixed(1),
    to === undefined ? 'to the end' : to.toFixed(1),
  ]);
  const shownNotices = notices.slice(0, maxNotices);
  const hiddenCount = notices.length - shownNotices.length;
  return [
    `${routers} routers, ${seconds.toFixed(0)} s; requests: ${countsText(outcomes)}`,
    `reasons: ${countsText(reasons)}`,
    '',
    table([
      [
        'TEAM',
        'REQUESTS',
        'DELIVERED',
        'REFUSED',
        'FAILED',
        'TOKENS REQUESTED',
        'TOKENS DELIVERED',
      ],
      ...teamRows,
    ]),
    '',
    table([['ROUTE', 'FIRST BYTE MS (MEDIAN)', 'P95', 'MAX'], ...firstByteRows]),
    '',
    outageRows.length === 0
      ? 'no outage of a dependency'
      : table([['ROUTER', 'OUTAGE OF', 'FROM S', 'TO S'], ...outageRows]),
    '',
    ...shownNotices.map(({ at, router, what }) => `${at.toFixed(1)} s ${router}: ${what}`),
    ...(hiddenCount > 0 ? [`and ${hiddenCount} more; --json shows all`] : []),
    `${summary.dropped} lines dropped under load, ${summary.unreadable} lines not written by a router`,
    ...summary.unaligned.map((run) => `the clock of ${run} could not be aligned with the others`),
  ].join('\n');
}

function teamRow(team: string, counts: RequestCounts): readonly string[] {
  const { requests, delivered, refused, failed, tokensAsked, tokensDelivered } = counts;
  return [
    team,
    ...[requests, delivered, refused, failed, tokensAsked, tokensDelivered].map(String),
  ];
}

function countsText(counts: Readonly<Record<string, number>>): string {
  const parts = Object.entries(counts).map(([name, count]) => `${count} ${name}`);
  return parts.length === 0 ? 'none' : parts.join(', ');
}

function timeOfDay(time: number): string {
  return new Date(time).toISOString().slice(11, 23);
}

function indented(text: string): string {
  return text.replaceAll(/^/gm, '  ');
}
