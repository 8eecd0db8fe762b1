// JSON over HTTP to the control listeners of stand-ins and the admin ports of routers.

import { Agent, request } from 'undici';
import type { Milliseconds } from '@catkinwheel/state';

/** Time after which a control request has failed. */
const controlTimeout: Milliseconds = 5_000;

const agent = new Agent({ connections: 4, pipelining: 1 });

export interface Answer<T> {
  readonly status: number;
  readonly body: T;
}

/** Sends one request. Rejects if no answer comes in time. */
export async function call<T>(
  method: 'GET' | 'POST' | 'PUT',
  url: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
  timeout: Milliseconds = controlTimeout,
): Promise<Answer<T>> {
  const response = await request(url, {
    method,
    headers: { 'content-type': 'application/json', ...headers },
    body: body === undefined ? null : JSON.stringify(body),
    dispatcher: agent,
    signal: AbortSignal.timeout(timeout),
  });
  const text = await response.body.text();
  return { status: response.statusCode, body: parsed(text) as T };
}

function parsed(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
