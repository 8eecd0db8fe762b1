// A caller on the platform's protocol. It tells a whole answer from one that broke off.

import { request, type Agent, type IncomingHttpHeaders } from 'node:http';

/** Characters of a body that are kept at least. An answer without end brings more than a string can hold. */
const keptLimit = 1024 * 1024;

/** What a caller got. */
export interface CallResult {
  /** 0 if there was no answer. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** The body; of one that is longer than 1 MiB only its beginning. */
  readonly body: string;
  /** Whether the answer ended as its framing says. */
  readonly isWhole: boolean;
}

export interface CallOptions {
  readonly address: string;
  readonly path: string;
  readonly host: string;
  readonly id: string;
  readonly method?: string;
  readonly body?: string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeLeft?: number;
  /** Keeps connections open between requests; without it each request has one of its own. */
  readonly agent?: Agent;
  /** Aborts the request when the caller leaves. */
  readonly signal?: AbortSignal;
  /** Called when the head of the answer has come. */
  readonly onHead?: () => void;
}

/** Sends one request. Never rejects. */
export function call(options: CallOptions): Promise<CallResult> {
  const [hostname, port] = options.address.split(':');
  return new Promise((resolve) => {
    let status = 0;
    let headers: IncomingHttpHeaders = {};
    let body = '';
    const end = (isWhole: boolean): void => {
      resolve({ status, headers, body, isWhole });
    };
    const outgoing = request(
      {
        hostname,
        port,
        path: options.path,
        method: options.method ?? 'GET',
        agent: options.agent ?? false,
        ...(options.signal === undefined ? {} : { signal: options.signal }),
        headers: {
          host: options.host,
          'request-id': options.id,
          'deadline-ms': String(options.timeLeft ?? 3_000),
          ...(options.key === undefined ? {} : { authorization: `Bearer ${options.key}` }),
          ...options.headers,
        },
      },
      (response) => {
        status = response.statusCode ?? 0;
        ({ headers } = response);
        options.onHead?.();
        response.on('data', (chunk: Buffer) => {
          if (body.length < keptLimit) body += chunk.toString('utf8');
        });
        response.on('end', () => {
          end(response.complete);
        });
        response.on('error', () => {
          end(false);
        });
      },
    );
    outgoing.on('error', () => {
      end(false);
    });
    outgoing.end(options.body);
  });
}
