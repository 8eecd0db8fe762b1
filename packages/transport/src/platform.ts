// HTTP client of the platform. Its failures distinguish writes that certainly had no effect
// (`unavailable`) from those whose response was lost and which may have taken effect (`unknown`).

import {
  commitCodec,
  conflictsCodec,
  decode,
  readText,
  rowsResponseCodec,
  vmsCodec,
  type Commit,
  type PlatformFailure,
  type Row,
  type Transaction,
  type Vm,
} from '@catkinwheel/protocol';
import type { Milliseconds } from '@catkinwheel/state';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Codec } from 'purify-ts';
import { Pool } from 'undici';

export interface PlatformOptions {
  /** Base URL of the platform, such as `http://127.0.0.1:8500`. */
  readonly address: string;
  /** Maximum time to establish a connection. */
  readonly connectTimeout: Milliseconds;
  /** Maximum time of a request, including the wait for a connection. */
  readonly requestTimeout: Milliseconds;
  /** Maximum number of connections to the platform. */
  readonly connections?: number;
}

/** Enough for the requests of one router, a few per second. */
const defaultConnections = 8;

/**
 * Maximum size of a response in bytes, above the largest catalogue snapshot expected (about 8 MB).
 */
const maxResponseBytes = 64 * 1024 * 1024;

/** Codes of errors that occur before any byte of a request is sent. */
const unsentErrorCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface PlatformResponse {
  readonly status: number;
  readonly body: unknown;
}

type Method = 'GET' | 'PUT' | 'POST';

/**
 * Client of the platform's table service, object store and VM list. Reads never fail with
 * `unknown`.
 */
export class Platform {
  readonly #pool: Pool;
  readonly #requestTimeout: Milliseconds;

  private constructor(options: PlatformOptions) {
    this.#requestTimeout = options.requestTimeout;
    this.#pool = new Pool(options.address, {
      connections: options.connections ?? defaultConnections,
      connect: { timeout: options.connectTimeout },
    });
  }

  static create(options: PlatformOptions): Platform {
    return new Platform(options);
  }

  transact(transaction: Transaction): ResultAsync<Commit, PlatformFailure> {
    return this.#request('POST', '/v1/table/transact', transaction).andThen((response) =>
      response.status === 409
        ? err(conflictOf(response))
        : decodeResponse(response, commitCodec, 'unknown'),
    );
  }

  /** Rows whose key starts with `prefix`, in key order. */
  rows(prefix: string): ResultAsync<readonly Row[], PlatformFailure> {
    return this.#request('GET', `/v1/table/rows?prefix=${encodeURIComponent(prefix)}`).andThen(
      (response) =>
        decodeResponse(response, rowsResponseCodec, 'unavailable').map(({ rows }) => rows),
    );
  }

  put(key: string, value: unknown): ResultAsync<void, PlatformFailure> {
    return this.#request('PUT', objectPath(key), value).andThen((response) =>
      isSuccess(response) ? ok(undefined) : err(failureOfStatus(response, 'unknown')),
    );
  }

  /** The value stored under the key, null if there is none. */
  get(key: string): ResultAsync<unknown, PlatformFailure> {
    return this.#request('GET', objectPath(key)).andThen((response) => {
      if (response.status === 404) return ok<unknown>(null);
      return isSuccess(response)
        ? ok(response.body)
        : err(failureOfStatus(response, 'unavailable'));
    });
  }

  vms(): ResultAsync<readonly Vm[], PlatformFailure> {
    return this.#request('GET', '/v1/vms').andThen((response) =>
      decodeResponse(response, vmsCodec, 'unavailable'),
    );
  }

  /** Closes every connection; open requests fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #request(
    method: Method,
    path: string,
    body?: unknown,
  ): ResultAsync<PlatformResponse, PlatformFailure> {
    return ResultAsync.fromPromise(this.#exchange(method, path, body), (error) =>
      failureOfError(error, method),
    );
  }

  async #exchange(method: Method, path: string, body: unknown): Promise<PlatformResponse> {
    const response = await this.#pool.request({
      method,
      path,
      signal: AbortSignal.timeout(this.#requestTimeout),
      ...(body === undefined
        ? {}
        : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
    });
    const text = await readText(response.body, maxResponseBytes);
    return { status: response.statusCode, body: text === '' ? null : parseJson(text) };
  }
}

function objectPath(key: string): string {
  return `/v1/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function isSuccess(response: PlatformResponse): boolean {
  return response.status >= 200 && response.status < 300;
}

function conflictOf(response: PlatformResponse): PlatformFailure {
  const keys = decode(conflictsCodec, response.body).match(
    ({ conflicts }) => conflicts,
    () => [],
  );
  return { kind: 'conflict', keys };
}

/**
 * The failure for an unsuccessful status. Only with statuses that the platform documents as
 * refusals (429, 503 and all below 500) is it certain that nothing was written; for the others,
 * the failure is of kind `fallbackKind`.
 */
function failureOfStatus(
  response: PlatformResponse,
  fallbackKind: 'unavailable' | 'unknown',
): PlatformFailure {
  const refused = response.status === 429 || response.status === 503 || response.status < 500;
  return {
    kind: refused ? 'unavailable' : fallbackKind,
    detail: `the platform answered with status ${response.status}`,
  };
}

function decodeResponse<T>(
  response: PlatformResponse,
  codec: Codec<T>,
  fallbackKind: 'unavailable' | 'unknown',
): Result<T, PlatformFailure> {
  if (!isSuccess(response)) return err(failureOfStatus(response, fallbackKind));
  return decode(codec, response.body).mapErr((detail) => ({
    kind: fallbackKind,
    detail: `the platform's response is malformed: ${detail}`,
  }));
}

function failureOfError(error: unknown, method: Method): PlatformFailure {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  const detail = error instanceof Error ? error.message : 'the request to the platform failed';
  const hadNoEffect = method === 'GET' || unsentErrorCodes.has(code);
  return { kind: hadNoEffect ? 'unavailable' : 'unknown', detail };
}
