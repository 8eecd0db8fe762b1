// A stand-in of a requester: sends a request, on a kept channel if it is given an agent, and tells how it ended.

import { request } from 'node:http';

/**
 * Resolves when the request has an answer or has none to come. `status` is 0 without an answer; `isWhole` tells whether its body
 * came to its declared end.
 */
export function ask({ address, agent, method = 'GET', path, host, id, key, body, budgetMs, more }) {
  const [hostname, port] = address.split(':');
  const sentAt = performance.now();
  return new Promise((resolve) => {
    let text = '';
    let status = 0;
    let headers = {};
    const settle = (isWhole, error) => {
      clearTimeout(timer);
      resolve({ id, sentAt, endedAt: performance.now(), status, headers, text, isWhole, error });
    };
    const outgoing = request({
      hostname,
      port,
      agent: agent ?? false,
      method,
      path,
      headers: {
        host,
        'request-id': id,
        'deadline-ms': String(budgetMs),
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }),
        ...more,
      },
    });
    const timer = setTimeout(() => outgoing.destroy(new Error('time budget')), budgetMs);
    outgoing.on('response', (response) => {
      status = response.statusCode;
      headers = response.headers;
      response.on('data', (chunk) => (text += chunk.toString('latin1')));
      response.on('end', () => settle(response.complete));
      response.on('error', (error) => settle(false, error.code ?? error.message));
    });
    outgoing.on('error', (error) => settle(false, error.code ?? error.message));
    outgoing.end(body);
  });
}
