// Client of the admin API of a router. Failures are returned as values.

import {
  rolloutStatusCodec,
  catalogueCodec,
  changeRecordsCodec,
  decode,
  fleetStatusCodec,
  objectCodec,
  readText,
  serverStatusesCodec,
  teamUsagesCodec,
  type RolloutStatus,
  type AdminError,
  type ChangeRecord,
  type FleetStatus,
  type ServerStatus,
  type TeamUsage,
} from '@catkinwheel/protocol';
import type {
  Catalogue,
  CatalogueDocument,
  DrainTarget,
  Milliseconds,
  Revision,
} from '@catkinwheel/state';
import { err, ResultAsync, type Result } from 'neverthrow';
import type { Codec } from 'purify-ts';
import { request } from 'undici';
import type { Failure } from './outcome.js';

export interface ClientOptions {
  /** Address of the admin port, `host:port`. */
  readonly router: string;
  readonly token: string;
  /** Name of the operator, recorded in the change history. */
  readonly author: string;
}

/** Long because a change waits for the platform, which may be slow. */
const responseTimeout: Milliseconds = 20_000;
/** Maximum size of a response in bytes, above the largest catalogue expected (about 10 MB). */
const maxResponseBytes = 64 * 1024 * 1024;

type Method = 'GET' | 'PUT' | 'POST';
type ClientResult<T> = ResultAsync<T, Failure>;

/** Calls the admin port of one router. */
export class Client {
  readonly #options: ClientOptions;

  private constructor(options: ClientOptions) {
    this.#options = options;
  }

  static create(options: ClientOptions): Client {
    return new Client(options);
  }

  status(): ClientResult<FleetStatus> {
    return this.#call('GET', 'status', fleetStatusCodec);
  }

  teams(): ClientResult<readonly TeamUsage[]> {
    return this.#call('GET', 'teams', teamUsagesCodec);
  }

  servers(): ClientResult<readonly ServerStatus[]> {
    return this.#call('GET', 'servers', serverStatusesCodec);
  }

  catalogue(): ClientResult<Catalogue> {
    return this.#call('GET', 'catalogue', catalogueCodec);
  }

  history(): ClientResult<readonly ChangeRecord[]> {
    return this.#call('GET', 'catalogue/history', changeRecordsCodec);
  }

  replace(base: Revision, catalogue: CatalogueDocument): ClientResult<RolloutStatus> {
    return this.#call('PUT', 'catalogue', rolloutStatusCodec, { base, catalogue });
  }

  rolloutStatus(revision: Revision): ClientResult<RolloutStatus> {
    return this.#call('GET', `catalogue/acceptance/${revision}`, rolloutStatusCodec);
  }

  drain(target: DrainTarget, isDrained: boolean): ClientResult<RolloutStatus> {
    const path = isDrained ? 'drain' : 'restore';
    return this.#call('POST', path, rolloutStatusCodec, { [target.kind]: target.name });
  }

  stop(router: string | undefined): ClientResult<Readonly<Record<string, unknown>>> {
    return this.#call('POST', 'stop', objectCodec, { router });
  }

  #call<T>(method: Method, path: string, codec: Codec<T>, body?: unknown): ClientResult<T> {
    return ResultAsync.fromPromise(this.#send(method, path, body), (error): Failure => {
      const detail = error instanceof Error ? error.message || error.name : 'no answer';
      return { kind: 'notReachable', detail: `router ${this.#options.router}: ${detail}` };
    }).andThen((response) => decodeResponse(response, codec));
  }

  async #send(method: Method, path: string, body: unknown): Promise<RawResponse> {
    const { router, token, author } = this.#options;
    const response = await request(`http://${router}/admin/${path}`, {
      method,
      headers: { authorization: `Bearer ${token}`, 'x-operator': author },
      signal: AbortSignal.timeout(responseTimeout),
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { status: response.statusCode, text: await readText(response.body, maxResponseBytes) };
  }
}

interface RawResponse {
  readonly status: number;
  readonly text: string;
}

function decodeResponse<T>({ status, text }: RawResponse, codec: Codec<T>): Result<T, Failure> {
  const value = parseJson(text);
  if (status >= 200 && status < 300) {
    return decode(codec, value).mapErr((detail) => ({
      kind: 'malformed',
      detail: `unexpected response from the router (different version?): ${detail}`,
    }));
  }
  if (isAdminError(value)) return err({ kind: 'refused', error: value });
  return err({ kind: 'malformed', detail: `the router responded with status ${status}` });
}

function isAdminError(value: unknown): value is AdminError {
  const error = value as Partial<AdminError> | null | undefined;
  return typeof error?.title === 'string' && typeof error.detail === 'string';
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
