// Requests to the admin port of a router.

import {
  rolloutStatusCodec,
  catalogueCodec,
  changeRecordsCodec,
  decode,
  fleetStatusCodec,
  objectCodec,
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
  /** Name of the operator, for the history. */
  readonly author: string;
}

/** Longest time for an answer; a change waits for the platform, which may be slow. */
const answerTimeout: Milliseconds = 20_000;

type Method = 'GET' | 'PUT' | 'POST';
type Answer<T> = ResultAsync<T, Failure>;

/** The admin port of one router. */
export class Client {
  readonly #options: ClientOptions;

  private constructor(options: ClientOptions) {
    this.#options = options;
  }

  static create(options: ClientOptions): Client {
    return new Client(options);
  }

  status(): Answer<FleetStatus> {
    return this.#ask('GET', 'status', fleetStatusCodec);
  }

  teams(): Answer<readonly TeamUsage[]> {
    return this.#ask('GET', 'teams', teamUsagesCodec);
  }

  servers(): Answer<readonly ServerStatus[]> {
    return this.#ask('GET', 'servers', serverStatusesCodec);
  }

  catalogue(): Answer<Catalogue> {
    return this.#ask('GET', 'catalogue', catalogueCodec);
  }

  history(): Answer<readonly ChangeRecord[]> {
    return this.#ask('GET', 'catalogue/history', changeRecordsCodec);
  }

  replace(base: Revision, catalogue: CatalogueDocument): Answer<RolloutStatus> {
    return this.#ask('PUT', 'catalogue', rolloutStatusCodec, { base, catalogue });
  }

  rolloutStatus(revision: Revision): Answer<RolloutStatus> {
    return this.#ask('GET', `catalogue/acceptance/${revision}`, rolloutStatusCodec);
  }

  drain(target: DrainTarget, isDrained: boolean): Answer<RolloutStatus> {
    const path = isDrained ? 'drain' : 'restore';
    return this.#ask('POST', path, rolloutStatusCodec, { [target.kind]: target.name });
  }

  stop(router: string | undefined): Answer<Readonly<Record<string, unknown>>> {
    return this.#ask('POST', 'stop', objectCodec, { router });
  }

  #ask<T>(method: Method, path: string, codec: Codec<T>, body?: unknown): Answer<T> {
    return ResultAsync.fromPromise(this.#exchange(method, path, body), (error): Failure => {
      const detail = error instanceof Error ? error.message || error.name : 'no answer';
      return { kind: 'notReachable', detail: `router ${this.#options.router}: ${detail}` };
    }).andThen((answer) => decoded(answer, codec));
  }

  async #exchange(method: Method, path: string, body: unknown): Promise<Received> {
    const { router, token, author } = this.#options;
    const response = await request(`http://${router}/admin/${path}`, {
      method,
      headers: { authorization: `Bearer ${token}`, 'x-operator': author },
      signal: AbortSignal.timeout(answerTimeout),
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { status: response.statusCode, text: await response.body.text() };
  }
}

interface Received {
  readonly status: number;
  readonly text: string;
}

function decoded<T>({ status, text }: Received, codec: Codec<T>): Result<T, Failure> {
  const value = parsed(text);
  if (status >= 200 && status < 300) {
    return decode(codec, value).mapErr((detail) => ({
      kind: 'malformed',
      detail: `the router's answer is not understood (another version?): ${detail}`,
    }));
  }
  if (isAdminError(value)) return err({ kind: 'refused', error: value });
  return err({ kind: 'malformed', detail: `the router answered with status ${status}` });
}

function isAdminError(value: unknown): value is AdminError {
  const error = value as Partial<AdminError> | null | undefined;
  return typeof error?.title === 'string' && typeof error.detail === 'string';
}

function parsed(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
