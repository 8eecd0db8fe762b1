// Responses on connections whose requests are not parsed here.

import type { Socket } from 'node:net';
import { headerNames } from '@catkinwheel/platform';
import type { Milliseconds } from '@catkinwheel/state';

/** Time in which a caller has to take the response and close its connection. */
const lingerTime: Milliseconds = 1_000;

/** Statuses of error responses, which do not promise that the request has not run. */
export type ErrorStatus = '502 Bad Gateway' | '504 Gateway Timeout';

/** A response without a body. */
export type RawResponse =
  | { readonly status: ErrorStatus }
  | { readonly status: '503 Service Unavailable'; readonly retryAfter: Milliseconds };

/** Sends the response to the request `id`, which may be empty, and closes the connection. */
export function sendRawResponse(caller: Socket, id: string, response: RawResponse): void {
  const fields = ['content-length: 0', 'connection: close'];
  if (id !== '') fields.push(`${headerNames.requestId}: ${id}`);
  if (response.status === '503 Service Unavailable')
    fields.push(`${headerNames.retryAfter}: ${(response.retryAfter / 1_000).toFixed(2)}`);
  caller.end(`HTTP/1.1 ${response.status}\r\n${fields.join('\r\n')}\r\n\r\n`);
  // Unread bytes of the request would reset the connection before the caller has the response.
  caller.resume();
  caller.setTimeout(lingerTime, () => {
    caller.destroy();
  });
}
