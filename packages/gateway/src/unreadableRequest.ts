// Responses to bytes that are no request, or to a head that does not come in time. Node's default handler sends the same ones,
// but in place of the response to an earlier request on the connection.

import { STATUS_CODES } from 'node:http';

/** The response, as bytes, to a request that could not be read for this reason. It closes the connection. */
export function unreadableResponse({ code = '' }: NodeJS.ErrnoException): string {
  const status = statusOf(code);
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`;
}

function statusOf(code: string): number {
  switch (code) {
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return 408;
    case 'HPE_CHUNK_EXTENSIONS_OVERFLOW':
      return 413;
    case 'HPE_HEADER_OVERFLOW':
      return 431;
    default:
      return 400;
  }
}
