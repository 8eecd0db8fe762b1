// Requests that Node's HTTP parser rejects never reach the routes; their callers get the same form
// of error.

import { randomUUID } from 'node:crypto';
import { STATUS_CODES, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Failure } from '@catkinwheel/state';
import { notRun } from '@catkinwheel/state';
import { problemOf, sendProblem } from './problemDetails.js';

/**
 * Answers a request that could not be parsed or arrived too slowly, after the responses to earlier
 * requests on its connection, and closes the connection. `latestResponse` is the response to the
 * last request on it with a complete header.
 */
export function refuseMalformed(
  error: Error,
  socket: Socket,
  latestResponse: ServerResponse | undefined,
): Failure {
  const failure = failureOf(error);
  if (latestResponse === undefined || latestResponse.req.complete) {
    // The rejected request has no response object of its own, since its header was not parsed.
    whenFinished(latestResponse, () => socket.end(rawProblem(failure)));
  } else {
    if (!latestResponse.headersSent) {
      sendProblem(latestResponse, failure, String(latestResponse.getHeader('x-request-id')), []);
    }
    whenFinished(latestResponse, () => {
      socket.destroySoon();
    });
  }
  if (!socket.writable) socket.destroy();
  return failure;
}

function whenFinished(response: ServerResponse | undefined, act: () => void): void {
  if (response === undefined || response.writableFinished) act();
  else response.once('finish', act);
}

function failureOf(error: Error): Failure {
  switch ('code' in error ? error.code : undefined) {
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return notRun('slowCaller', 'the request did not arrive in time');
    case 'HPE_HEADER_OVERFLOW':
      return notRun('badRequest', 'the header fields are too large');
    default:
      return notRun('badRequest', 'the request is not valid HTTP');
  }
}

function rawProblem(failure: Failure): string {
  const requestId = randomUUID();
  const problem = problemOf(failure, requestId, []);
  const body = JSON.stringify(problem);
  return [
    `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status] ?? ''}`,
    `X-Request-Id: ${requestId}`,
    'Content-Type: application/problem+json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close',
    '',
    body,
  ].join('\r\n');
}
