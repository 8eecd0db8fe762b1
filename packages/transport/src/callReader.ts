// Turns an HTTP request of a caller into a call: authenticates the caller, finds the entry, and
// builds the request for a server.

import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { Call } from '@catkinwheel/protocol';
import type { Catalogue, Cost, EntryName, Failure, TeamName } from '@catkinwheel/state';
import { notRun } from '@catkinwheel/state';
import { err, ok, type Result } from 'neverthrow';
import { Authenticator } from './authenticator.js';
import { fieldsForEngine, fieldsForServer } from './headers.js';
import type { BodyReader } from './requestBody.js';

/** Path prefix of plain services. */
export const servicesPath = '/v1/services/';
/** Path of chat requests, the same at the router and at a model engine. */
export const chatPath = '/v1/chat/completions';

/** Maximum length of an idempotency key in characters. */
const maxKeyLength = 255;
/** Usual length of a token. */
const bytesPerToken = 4;
/** Number of prompt tokens that cost as much as one generated token. */
const promptTokensPerCost = 10;

interface ChatRequest {
  readonly model?: unknown;
  readonly stream?: unknown;
  readonly max_tokens?: unknown;
  readonly max_completion_tokens?: unknown;
}

/** A call, and the bytes of its body that count as buffered until `release`. */
export interface AcceptedCall {
  readonly call: Call;
  readonly bufferedBytes: number;
}

/** Reads the calls of one router. Each accepted call must be passed to `release` in the end. */
export class CallReader {
  readonly #bodies: BodyReader;
  readonly #authenticator = Authenticator.create();

  private constructor(bodies: BodyReader) {
    this.#bodies = bodies;
  }

  static create(bodies: BodyReader): CallReader {
    return new CallReader(bodies);
  }

  /** A new id for a request. */
  static newRequestId(): string {
    return randomUUID();
  }

  /** Reads a chat request; the `model` field names the entry. */
  async readChat(
    id: string,
    catalogue: Catalogue,
    incoming: IncomingMessage,
  ): Promise<Result<AcceptedCall, Failure>> {
    const team = this.#authenticator.authenticate(catalogue, incoming.headers.authorization);
    if (team.isErr()) return err(team.error);
    const key = idempotencyKeyOf(incoming);
    if (key.isErr()) return err(key.error);
    const read = await this.#bodies.read(incoming);
    if (read.isErr()) return err(read.error);
    const bufferedBytes = read.value?.byteLength ?? 0;
    const request = this.#chatRequest(catalogue, team.value, read.value);
    if (request.isErr()) {
      this.#bodies.release(bufferedBytes);
      return err(request.error);
    }
    const { entry, body, chat } = request.value;
    const headers = fieldsForEngine(incoming.headers);
    const call: Call = {
      id,
      entry,
      request: { method: 'POST', path: chatPath, headers, body },
      stream: chat.stream === true,
      key: key.value,
      hint: estimateCost(chat, body.byteLength),
    };
    return ok({ call, bufferedBytes });
  }

  /** Reads a request to a plain service; the path names the entry. */
  async readService(
    id: string,
    catalogue: Catalogue,
    incoming: IncomingMessage,
  ): Promise<Result<AcceptedCall, Failure>> {
    const target = serviceTarget(incoming.url ?? '');
    if (target === undefined)
      return err(notRun('badRequest', 'the path contains no valid entry name'));
    const entry = this.#authenticator
      .authenticate(catalogue, incoming.headers.authorization)
      .andThen((team) => this.#authenticator.authorize(catalogue, team, target.entry));
    if (entry.isErr()) return err(entry.error);
    if (catalogue.services[entry.value.service]?.kind !== 'plain') {
      return err(notRun('badRequest', `the entry is a model; use ${chatPath}`));
    }
    const key = idempotencyKeyOf(incoming);
    if (key.isErr()) return err(key.error);
    const body = await this.#bodies.read(incoming);
    if (body.isErr()) return err(body.error);
    const headers = fieldsForServer(incoming.headers);
    const method = incoming.method ?? 'GET';
    const call: Call = {
      id,
      entry: target.entry,
      request: { method, path: target.path, headers, body: body.value },
      stream: false,
      key: key.value,
      hint: undefined,
    };
    return ok({ call, bufferedBytes: body.value?.byteLength ?? 0 });
  }

  /** Ends the accounting of a call's body. */
  release(accepted: AcceptedCall): void {
    this.#bodies.release(accepted.bufferedBytes);
  }

  #chatRequest(
    catalogue: Catalogue,
    team: TeamName,
    body: Buffer | null,
  ): Result<EngineRequest, Failure> {
    const chat = parseChatRequest(body);
    if (body === null || chat === undefined) {
      return err(notRun('badRequest', 'the body must be a JSON object'));
    }
    const { model: name } = chat;
    if (typeof name !== 'string') {
      return err(notRun('badRequest', 'the field model must be the name of an entry'));
    }
    return this.#authenticator.authorize(catalogue, team, name).andThen((entry) => {
      const service = catalogue.services[entry.service];
      if (service?.kind !== 'model') {
        return err(notRun('badRequest', `the entry is not a model; use ${servicesPath}`));
      }
      // The engine knows the model by the name in the service, which is usually that of the entry.
      const isSameName = service.model === name;
      const engineBody = isSameName
        ? body
        : Buffer.from(JSON.stringify({ ...chat, model: service.model }));
      return ok({ entry: name, body: engineBody, chat });
    });
  }
}

interface EngineRequest {
  readonly entry: EntryName;
  readonly body: Buffer;
  readonly chat: ChatRequest;
}

function parseChatRequest(body: Buffer | null): ChatRequest | undefined {
  try {
    const value: unknown = JSON.parse(body?.toString() ?? '');
    const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
    return isObject ? value : undefined;
  } catch {
    return undefined;
  }
}

/** The estimated cost of a chat request; undefined if the caller set no bound on the response. */
function estimateCost(chat: ChatRequest, bytes: number): Cost | undefined {
  const tokens = chat.max_completion_tokens ?? chat.max_tokens;
  if (typeof tokens !== 'number' || !(tokens >= 0)) return undefined;
  return tokens + bytes / bytesPerToken / promptTokensPerCost;
}

function idempotencyKeyOf(incoming: IncomingMessage): Result<string | null, Failure> {
  const key = incoming.headers['idempotency-key'];
  if (key === undefined) return ok(null);
  if (typeof key === 'string' && visibleCharacters.test(key) && key.length <= maxKeyLength)
    return ok(key);
  return err(
    notRun('badRequest', `an idempotency key has 1 to ${maxKeyLength} visible characters`),
  );
}

const visibleCharacters = /^[!-~]+$/;

/** Splits `/v1/services/{entry}/...` into the entry and the path for its server. */
function serviceTarget(url: string): { readonly entry: string; readonly path: string } | undefined {
  const start = url.startsWith('/') ? 0 : url.indexOf('/', url.indexOf('//') + 2);
  const rest = url.slice(start + servicesPath.length);
  const end = rest.search(/[/?]/);
  const segment = end === -1 ? rest : rest.slice(0, end);
  const path = end === -1 ? '' : rest.slice(end);
  try {
    const entry = decodeURIComponent(segment);
    return entry === '' ? undefined : { entry, path: path.startsWith('/') ? path : `/${path}` };
  } catch {
    return undefined;
  }
}
