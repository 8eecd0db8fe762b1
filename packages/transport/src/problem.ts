// Every error to a caller has one form, from which a program can tell what to do next.

import type { ServerResponse } from 'node:http';
import type { Failure, Reason } from '@catkinwheel/state';

/** HTTP status for each reason before the first byte of an answer. */
const statusOf: Readonly<Record<Reason, number>> = {
  badRequest: 400,
  unauthenticated: 401,
  forbidden: 403,
  unknownEntry: 404,
  bodyTooLarge: 413,
  slowCaller: 408,
  queueLimit: 429,
  queueBytesLimit: 429,
  routerMemoryLimit: 503,
  deadline: 504,
  callerGone: 499,
  noCatalogue: 503,
  isolated: 503,
  leaving: 503,
  noServer: 503,
  connectFailed: 502,
  serverRefused: 503,
  connectionLost: 502,
  silentConnection: 504,
  answerMismatch: 502,
  truncatedAnswer: 502,
  streamLost: 502,
  revoked: 503,
  permitExpired: 503,
  retriesExhausted: 502,
  retryBudget: 503,
  platformUnavailable: 503,
  claimConflict: 409,
  keyReused: 422,
  claimUnresolved: 409,
  answerNotRecorded: 409,
  internal: 500,
};

/** The `application/problem+json` body of an error. */
export interface ProblemDetails {
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly reason: Reason;
  readonly verdict: Failure['verdict'];
  readonly requestId: string;
  /** Addresses of other routers that may serve the request. */
  readonly routers: readonly string[];
}

/** Describes a failure to the caller of request `requestId`. */
export function problemOf(
  failure: Failure,
  requestId: string,
  routers: readonly string[],
): ProblemDetails {
  const { reason, verdict, detail } = failure;
  return { title: reason, status: statusOf[reason], detail, reason, verdict, requestId, routers };
}

/** Answers with a problem. The head must not have been sent. */
export function sendProblem(
  response: ServerResponse,
  failure: Failure,
  requestId: string,
  routers: readonly string[],
): void {
  const problem = problemOf(failure, requestId, routers);
  const body = JSON.stringify(problem);
  if (failure.retryAfter !== undefined) {
    response.setHeader('retry-after', Math.ceil(failure.retryAfter / 1_000));
  }
  response.writeHead(problem.status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
