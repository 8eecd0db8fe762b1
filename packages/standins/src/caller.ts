// A caller of one team: asks the system which routers to use, keeps the answer for a while,
// connects itself and says how each request ended.

import { setMaxListeners } from 'node:events';
import type { Clock, EntryName, Milliseconds, TeamName } from '@catkinwheel/state';
import { Agent, request, type Dispatcher } from 'undici';
import { readChat, readPlain, readStream, refusal, type Result } from './answers.js';
import { keyOf } from './spec.js';
import { modelCost, promptFor, type ModelWork, type PlainWork } from './work.js';

/** One request of a caller. */
export type Ask =
  | {
      readonly kind: 'stream' | 'chat';
      readonly entry: EntryName;
      readonly work: ModelWork;
      /** The caller's rough upper bound of the generated tokens. */
      readonly maxTokens: number;
    }
  | { readonly kind: 'payment'; readonly entry: EntryName; readonly work: PlainWork };

/** What a caller tells while a request is under way. */
export interface Watch {
  /** Service received, in units of the ledger; the first call ends the wait. */
  readonly received: (cost: number) => void;
}

/** Where a caller can find routers: all addresses it can reach at this moment. */
export type Reach = () => readonly string[];

/** Time that callers keep an answer of `GET /v1/routers`. */
const directoryFor: Milliseconds = 5_000;
/** Routers that a caller tries for one request before it gives up. */
const maxTries = 3;
/** Time within which any request must have ended; more is a request that was lost. */
const endWithin: Milliseconds = 90_000;

interface Directory {
  readonly routers: readonly { readonly address: string }[];
}

/** Sends the requests of one team. */
export class Caller {
  readonly team: TeamName;
  readonly #reach: Reach;
  readonly #clock: Clock;
  readonly #agent = new Agent({ headersTimeout: 0, bodyTimeout: 0, connect: { timeout: 2_000 } });
  readonly #ending = new AbortController();
  #addresses: readonly string[] = [];
  #asked: Milliseconds = -Infinity;
  #turn: number;
  /** Requests that had no end within the time that every request must end in. */
  unended = 0;

  private constructor(team: TeamName, reach: Reach, clock: Clock, turn: number) {
    this.team = team;
    this.#reach = reach;
    this.#clock = clock;
    this.#turn = turn;
    // Every request under way listens for the end of its caller.
    setMaxListeners(0, this.#ending.signal);
  }

  /** A caller that begins with router number `turn` of those it is told. */
  static create(team: TeamName, reach: Reach, clock: Clock, turn = 0): Caller {
    return new Caller(team, reach, clock, turn);
  }

  /** Sends one request and reads its answer to the end. Never rejects. */
  async send(ask: Ask, watch: Watch): Promise<Result> {
    for (let attempt = 0; attempt < maxTries; attempt += 1) {
      const address = await this.#nextAddress();
      if (address === undefined) break;
      const result = await this.#sendTo(address, ask, watch);
      if (result !== 'notConnected') return result;
      this.#asked = -Infinity;
    }
    return { kind: 'notRun', reason: 'noRouter' };
  }

  /** Cuts all requests under way. */
  async end(): Promise<void> {
    this.#ending.abort();
    await this.#agent.destroy();
  }

  async #nextAddress(): Promise<string | undefined> {
    if (this.#clock.now() - this.#asked > directoryFor) await this.#ask();
    this.#turn += 1;
    return this.#addresses[this.#turn % Math.max(1, this.#addresses.length)];
  }

  async #ask(): Promise<void> {
    const reach = this.#reach();
    this.#asked = this.#clock.now();
    this.#addresses = reach;
    for (const address of reach) {
      try {
        const response = await request(`http://${address}/v1/routers`, {
          headers: { authorization: `Bearer ${keyOf(this.team)}` },
          dispatcher: this.#agent,
          signal: AbortSignal.timeout(2_000),
        });
        const { routers } = (await response.body.json()) as Directory;
        const known = routers.map((router) => router.address).filter((a) => reach.includes(a));
        if (known.length > 0) this.#addresses = known;
        return;
      } catch {
        continue;
      }
    }
  }

  async #sendTo(address: string, ask: Ask, watch: Watch): Promise<Result | 'notConnected'> {
    const signal = AbortSignal.any([this.#ending.signal, AbortSignal.timeout(endWithin)]);
    try {
      const response = await request(`http://${address}${pathOf(ask)}`, {
        method: 'POST',
        headers: headersOf(this.team, ask),
        body: JSON.stringify(bodyOf(ask)),
        dispatcher: this.#agent,
        signal,
      });
      if (response.statusCode !== 200) return await refusal(response.body, response.statusCode);
      return await read(response, ask, watch);
    } catch (error) {
      if (signal.aborted && !this.#ending.signal.aborted) this.unended += 1;
      return isNotConnected(error)
        ? 'notConnected'
        : { kind: 'mayHaveRun', reason: codeOf(error) ?? 'connectionLost' };
    }
  }
}

function pathOf(ask: Ask): string {
  return ask.kind === 'payment' ? `/v1/services/${ask.entry}/payments` : '/v1/chat/completions';
}

function headersOf(team: TeamName, ask: Ask): Record<string, string> {
  const headers = { 'content-type': 'application/json', authorization: `Bearer ${keyOf(team)}` };
  return ask.kind === 'payment' ? { ...headers, 'idempotency-key': ask.work.payment } : headers;
}

function bodyOf(ask: Ask): object {
  if (ask.kind === 'payment') return ask.work;
  return {
    model: ask.entry,
    messages: [{ role: 'user', content: promptFor(ask.work) }],
    max_tokens: ask.maxTokens,
    stream: ask.kind === 'stream',
  };
}

function read(response: Dispatcher.ResponseData, ask: Ask, watch: Watch): Promise<Result> {
  if (ask.kind === 'payment') return readPlain(response.body, ask.work.payment);
  let isFirst = true;
  const received = (tokens: number): void => {
    watch.received(modelCost(isFirst ? ask.work.prompt : 0, tokens));
    isFirst = false;
  };
  const { seed } = ask.work;
  const expected = { seed, tokens: Math.min(ask.work.tokens, ask.maxTokens), received };
  return ask.kind === 'stream'
    ? readStream(response.body, expected)
    : readChat(response.body, expected);
}

const notConnectedCodes = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];

function isNotConnected(error: unknown): boolean {
  return notConnectedCodes.includes(codeOf(error) ?? '');
}

function codeOf(error: unknown): string | undefined {
  return error instanceof Error && 'code' in error ? String(error.code) : undefined;
}
